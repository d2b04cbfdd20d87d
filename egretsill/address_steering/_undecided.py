"""Packets whose flow was found on no VM, held until a newer view confirms that none was missing.

A view lacks the targets that were added after it was confirmed, and a flow may be open at one of
them. The flow was opened before its packet arrived, so only a view that was confirmed after the
arrival proves absence. Linearizable reads wait for a read index by the same rule (Ongaro, 2014,
6.4).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ._packet import FlowKey, FlowPacket
from ._tunnel import Envelope

CONFIRMATION_SLACK_SECONDS = 0.3  # a slow store's answer, plus its propagation through two hubs
MAXIMUM_UNDECIDED = 500  # packets, under 1 MB; the flows of a target that ended are fewer
UNDECIDED_SECONDS = 3.0  # by then every process has read the store itself, or can't


@dataclass(frozen=True, slots=True)
class UndecidedPacket:
    """A packet whose flow was found on no VM.

    Attributes:
        envelope: path of the packet to this process.
        packet: the packet.
        arrived_at: when it arrived.
    """

    envelope: Envelope
    packet: FlowPacket
    arrived_at: float


class UndecidedPackets:
    """The first undecided packet of each flow, bounded in number and age."""

    def __init__(self) -> None:
        self._packets: dict[FlowKey, UndecidedPacket] = {}

    def __len__(self) -> int:
        return len(self._packets)

    def keep(self, envelope: Envelope, packet: FlowPacket, now: float) -> bool:
        """Keep a packet unless its flow has one or the limit is reached; return whether it did."""
        if packet.flow in self._packets or len(self._packets) >= MAXIMUM_UNDECIDED:
            return False
        self._packets[packet.flow] = UndecidedPacket(envelope, packet, now)
        return True

    def clear(self) -> None:
        """Discard all packets; their callers send them again."""
        self._packets.clear()

    def pop_confirmed(self, confirmed_at: float) -> Sequence[UndecidedPacket]:
        """Remove and return the packets that arrived before a view was confirmed.

        Args:
            confirmed_at: local time at which the view was last known to match the store.
        """
        return self._pop(confirmed_at - CONFIRMATION_SLACK_SECONDS)

    def pop_expired(self, now: float) -> Sequence[UndecidedPacket]:
        """Remove and return the packets that waited longer than the limit."""
        return self._pop(now - UNDECIDED_SECONDS)

    def _pop(self, latest: float) -> Sequence[UndecidedPacket]:
        popped = []
        # The dictionary is in order of arrival.
        for each in self._packets.values():
            if each.arrived_at > latest:
                break
            popped.append(each)
        for each in popped:
            del self._packets[each.packet.flow]
        return popped
