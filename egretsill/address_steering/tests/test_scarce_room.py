"""Loads for which there isn't room for all: who is answered in time.

Seven targets with four slots work on a request for 60 ms, so they can do 466 requests a second.
"""

from __future__ import annotations

from random import Random

import pytest

from .load_fleet import LoadFleet
from .load_parts import RequestKind

SEEDS = (1, 2)
CAPACITY = 466.0  # requests a second
RESERVE = RequestKind("reserve", 444, priority=1)
CHECK = RequestKind("check", 443, priority=2)


@pytest.mark.parametrize("seed", SEEDS)
def test_burst_of_higher_priority(seed: int) -> None:
    """A burst of 1.9 of reservations, with checks beside it: together 1.3 of the capacity."""
    fleet = LoadFleet(seed, kinds=(CHECK, RESERVE))
    usual, checks = 200.0, 230.0
    fleet.ask_at_rate(0.5, 3.0, usual, kind=RESERVE)
    fleet.ask_at_rate(3.0, 6.0, 1.9 * usual, kind=RESERVE)
    fleet.ask_at_rate(0.5, 6.0, checks, kind=CHECK)
    fleet.play()
    assert fleet.in_time(3.0, 6.0, RESERVE) >= 0.99
    left_over = (CAPACITY - 1.9 * usual) / checks
    assert fleet.in_time(3.0, 6.0, CHECK) >= left_over


@pytest.mark.parametrize("seed", SEEDS)
def test_failure_domain_that_comes_back_cold(seed: int) -> None:
    """A third of the targets comes back slow by 1.6 at 0.8 of what the others and they can do."""
    fleet = LoadFleet(seed, kinds=(CHECK, RESERVE), targets=9)
    for number, target in enumerate(fleet.targets.values()):
        if number % 3 == 0:
            target.is_up = False
            fleet.at(3.0, setattr, target, "started_at", 3.0)
            fleet.at(3.0, setattr, target, "is_up", True)
    fleet.ask_at_rate(3.0, 6.0, 110.0, kind=RESERVE)
    fleet.ask_at_rate(3.0, 6.0, 300.0, kind=CHECK)
    fleet.play()
    for kind in (RESERVE, CHECK):
        assert fleet.in_time(3.0, 6.0, kind) >= 0.8


@pytest.mark.parametrize("seed", SEEDS)
def test_caller_that_floods(seed: int) -> None:
    """One caller asks as often as all targets can bear; the others need half of that."""
    fleet = LoadFleet(seed)
    fleet.ask_at_rate(0.5, 6.0, 0.5 * CAPACITY)
    fleet.ask_at_rate(3.0, 6.0, CAPACITY, caller=90)
    fleet.play()
    assert fleet.in_time(3.5, 6.0, callers=(None,)) >= 0.95
    assert fleet.in_time(3.5, 6.0, callers=(90,)) > 0.0, "it gets what is left"


@pytest.mark.parametrize("seed", SEEDS)
def test_return_of_all_with_a_backlog(seed: int) -> None:
    """All targets are away for 1.2 s and come back cold, at 0.75 of what they can then do.

    Callers who ask when everything is up again must not wait for those who are late already.
    """
    reserve = RequestKind("reserve", 444, 1, 0.072, 0.42, 2.6)
    check = RequestKind("check", 443, 2, 0.055, 0.42, 2.1)
    starts = Random(seed)
    fleet = LoadFleet(
        seed,
        targets=24,
        balancers=9,
        slots=2,
        start_at=lambda _: 1.2 + 0.3 * starts.random(),
        are_cold=True,
        kinds=(check, reserve),
    )
    fleet.ask_at_rate(0.0, 5.0, 297.0, kind=check)
    fleet.ask_at_rate(0.0, 5.0, 84.0, kind=reserve)
    fleet.play()
    up_at = 1.5
    assert fleet.in_time(up_at + 0.5, up_at + 1.5, reserve) >= 0.95
    assert fleet.in_time(up_at + 0.5, up_at + 1.5, check) >= 0.85
    assert fleet.in_time(up_at + 1.5, up_at + 3.5) >= 0.99
