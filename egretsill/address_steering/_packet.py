"""Packets of flows, independent of their encoding; an adapter reads and writes the bytes."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from ..endpoints import format_ipv4

SYN_COPY_SECONDS = (0.0, 0.2, 0.6)  # when callers send the copies of a SYN packet
OPEN_TIMEOUT_SECONDS = 1.4  # after the first copy, when callers stop waiting for a SYN-ACK packet


def syn_copy_delay(copy: int) -> float:
    """Return the time between a caller's first SYN packet and a copy of it.

    Args:
        copy: how many SYN packets were sent before this one.
    """
    return SYN_COPY_SECONDS[min(copy, len(SYN_COPY_SECONDS) - 1)]


class FlowKey(NamedTuple):
    """The addresses and ports of both ends of a flow; IPv4 addresses are numbers."""

    caller_host: int
    caller_port: int
    service_host: int
    service_port: int

    def __str__(self) -> str:
        caller = f"{format_ipv4(self.caller_host)}:{self.caller_port}"
        return f"{caller}>{format_ipv4(self.service_host)}:{self.service_port}"

    @property
    def hash_key(self) -> bytes:
        """Return the bytes that are hashed to rank the flow's candidates."""
        return b"%d:%d:%d:%d" % self


class PacketKind(enum.Enum):
    """Effect of a packet on its flow: SYN, SYN-ACK, plain, FIN or RST."""

    SYN = "opening"
    SYN_ACK = "opening-answer"
    PLAIN = "plain"
    FIN = "closing"
    RST = "reset"


class FlowPacket(NamedTuple):
    """One packet of a flow.

    A named tuple is cheaper to create than a data class, and one is created for every packet.

    Attributes:
        flow: which flow it belongs to, the same in both directions.
        kind: what it does to the flow.
        is_bounced: whether the target bounced it unread.
        copy: for a SYN packet, how many were sent before it.
        sequence: number of its first byte in the sender's direction.
        acknowledged: the sender's last acknowledgement number.
        payload_bytes: length of the data that it carries.
        datagram: the complete packet, as it is sent to a target or a caller.
        status: HTTP status if it begins an answer, else 0.
    """

    flow: FlowKey
    kind: PacketKind
    is_bounced: bool
    copy: int
    sequence: int
    acknowledged: int
    payload_bytes: int
    datagram: bytes
    status: int = 0


class MalformedFlowPacket(Exception):
    """Raised when a datagram is not a valid packet of a flow.

    Attributes:
        reason: what was wrong, in a few words.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed flow packet: {reason}")
        self.reason = reason


class PacketCodec(Protocol):
    """Decodes packets and encodes RST packets."""

    def decode_from_caller(self, datagram: bytes) -> FlowPacket:
        """Return the packet that a caller sent.

        Raises:
            MalformedFlowPacket: if the datagram is not a valid packet.
        """

    def decode_from_target(self, datagram: bytes) -> FlowPacket:
        """Return the packet that a target sent or bounced.

        Raises:
            MalformedFlowPacket: if the datagram is not a valid packet.
        """

    def encode_reset(self, flow: FlowKey, acknowledged: int) -> bytes:
        """Return an RST packet that ends a flow at its caller.

        Args:
            flow: the flow.
            acknowledged: the caller's last acknowledgement number.
        """
