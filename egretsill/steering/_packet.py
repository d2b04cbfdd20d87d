"""The invariant header of a QUIC packet (RFC 8999), which is all that a balancer reads.

Beyond the invariants only one thing is looked at: whether a long header is an Initial packet of
QUIC version 1 (RFC 9000) or 2 (RFC 9369), since no other packet may open a flow. Other versions
are dropped: no agent speaks them.
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
_ID_LENGTH_AT = 5
_ID_AT = 6
_SHORT_HEADER_END = 1 + CONNECTION_ID_BYTES


class MalformedReason(enum.Enum):
    """Why a datagram holds no packet that can be steered."""

    TRUNCATED = "truncated"
    UNSUPPORTED_VERSION = "unsupported-version"
    CONNECTION_ID_TOO_LONG = "connection-id-too-long"
    INITIAL_TOO_SMALL = "initial-too-small"


@dataclass(frozen=True, slots=True)
class MalformedPacket:
    """A datagram that is dropped unread."""

    reason: MalformedReason


class PacketHeader(NamedTuple):
    """What steering needs to know of the first packet in a datagram.

    A named tuple, since it costs less to make than a frozen data class, once for each packet.

    Attributes:
        connection_id: destination connection ID; the 17 bytes of our own length in a short header.
        may_open: whether the packet may open a flow.
        is_long: whether the header is a long one.
    """

    connection_id: bytes
    may_open: bool
    is_long: bool


_TRUNCATED = MalformedPacket(MalformedReason.TRUNCATED)
_UNSUPPORTED_VERSION = MalformedPacket(MalformedReason.UNSUPPORTED_VERSION)
_CONNECTION_ID_TOO_LONG = MalformedPacket(MalformedReason.CONNECTION_ID_TOO_LONG)
_INITIAL_TOO_SMALL = MalformedPacket(MalformedReason.INITIAL_TOO_SMALL)


def parse_packet(datagram: bytes) -> PacketHeader | MalformedPacket:
    """Return the header of the first packet in a datagram, or why there is none."""
    if not datagram:
        return _TRUNCATED
    if datagram[0] & _LONG_HEADER_BIT:
        return _parse_long(datagram)
    if len(datagram) <= _SHORT_HEADER_END:
        return _TRUNCATED
    return PacketHeader(datagram[1:_SHORT_HEADER_END], may_open=False, is_long=False)


def _parse_long(datagram: bytes) -> PacketHeader | MalformedPacket:
    length = len(datagram)
    if length <= _ID_AT:
        return _TRUNCATED
    initial_type = _INITIAL_TYPE_BITS.get(datagram[1:_VERSION_END])
    if initial_type is None:
        return _UNSUPPORTED_VERSION
    id_bytes = datagram[_ID_LENGTH_AT]
    if id_bytes > MAXIMUM_CONNECTION_ID_BYTES:
        return _CONNECTION_ID_TOO_LONG
    id_end = _ID_AT + id_bytes
    if length <= id_end:
        return _TRUNCATED
    is_initial = datagram[0] & _PACKET_TYPE_MASK == initial_type
    if is_initial and length < MINIMUM_INITIAL_DATAGRAM_BYTES:
        return _INITIAL_TOO_SMALL
    return PacketHeader(datagram[_ID_AT:id_end], is_initial, True)
