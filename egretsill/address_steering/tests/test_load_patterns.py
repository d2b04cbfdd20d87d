"""Patterns of load, each answered by a fleet of real decisions and simulated targets.

Seven targets with four slots work on a request for 60 ms, so they can do 466 requests a second.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from .. import SteeringPolicy
from .load_fleet import WARM_UP_SECONDS, LoadFleet, spread_starts

SEEDS = (1, 2)
RETURN_SEEDS = (1, 2, 3, 4)  # how a backlog is met varies more
NO_HOLD = SteeringPolicy(hold_seconds=0.0)
EVEN_SHARE_LIMIT = 1.6  # of the busiest target, in any two seconds
RETURN_AT = 1.6
PACE = 8.0
PACED = SteeringPolicy(warm_up_overshoot=1.5, warm_up_tolerance=5.0)
PACE_LIMIT = 17  # 8 x 1.5 + 5

Pattern = Callable[[LoadFleet], None]


def calm(fleet: LoadFleet) -> None:
    fleet.ask_at_rate(0.5, 6.0, 240.0)


def high_use(fleet: LoadFleet) -> None:
    fleet.ask_at_rate(0.5, 6.0, 350.0)


def burst(fleet: LoadFleet) -> None:
    fleet.ask_at_rate(0.5, 3.0, 220.0)
    fleet.ask_at_rate(3.0, 6.0, 1.76 * 220.0)


def shift_of_callers(fleet: LoadFleet) -> None:
    fleet.ask_at_rate(0.5, 3.0, 240.0)
    fleet.ask_at_rate(3.0, 6.0, 240.0, domains=("a",))


def slow_target(fleet: LoadFleet) -> None:
    fleet.ask_at_rate(0.5, 6.0, 240.0)
    fleet.at(2.0, setattr, fleet.targets[1002], "slowness", 5.0)


@pytest.mark.parametrize(
    ("pattern", "share_in_time"),
    [
        pytest.param(calm, 0.99, id="calm, half of the capacity"),
        pytest.param(high_use, 0.99, id="three quarters of the capacity"),
        pytest.param(burst, 0.99, id="burst of 1.76"),
        pytest.param(shift_of_callers, 0.99, id="all callers in one failure domain"),
        pytest.param(slow_target, 0.95, id="one of seven targets is five times as slow"),
    ],
)
def test_callers_are_answered_in_time(pattern: Pattern, share_in_time: float) -> None:
    """Guards against requests that wait at one target while others are idle."""
    for seed in SEEDS:
        fleet = LoadFleet(seed)
        pattern(fleet)
        fleet.play()
        assert fleet.in_time(3.0, 6.0) >= share_in_time
        assert fleet.failed() <= 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_new_flows_are_spread_evenly(seed: int) -> None:
    """Guards against flows of all balancers that go to the target that was idle a while ago."""
    fleet = LoadFleet(seed)
    calm(fleet)
    fleet.play()
    assert all(fleet.imbalance(start, start + 2.0) <= EVEN_SHARE_LIMIT for start in (2.0, 3.0, 4.0))


@pytest.mark.parametrize("seed", SEEDS)
def test_burst_needs_transfer_of_waiting_syn_packets(seed: int) -> None:
    late = []
    for policy in (SteeringPolicy(), NO_HOLD):
        fleet = LoadFleet(seed, policy=policy)
        burst(fleet)
        fleet.play()
        late.append(1.0 - fleet.in_time(3.0, 6.0))
    assert late[0] < late[1] / 2


@pytest.mark.parametrize("seconds", [0.1, 0.5], ids=["all at once", "spread over half a second"])
def test_return_of_all_to_cold_targets(seconds: float) -> None:
    """Guards against a flood that waits at the first agents while others come up idle."""
    earned: list[list[float]] = []
    in_time: list[list[float]] = []
    for policy in (SteeringPolicy(), NO_HOLD):
        fleets = [
            LoadFleet(
                seed,
                work_seconds=0.067,
                start_at=spread_starts(seconds, RETURN_AT),
                are_cold=True,
                policy=policy,
            )
            for seed in RETURN_SEEDS
        ]
        for fleet in fleets:
            fleet.ask_at_rate(0.0, 6.0, 175.0)
            fleet.play()
            assert fleet.failed(RETURN_AT + 1.0) <= 0.01
            assert fleet.in_time(RETURN_AT + 2.4) >= 0.99
        earned.append([each.earned() for each in fleets])
        in_time.append([each.in_time(RETURN_AT) for each in fleets])
    for seeds in (SEEDS, RETURN_SEEDS):
        held, not_held = (sum(each[: len(seeds)]) for each in earned)
        assert held > not_held, seeds
    assert all(with_hold > without for with_hold, without in zip(*in_time, strict=True))


@pytest.mark.parametrize("seed", SEEDS)
def test_return_of_a_failure_domain_with_a_pace(seed: int) -> None:
    """Guards against flows that wait for targets in warm-up while others have capacity."""
    fleet = LoadFleet(
        seed,
        start_at=lambda number: 0.0 if number % 3 else RETURN_AT,
        are_cold=True,
        policy=PACED,
        pace=PACE,
    )
    fleet.ask_at_rate(0.0, 5.0, 240.0)
    fleet.play()
    assert 0 < fleet.most_syns_in_a_second(WARM_UP_SECONDS) <= PACE_LIMIT
    assert fleet.failed(RETURN_AT) <= 0.01
    assert fleet.in_time(RETURN_AT) >= 0.98


@pytest.mark.parametrize("seed", SEEDS)
def test_return_of_all_with_a_pace(seed: int) -> None:
    """Guards against callers that learn at their deadline what was known when they came."""
    fleet = LoadFleet(seed, start_at=lambda _: RETURN_AT, are_cold=True, policy=PACED, pace=PACE)
    fleet.ask_at_rate(0.0, 7.0, 175.0)
    fleet.play()
    assert 0 < fleet.most_syns_in_a_second(WARM_UP_SECONDS) <= PACE_LIMIT
    assert fleet.in_time(RETURN_AT + WARM_UP_SECONDS + 0.5) >= 0.99


def test_flow_is_opened_at_one_target_only() -> None:
    """Guards against copies of a waiting SYN packet that are opened at several targets."""
    fleet = LoadFleet(1)
    fleet.ask_at_rate(0.0, 2.0, 700.0)
    fleet.play()
    attempts = sum(each.attempts for each in fleet.requests)
    assert fleet.handshakes <= 1.05 * attempts
