"""Who goes first among what waits."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from .. import FlowKey
from .._service_order import (
    SHARE_WINDOW_SECONDS,
    UNDEFERRED_REQUESTS,
    CallerShares,
    Standing,
    Urgency,
    choose_next,
    standing_of,
    urgency_of,
)

NOW = 10.0
SECONDS = 0.1


@dataclass(frozen=True)
class Waiting:
    caller: int = 1
    arrived_at: float = NOW - 0.1
    objective_at: float = NOW + 0.3
    deadline_at: float = NOW + 2.0
    priority: int = 0
    seconds: float = SECONDS

    @property
    def flow(self) -> FlowKey:
        return FlowKey(self.caller, 1, 1, 1)


def first(*waiting: Waiting, shares: CallerShares | None = None) -> Waiting | None:
    chosen = choose_next(waiting, NOW, lambda each: each.seconds, 2, shares or CallerShares())
    return chosen[0] if chosen is not None else None


def shares_after(requests: dict[int, int]) -> CallerShares:
    shares = CallerShares()
    for caller, count in requests.items():
        for _ in range(count):
            shares.note_started(caller, NOW)
    return shares


IN_TIME = Waiting()
LATE = Waiting(objective_at=NOW)
TOO_LATE = Waiting(objective_at=NOW, deadline_at=NOW + 0.05)


@pytest.mark.parametrize(
    ("claim", "standing"),
    [
        pytest.param(IN_TIME, Standing.IN_TIME, id="in time"),
        pytest.param(LATE, Standing.LATE, id="late, caller waits"),
        pytest.param(TOO_LATE, Standing.TOO_LATE, id="caller gives up before its answer"),
    ],
)
def test_standing(claim: Waiting, standing: Standing) -> None:
    assert standing_of(claim, NOW + claim.seconds) is standing


@pytest.mark.parametrize(
    ("waiting", "chosen"),
    [
        pytest.param([LATE, IN_TIME], IN_TIME, id="in time before late"),
        pytest.param([TOO_LATE, LATE], LATE, id="late before too late"),
        pytest.param([TOO_LATE], TOO_LATE, id="too late if nobody else waits"),
        pytest.param(
            [Waiting(priority=2), Waiting(priority=1)], Waiting(priority=1), id="higher priority"
        ),
        pytest.param(
            [Waiting(priority=2), Waiting(priority=1, objective_at=NOW)],
            Waiting(priority=2),
            id="in time of lower priority before late of higher",
        ),
        pytest.param(
            [Waiting(objective_at=NOW + 0.4), Waiting(objective_at=NOW + 0.3)],
            Waiting(objective_at=NOW + 0.3),
            id="earliest objective",
        ),
        pytest.param(
            [Waiting(seconds=0.4), Waiting(objective_at=NOW + 0.35)],
            Waiting(objective_at=NOW + 0.35),
            id="one whose own work takes too long is late",
        ),
    ],
)
def test_order(waiting: list[Waiting], chosen: Waiting) -> None:
    assert first(*waiting) == chosen
    assert first(*reversed(waiting)) == chosen


def test_newest_goes_first_if_not_all_can_be_in_time() -> None:
    crowd = [Waiting(arrived_at=NOW - 0.01 * number) for number in range(9)]
    assert first(*crowd) == crowd[0]


def test_crowd_of_lower_priority_does_not_turn_the_order_of_the_higher() -> None:
    """Guards against reservations that wait longest because of a burst of lookups."""
    crowd = [Waiting(arrived_at=NOW - 0.01 * number, priority=1) for number in range(9)]
    older = Waiting(arrived_at=NOW - 0.05, objective_at=NOW + 0.25)
    assert first(*crowd, IN_TIME, older) == older


@pytest.mark.parametrize(
    ("claim", "urgency"),
    [
        pytest.param(IN_TIME, Urgency(Standing.IN_TIME, 0, False), id="in time"),
        pytest.param(Waiting(priority=2), Urgency(Standing.IN_TIME, 2, False), id="priority"),
        pytest.param(Waiting(caller=2), Urgency(Standing.IN_TIME, 0, True), id="caller had much"),
        pytest.param(LATE, Urgency(Standing.LATE, 0, False), id="late"),
    ],
)
def test_urgency(claim: Waiting, urgency: Urgency) -> None:
    shares = shares_after({1: 1, 2: UNDEFERRED_REQUESTS + 1, 3: 1})
    assert urgency_of(claim, NOW + claim.seconds, shares, NOW) == urgency


def test_caller_that_had_much_goes_after_others_of_its_priority() -> None:
    shares = shares_after({1: UNDEFERRED_REQUESTS + 1, 2: 1, 3: 1})
    urgent, other = Waiting(objective_at=NOW + 0.2), Waiting(caller=2)
    assert first(urgent, other, shares=shares) == other
    assert first(urgent, Waiting(caller=2, priority=1), shares=shares) == urgent
    assert first(urgent, shares=shares) == urgent, "it is served when no other waits"


def test_shares_are_forgotten() -> None:
    shares = shares_after({1: UNDEFERRED_REQUESTS + 1, 2: 1, 3: 1})
    assert shares.is_deferred(1, NOW)
    assert not shares.is_deferred(2, NOW)
    assert shares.is_deferred(1, NOW + SHARE_WINDOW_SECONDS)
    assert not shares.is_deferred(1, NOW + 2 * SHARE_WINDOW_SECONDS)


@pytest.mark.parametrize(
    "requests",
    [
        pytest.param({1: 100}, id="the only caller"),
        pytest.param({1: 100, 2: 60}, id="not far more than the other"),
        pytest.param({1: UNDEFERRED_REQUESTS, 2: 1, 3: 1, 4: 1}, id="few"),
    ],
)
def test_callers_with_their_share_are_not_deferred(requests: dict[int, int]) -> None:
    assert not shares_after(requests).is_deferred(1, NOW)
