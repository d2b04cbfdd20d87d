"""Requests, targets and views of processes of the simulated fleet under load."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace

from ...directory import Directory, Snapshot, Target
from ...fleet import PeerTable
from .. import AgentSteering, Candidates, FlowKey, FlowPlacement
from .scene import DEADLINE, PORT, RETENTION

OBJECTIVE = 0.3


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of requests, which has a route of its own.

    Attributes:
        name: name of the route.
        port: port of the route.
        priority: priority of the route, 0 is the highest.
        work_seconds: mean work at a target.
        objective_seconds: time in which its callers want the answer.
        deadline_seconds: when its callers give up.
    """

    name: str = "r"
    port: int = PORT
    priority: int = 0
    work_seconds: float = 0.06
    objective_seconds: float = OBJECTIVE
    deadline_seconds: float = DEADLINE


@dataclass(slots=True, eq=False)
class Request:
    """One request over all its attempts."""

    number: int
    asked_at: float
    work_seconds: float
    domain: str
    kind: RequestKind = field(default_factory=RequestKind)
    caller: int | None = None
    attempts: int = 0
    answered_at: float | None = None
    is_given_up: bool = False

    @property
    def is_in_time(self) -> bool:
        """Return whether it was answered within the objective."""
        if self.answered_at is None:
            return False
        return self.answered_at - self.asked_at <= self.kind.objective_seconds


@dataclass(slots=True, eq=False)
class Attempt:
    """One flow of a request at its caller; `owner` is the target whose SYN-ACK came first."""

    key: FlowKey
    request: Request
    owner: int | None = None
    is_ended: bool = False


class View:
    """The directory and peers of one process."""

    def __init__(self, host: int, snapshot: Snapshot, uses_expected_finish: bool = True) -> None:
        self.directory = Directory(RETENTION)
        self.directory.apply_snapshot(snapshot, 0.0)
        self.peers = PeerTable(host)
        self.snapshot = snapshot
        self.placement = FlowPlacement(
            self.directory, self.peers, Candidates(self.directory), uses_expected_finish
        )

    def write(self, entry: Target, now: float) -> None:
        """Apply content in which a target has another entry."""
        before = self.snapshot
        targets = tuple(entry if each.name == entry.name else each for each in before.targets)
        revision = replace(before.at, number=before.at.number + 1)
        written = tuple(
            replace(each, revision=revision) if each is entry else each for each in targets
        )
        self.snapshot = replace(before, at=revision, targets=written)
        self.directory.apply_snapshot(self.snapshot, now)


@dataclass(slots=True, eq=False)
class ModelTarget:
    """A target with slots and a queue, and its agent."""

    host: int
    domain: str
    slots: int
    started_at: float
    view: View
    agent: AgentSteering
    slowness: float = 1.0
    failing_share: float = 0.0
    is_up: bool = True
    half_open: set[FlowKey] = field(default_factory=set)
    open: set[FlowKey] = field(default_factory=set)
    working: int = 0
    queue: list[Attempt] = field(default_factory=list)
    served: list[float] = field(default_factory=list)
    syns: list[float] = field(default_factory=list)
    release_due: bool = False


class LoadRecord:
    """The requests and targets of a fleet, and what became of the requests."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.targets: dict[int, ModelTarget] = {}

    def in_time(
        self,
        start: float = 0.0,
        end: float = float("inf"),
        kind: RequestKind | None = None,
        callers: Collection[int | None] = (),
    ) -> float:
        """Return the share of the requests of a span that were answered within the objective.

        Args:
            start: beginning of the span.
            end: end of the span.
            kind: the kind of requests that count, all if it is None.
            callers: the callers whose requests count, all if there are none.
        """
        asked = [
            each
            for each in self.requests
            if start <= each.asked_at < end
            and kind in (None, each.kind)
            and (not callers or each.caller in callers)
        ]
        return sum(each.is_in_time for each in asked) / len(asked)

    def failed(self, start: float = 0.0, end: float = float("inf")) -> float:
        """Return the share of the requests of a span that got no answer."""
        asked = [each for each in self.requests if start <= each.asked_at < end]
        return sum(each.answered_at is None for each in asked) / len(asked)

    def earned(self, start: float = 0.0, end: float = float("inf")) -> float:
        """Return the share of worth earned; a late answer is worth half."""
        in_time = self.in_time(start, end)
        return in_time + (1.0 - in_time - self.failed(start, end)) / 2

    def most_syns_in_a_second(self, seconds: float) -> int:
        """Return the most SYN packets that a target got in any second of its first ones."""
        found = 0
        for each in self.targets.values():
            times = [at for at in each.syns if at < each.started_at + seconds]
            found = max([found, *(sum(0 <= at - start <= 1 for at in times) for start in times)])
        return found

    def imbalance(self, start: float, end: float) -> float:
        """Return the busiest target's multiple of its even share of requests begun in a span."""
        counts = [sum(start <= at < end for at in t.served) for t in self.targets.values()]
        return max(counts) * len(counts) / max(sum(counts), 1)
