"""Order in which requests are served while there isn't room for all.

One decision for all that waits: requests of open flows, SYN packets that are kept until a target
has capacity, and the capacity that agents offer each other.

Requests that can still meet their latency objective go first, at whichever agent they wait. Late
ones whose callers still wait come next, as long as a slot is idle. Those that can't be answered
before their deadline come last. Among requests of the same standing, routes of higher priority go
first, then callers who had few requests lately (fair queueing by caller; Demers and others,
"Analysis and simulation of a fair queueing algorithm", SIGCOMM 1989). Agents compare what waits by
these three, its urgency.

Among requests of the same urgency, the earliest objective goes first (Liu and Layland, 1973). Under
overload that would answer every request just at its objective as seen by the agent, which is too
late for callers whose packets were delayed in the network. The newest request then goes first
(adaptive LIFO; Maurer, "Fail at Scale", ACM Queue, 2015). Late requests go by earliest deadline.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, Protocol, TypeVar

from ._packet import FlowKey

SHARE_WINDOW_SECONDS = 1.0  # for which the requests of a caller are counted
UNDEFERRED_REQUESTS = 4  # of one caller in two windows, however many the others had
UNDEFERRED_SHARES = 2.0  # likewise, in even shares; callers differ, and some share an address


class Standing(enum.IntEnum):
    """What an answer is still worth to its caller; lower goes first."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Urgency(NamedTuple):
    """What agents compare of requests that wait; lower goes first.

    Attributes:
        standing: what an answer is still worth.
        priority: priority of the route, 0 is the highest.
        is_deferred: whether the caller had more requests lately than others.
    """

    standing: Standing
    priority: int = 0
    is_deferred: bool = False


class Claim(Protocol):
    """What is known of a request that waits.

    Attributes:
        flow: its flow, with the address of its caller.
        arrived_at: when its caller sent it.
        objective_at: time of its latency objective.
        deadline_at: when its caller gives up.
        priority: priority of its route, 0 is the highest.
    """

    @property
    def flow(self) -> FlowKey: ...

    @property
    def arrived_at(self) -> float: ...

    @property
    def objective_at(self) -> float: ...

    @property
    def deadline_at(self) -> float: ...

    @property
    def priority(self) -> int: ...


ClaimT = TypeVar("ClaimT", bound=Claim)
ExpectedSeconds = Callable[[ClaimT], float]


class CallerShares:
    """Counts the requests of each caller that were started lately, in two windows."""

    def __init__(self) -> None:
        self._current: Counter[int] = Counter()
        self._previous: Counter[int] = Counter()
        self._window = 0
        self._total = 0

    def note_started(self, caller: int, now: float) -> None:
        """Count a request of a caller, given by its address."""
        self._advance(now)
        self._current[caller] += 1
        self._total += 1

    def is_deferred(self, caller: int, now: float) -> bool:
        """Return whether a caller had far more than an even share of the requests lately."""
        self._advance(now)
        started = self._current.get(caller, 0) + self._previous.get(caller, 0)
        if started <= UNDEFERRED_REQUESTS:
            return False
        callers = max(len(self._current), len(self._previous))
        return started * callers > UNDEFERRED_SHARES * self._total

    def _advance(self, now: float) -> None:
        window = int(now / SHARE_WINDOW_SECONDS)
        if window == self._window:
            return
        self._previous = self._current if window == self._window + 1 else Counter()
        self._current = Counter()
        self._total = self._previous.total()
        self._window = window


def standing_of(claim: Claim, answered_at: float) -> Standing:
    """Return the standing of a request that would be answered at a time."""
    if answered_at <= claim.objective_at:
        return Standing.IN_TIME
    return Standing.LATE if answered_at <= claim.deadline_at else Standing.TOO_LATE


def urgency_of(claim: Claim, answered_at: float, shares: CallerShares, now: float) -> Urgency:
    """Return the urgency of a request that would be answered at a time.

    Args:
        claim: the request.
        answered_at: when it would be answered if it started now.
        shares: what callers got lately.
        now: local time.
    """
    is_deferred = shares.is_deferred(claim.flow.caller_host, now)
    return Urgency(standing_of(claim, answered_at), claim.priority, is_deferred)


def choose_next(
    waiting: Iterable[ClaimT],
    now: float,
    expected_seconds: ExpectedSeconds[ClaimT],
    in_progress: int,
    shares: CallerShares,
) -> tuple[ClaimT, Urgency] | None:
    """Return the request to start next and its urgency, or None if nothing waits.

    Args:
        waiting: the requests that wait.
        now: local time.
        expected_seconds: returns how long the target is likely to work on a request.
        in_progress: how many requests it works on concurrently, at least one.
        shares: what callers got lately.
    """
    by_urgency: dict[Urgency, list[ClaimT]] = {}
    for each in waiting:
        urgency = urgency_of(each, now + expected_seconds(each), shares, now)
        by_urgency.setdefault(urgency, []).append(each)
    if not by_urgency:
        return None
    best = min(by_urgency)
    candidates = by_urgency[best]
    match best.standing:
        case Standing.IN_TIME if _is_overloaded(candidates, now, expected_seconds, in_progress):
            chosen = max(candidates, key=lambda each: each.arrived_at)
        case Standing.IN_TIME:
            chosen = min(candidates, key=lambda each: each.objective_at)
        case Standing.LATE:
            chosen = min(candidates, key=lambda each: each.deadline_at)
        case Standing.TOO_LATE:
            chosen = max(candidates, key=lambda each: each.deadline_at)
    return chosen, best


def _is_overloaded(
    claims: Sequence[ClaimT],
    now: float,
    expected_seconds: ExpectedSeconds[ClaimT],
    in_progress: int,
) -> bool:
    """Return whether some miss their objective even if the earliest objective goes first."""
    answered_at = now
    for each in sorted(claims, key=lambda each: each.objective_at):
        answered_at += expected_seconds(each) / in_progress
        if answered_at > each.objective_at:
            return True
    return False
