"""Packets of flows, as the product sees them; an adapter reads and writes the bytes."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from ..endpoints import dotted

OPENING_COPY_SECONDS = (0.0, 0.2, 0.6)  # when callers send the copies of an opening packet


def opening_delay(copy: int) -> float:
    """Return how long before a copy of an opening packet its caller sent the first one.

    Args:
        copy: how many were sent before it.
    """
    return OPENING_COPY_SECONDS[min(copy, len(OPENING_COPY_SECONDS) - 1)]


class FlowKey(NamedTuple):
    """The four addresses and ports of a flow; IPv4 addresses are numbers."""

    caller_host: int
    caller_port: int
    service_host: int
    service_port: int

    def __str__(self) -> str:
        caller = f"{dotted(self.caller_host)}:{self.caller_port}"
        return f"{caller}>{dotted(self.service_host)}:{self.service_port}"

    @property
    def hash_key(self) -> bytes:
        """Return the bytes by which the flow's candidates are ranked."""
        return b"%d:%d:%d:%d" % self


class PacketKind(enum.Enum):
    """What a packet does to its flow."""

    OPENING = "opening"
    OPENING_ANSWER = "opening-answer"
    PLAIN = "plain"
    CLOSING = "closing"
    RESET = "reset"


class FlowPacket(NamedTuple):
    """One packet of a flow.

    A named tuple, not a data class, as one is made for every packet.

    Attributes:
        flow: which flow it belongs to, the same in both directions.
        kind: what it does to the flow.
        is_bounced: whether the target gave it back unread.
        copy: for an opening packet, how many were sent before it.
        sequence: number of its first byte in the sender's direction.
        acknowledged: the sender's last acknowledgement number.
        payload_bytes: length of the data that it carries.
        datagram: the whole packet, fit to be handed to a target or a caller.
    """

    flow: FlowKey
    kind: PacketKind
    is_bounced: bool
    copy: int
    sequence: int
    acknowledged: int
    payload_bytes: int
    datagram: bytes


class MalformedFlowPacket(Exception):
    """A datagram that is no packet of a flow.

    Attributes:
        reason: what was wrong, in a few words.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"no packet of a flow: {reason}")
        self.reason = reason


class PacketCodec(Protocol):
    """Reads packets and writes resets."""

    def decode_from_caller(self, datagram: bytes) -> FlowPacket:
        """Return the packet that a caller sent.

        Raises:
            MalformedFlowPacket: if it is none.
        """

    def decode_from_target(self, datagram: bytes) -> FlowPacket:
        """Return the packet that a target sent or gave back.

        Raises:
            MalformedFlowPacket: if it is none.
        """

    def encode_reset(self, flow: FlowKey, acknowledged: int) -> bytes:
        """Return a packet that ends a flow at its caller.

        Args:
            flow: the flow.
            acknowledged: the caller's last acknowledgement number.
        """
