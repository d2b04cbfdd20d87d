"""What became of packets that were followed through a fleet, and of their flows."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from .. import FlowPacket

ASTRAY_SECONDS = 2.0  # for so long a flow's packets may miss its target
ASTRAY_PACKETS = 3  # unless fewer reach other targets


@dataclass
class Trip:
    """The way of one packet.

    Attributes:
        hosts: VMs of agents that it was sent to.
        others: VMs of other targets that got it.
        answered_by: VM whose target took it as an opening packet.
        end: why nobody passed it on.
    """

    sent: FlowPacket
    hosts: list[int] = field(default_factory=list)
    others: list[int] = field(default_factory=list)
    answered_by: int | None = None
    is_reached: bool = False
    is_reset: bool = False
    end: str = ""


@dataclass
class Chase:
    """What became of one flow's packet and its copies.

    Attributes:
        seconds: until its target had one of them, None if it had none.
    """

    trips: list[Trip] = field(default_factory=list)
    seconds: float | None = None

    @property
    def is_reset(self) -> bool:
        return any(each.is_reset for each in self.trips)

    @property
    def others(self) -> list[int]:
        return [host for each in self.trips for host in each.others]


class Figures:
    """What became of many flows.

    Attributes:
        resets: flows that were reset.
        lost: other flows whose target had no packet in time.
        astray: those of them of which so many packets reached other targets that a rule is broken.
        hops: most VMs that a packet came to that was found.
    """

    def __init__(self, chases: Sequence[Chase]) -> None:
        self.chases = chases
        lost = [each for each in chases if each.seconds is None and not each.is_reset]
        found = [each for each in chases if each.seconds is not None]
        self.resets = sum(each.is_reset for each in chases)
        self.lost = len(lost)
        self.astray = sum(len(each.others) >= ASTRAY_PACKETS for each in lost)
        self.hops = max((len(each.trips[-1].hosts) for each in found), default=0)
        self._late = [each.seconds for each in found if each.seconds]

    def __repr__(self) -> str:
        ends = sorted({trip.end for each in self.chases for trip in each.trips if trip.end})
        others = max((len(each.others) for each in self.chases), default=0)
        late = f"{len(self._late)} late ({max(self._late, default=0.0):.1f} s)"
        return (
            f"{len(self.chases)} flows: {self.resets} reset, {self.lost} lost for 2 s "
            f"({self.astray} astray), {late}, found within {self.hops} VMs; "
            f"at most {others} packets at other targets; ends: {', '.join(ends) or 'none'}"
        )
