"""Results of following packets through a fleet, and the outcome of their flows."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from .. import FlowPacket

MAXIMUM_SEARCH_SECONDS = 2.0  # how long a flow's packets may miss its target
MISDELIVERED_PACKETS = 3  # packets at other targets in that time that break a rule


@dataclass
class PacketPath:
    """Path of one packet.

    Attributes:
        hosts: VMs of agents that it was sent to.
        other_targets: VMs of other targets that received it.
        answered_by: VM whose target answered it as a SYN packet.
        end: why it was not passed on.
    """

    sent: FlowPacket
    hosts: list[int] = field(default_factory=list)
    other_targets: list[int] = field(default_factory=list)
    answered_by: int | None = None
    has_arrived: bool = False
    is_reset: bool = False
    end: str = ""


@dataclass
class FlowOutcome:
    """Outcome of one flow's packet and its copies.

    Attributes:
        seconds: time until its target received one of them, None if it received none.
    """

    paths: list[PacketPath] = field(default_factory=list)
    seconds: float | None = None

    @property
    def is_reset(self) -> bool:
        return any(each.is_reset for each in self.paths)

    @property
    def other_targets(self) -> list[int]:
        return [host for each in self.paths for host in each.other_targets]


class OutcomeSummary:
    """Summary of the outcomes of many flows.

    Attributes:
        resets: number of flows that were reset.
        lost: number of other flows whose target received no packet in time.
        misdelivered: number of lost flows with enough packets at other targets to break a rule.
        hops: maximum number of VMs that the packet of a found flow was sent to.
    """

    def __init__(self, outcomes: Sequence[FlowOutcome]) -> None:
        self.outcomes = outcomes
        lost = [each for each in outcomes if each.seconds is None and not each.is_reset]
        found = [each for each in outcomes if each.seconds is not None]
        self.resets = sum(each.is_reset for each in outcomes)
        self.lost = len(lost)
        self.misdelivered = sum(len(each.other_targets) >= MISDELIVERED_PACKETS for each in lost)
        self.hops = max((len(each.paths[-1].hosts) for each in found), default=0)
        self._late = [each.seconds for each in found if each.seconds]

    def __repr__(self) -> str:
        ends = sorted({path.end for each in self.outcomes for path in each.paths if path.end})
        other_targets = max((len(each.other_targets) for each in self.outcomes), default=0)
        late = f"{len(self._late)} late ({max(self._late, default=0.0):.1f} s)"
        return (
            f"{len(self.outcomes)} flows: {self.resets} reset, {self.lost} lost for 2 s "
            f"({self.misdelivered} misdelivered), {late}, found within {self.hops} VMs; "
            f"at most {other_targets} packets at other targets; ends: {', '.join(ends) or 'none'}"
        )
