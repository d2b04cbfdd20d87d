"""Parser for the invariant header of a QUIC packet (RFC 8999), all that a balancer reads.

The only field read beyond the invariants is the packet type of a long header: only Initial packets
of QUIC version 1 (RFC 9000) or 2 (RFC 9369) may open a flow. Packets of other versions are dropped,
since no agent supports them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from ._connection_id import CONNECTION_ID_BYTES

MINIMUM_INITIAL_DATAGRAM_BYTES = 1200
MAXIMUM_CONNECTION_ID_BYTES = 20
VERSION_1 = 0x00000001
VERSION_2 = 0x6B3343CF

_LONG_HEADER_BIT = 0x80
_PACKET_TYPE_MASK = 0x30
_VERSION_BYTES = 4
_VERSION_END = 1 + _VERSION_BYTES
_INITIAL_TYPE_BITS = {
    VERSION_1.to_bytes(_VERSION_BYTES, "big"): 0x00,
    VERSION_2.to_bytes(_VERSION_BYTES, "big"): 0x10,
}
_ID_LENGTH_OFFSET = 5
_ID_OFFSET = 6
_SHORT_HEADER_END = 1 + CONNECTION_ID_BYTES


class MalformedReason(enum.Enum):
    """Why a datagram contains no packet that can be steered."""

    TRUNCATED = "truncated"
    UNSUPPORTED_VERSION = "unsupported-version"
    CONNECTION_ID_TOO_LONG = "connection-id-too-long"
    INITIAL_TOO_SMALL = "initial-too-small"


@dataclass(frozen=True, slots=True)
class MalformedPacket:
    """A datagram without a valid packet header, which is dropped."""

    reason: MalformedReason


class PacketHeader(NamedTuple):
    """The header fields of the first packet in a datagram that steering uses.

    This is a named tuple because one is created for each packet, and a named tuple is cheaper to
    create than a frozen data class.

    Attributes:
        connection_id: destination connection ID; always 17 bytes in a short header.
        may_open: whether the packet may open a flow.
        is_long: whether the packet has a long header.
    """

    connection_id: bytes
    may_open: bool
    is_long: bool


_TRUNCATED = MalformedPacket(MalformedReason.TRUNCATED)
_UNSUPPORTED_VERSION = MalformedPacket(MalformedReason.UNSUPPORTED_VERSION)
_CONNECTION_ID_TOO_LONG = MalformedPacket(MalformedReason.CONNECTION_ID_TOO_LONG)
_INITIAL_TOO_SMALL = MalformedPacket(MalformedReason.INITIAL_TOO_SMALL)


def parse_packet(datagram: bytes) -> PacketHeader | MalformedPacket:
    """Return the header of the first packet in a datagram, or why it can't be parsed."""
    if not datagram:
        return _TRUNCATED
    if datagram[0] & _LONG_HEADER_BIT:
        return _parse_long(datagram)
    if len(datagram) <= _SHORT_HEADER_END:
        return _TRUNCATED
    return PacketHeader(datagram[1:_SHORT_HEADER_END], may_open=False, is_long=False)


def _parse_long(datagram: bytes) -> PacketHeader | MalformedPacket:
    length = len(datagram)
    if length <= _ID_OFFSET:
        return _TRUNCATED
    initial_type = _INITIAL_TYPE_BITS.get(datagram[1:_VERSION_END])
    if initial_type is None:
        return _UNSUPPORTED_VERSION
    id_bytes = datagram[_ID_LENGTH_OFFSET]
    if id_bytes > MAXIMUM_CONNECTION_ID_BYTES:
        return _CONNECTION_ID_TOO_LONG
    id_end = _ID_OFFSET + id_bytes
    if length <= id_end:
        return _TRUNCATED
    is_initial = datagram[0] & _PACKET_TYPE_MASK == initial_type
    if is_initial and length < MINIMUM_INITIAL_DATAGRAM_BYTES:
        return _INITIAL_TOO_SMALL
    return PacketHeader(datagram[_ID_OFFSET:id_end], is_initial, True)
