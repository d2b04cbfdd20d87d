"""Packets of flows that nobody was found to have, until a newer view shows that it missed nobody.

A view lacks the targets that were added after it was confirmed, and a flow may be open at one of
them. So absence is proof only in a view that was confirmed after the packet came, as the flow was
opened before: the rule by which linearizable reads wait for a read index (Ongaro, 2014, 6.4).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ._packet import FlowKey, FlowPacket
from ._tunnel import Envelope

CONFIRMATION_SLACK_SECONDS = 0.3  # a slow store's answer, and its news through two hubs
MAXIMUM_UNDECIDED = 500  # packets, under 1 MB; the flows of a target that ended are fewer
UNDECIDED_SECONDS = 3.0  # by then everybody has read for itself, or can't


@dataclass(frozen=True, slots=True)
class UndecidedPacket:
    """A packet whose flow nobody was found to have.

    Attributes:
        envelope: how it came here.
        packet: the packet.
        came_at: when.
    """

    envelope: Envelope
    packet: FlowPacket
    came_at: float


class UndecidedPackets:
    """The first undecided packet of each flow, bounded in number and age."""

    def __init__(self) -> None:
        self._packets: dict[FlowKey, UndecidedPacket] = {}

    def __len__(self) -> int:
        return len(self._packets)

    def keep(self, envelope: Envelope, packet: FlowPacket, now: float) -> bool:
        """Keep a packet; return whether it is the first of its flow and there was room."""
        if packet.flow in self._packets or len(self._packets) >= MAXIMUM_UNDECIDED:
            return False
        self._packets[packet.flow] = UndecidedPacket(envelope, packet, now)
        return True

    def clear(self) -> None:
        """Keep none of the packets any more; their callers send them again."""
        self._packets.clear()

    def pop_confirmed(self, confirmed_at: float) -> Sequence[UndecidedPacket]:
        """Return the packets that came before a view was confirmed, and keep them no more.

        Args:
            confirmed_at: local time at which the view was last known to be the store's.
        """
        return self._pop(confirmed_at - CONFIRMATION_SLACK_SECONDS)

    def pop_expired(self, now: float) -> Sequence[UndecidedPacket]:
        """Return the packets that waited in vain, and keep them no more."""
        return self._pop(now - UNDECIDED_SECONDS)

    def _pop(self, latest: float) -> Sequence[UndecidedPacket]:
        popped = []
        # They stand in the order in which they came.
        for each in self._packets.values():
            if each.came_at > latest:
                break
            popped.append(each)
        for each in popped:
            del self._packets[each.packet.flow]
        return popped
