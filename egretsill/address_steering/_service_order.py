"""Order in which requests are served while there isn't room for all.

One decision for all that waits: requests of open flows, SYN packets that are kept until a target
has capacity, and the capacity that agents offer each other.

Requests that can still meet their latency objective go first, at whichever agent they wait. Late
ones whose callers still wait come next, as long as a slot is idle. Those that can't be answered
before their deadline come last. Among requests of the same standing, routes of higher priority go
first, then callers who had little lately (fair queueing by caller; Demers and others, "Analysis
and simulation of a fair queueing algorithm", SIGCOMM 1989), then the earliest objective (Liu and
Layland, 1973). Under overload that would answer every request just at its objective as seen by
the agent, which is too late for callers whose packets were delayed in the network. The newest
request then goes first (adaptive LIFO; Maurer, "Fail at Scale", ACM Queue, 2015). Late requests go
by earliest deadline.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, TypeVar

from ._packet import FlowKey

SHARE_WINDOW_SECONDS = 1.0  # for which the requests of a caller are counted
# Requests of one caller in two windows that don't defer it; callers may share an address.
UNDEFERRED_REQUESTS = 4


class Standing(enum.IntEnum):
    """What an answer is still worth to its caller; lower goes first."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


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
    def flow(self) -> FlowKey: ...  # noqa: D102

    @property
    def arrived_at(self) -> float: ...  # noqa: D102

    @property
    def objective_at(self) -> float: ...  # noqa: D102

    @property
    def deadline_at(self) -> float: ...  # noqa: D102

    @property
    def priority(self) -> int: ...  # noqa: D102


ClaimT = TypeVar("ClaimT", bound=Claim)
ExpectedSeconds = Callable[[ClaimT], float]


class CallerShares:
    """Counts the requests of each caller that were started lately, in two windows."""

    def __init__(self) -> None:
        self._current: Counter[int] = Counter()
        self._previous: Counter[int] = Counter()
        self._window = 0

    def note_started(self, caller: int, now: float) -> None:
        """Count a request of a caller, given by its address."""
        self._advance(now)
        self._current[caller] += 1

    def excess(self, caller: int, now: float) -> int:
        """Return how many requests of a caller were started beyond those that don't defer it."""
        self._advance(now)
        started = self._current[caller] if caller in self._current else 0
        started += self._previous[caller] if caller in self._previous else 0
        return max(started - UNDEFERRED_REQUESTS, 0)

    def _advance(self, now: float) -> None:
        window = int(now / SHARE_WINDOW_SECONDS)
        if window == self._window:
            return
        self._previous = self._current if window == self._window + 1 else Counter()
        self._current = Counter()
        self._window = window


def standing_of(claim: Claim, answered_at: float) -> Standing:
    """Return the standing of a request that would be answered at a time."""
    if answered_at <= claim.objective_at:
        return Standing.IN_TIME
    return Standing.LATE if answered_at <= claim.deadline_at else Standing.TOO_LATE


def choose_next(
    waiting: Sequence[ClaimT],
    now: float,
    expected_seconds: ExpectedSeconds[ClaimT],
    in_progress: int,
    shares: CallerShares,
    last: Standing = Standing.TOO_LATE,
) -> ClaimT | None:
    """Return the request to start next, or None if none may start.

    Args:
        waiting: the requests that wait.
        now: local time.
        expected_seconds: returns how long the target is likely to work on a request.
        in_progress: how many requests it works on concurrently, at least one.
        shares: what callers got lately.
        last: requests of a later standing may not start.
    """
    by_standing: dict[Standing, list[ClaimT]] = {}
    for each in waiting:
        standing = standing_of(each, now + expected_seconds(each))
        by_standing.setdefault(standing, []).append(each)
    if not by_standing or (best := min(by_standing)) > last:
        return None
    candidates = by_standing[best]
    highest = min(each.priority for each in candidates)
    candidates = [each for each in candidates if each.priority == highest]
    is_overloaded = best is Standing.IN_TIME and _is_overloaded(
        candidates, now, expected_seconds, in_progress
    )
    if len(candidates) > 1:
        excesses = [shares.excess(each.flow.caller_host, now) for each in candidates]
        least = min(excesses)
        candidates = [
            each for each, excess in zip(candidates, excesses, strict=True) if excess == least
        ]
    match best:
        case Standing.IN_TIME if is_overloaded:
            return max(candidates, key=lambda each: each.arrived_at)
        case Standing.IN_TIME:
            return min(candidates, key=lambda each: each.objective_at)
        case Standing.LATE:
            return min(candidates, key=lambda each: each.deadline_at)
        case Standing.TOO_LATE:
            return max(candidates, key=lambda each: each.deadline_at)


def _is_overloaded(
    claims: Iterable[ClaimT],
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
