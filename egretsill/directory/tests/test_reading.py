"""Tests of the plan of which processes read the store, and when."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from .. import READERS, Pause, ReadAll, ReadPlan, ReadStep, WatchChanges, reader_order
from .._reading import (
    FAILED_READ_SECONDS,
    LONGEST_TIMEOUT_SECONDS,
    READ_TIMEOUT_SECONDS,
    STALE_SECONDS,
    STARTUP_TIMEOUT_SECONDS,
    TURN_SECONDS,
    TURNS,
)

FLEET = frozenset(range(1, 18))
ORDER = reader_order(FLEET)
CHOSEN = ORDER[:READERS]


def step(host: int, now: float, confirmed_at: float, readers: Sequence[int] = CHOSEN) -> ReadStep:
    plan = ReadPlan(host, False)
    plan.note_read()
    return plan.next_step(now, confirmed_at, True, readers)


def test_two_readers_watch_and_the_others_pause() -> None:
    steps = [step(host, 10.0, 9.9) for host in ORDER]
    assert [isinstance(each, WatchChanges) for each in steps] == [True] * READERS + [False] * 15
    assert all(isinstance(each, Pause) for each in steps[READERS:])


def test_next_in_rank_watches_when_a_reader_fails() -> None:
    without = ORDER[1 : 1 + READERS]
    assert isinstance(step(ORDER[READERS], 10.0, 9.9, without), WatchChanges)


def test_all_processes_read_when_content_is_stale() -> None:
    now = 10.0 + STALE_SECONDS + TURN_SECONDS * (READERS + TURNS)
    assert now < 10.0 + 3.0, "the time within which changes must be in force"
    assert all(isinstance(step(host, now, 10.0), ReadAll) for host in ORDER[READERS:])


def test_reads_of_stale_content_are_spread() -> None:
    """Guards against hundreds of simultaneous reads, of which the first would serve them all."""
    now = 10.0 + STALE_SECONDS + TURN_SECONDS * 2
    fleet = range(1, 400)
    first = sum(isinstance(step(host, now, 10.0), ReadAll) for host in fleet)
    assert first < 2 * len(fleet) / TURNS


def test_failed_reader_pauses_and_then_reads_everything() -> None:
    plan = ReadPlan(ORDER[0], False)
    plan.note_read()
    plan.note_failure(10.0)
    assert not plan.can_read(10.1)
    assert isinstance(plan.next_step(10.1, 10.0, True, CHOSEN), Pause)
    later = 10.1 + FAILED_READ_SECONDS
    assert isinstance(plan.next_step(later, later, True, CHOSEN), ReadAll)


def test_lost_history_leads_to_a_full_read() -> None:
    plan = ReadPlan(ORDER[0], False)
    plan.note_read()
    plan.require_complete_read()
    assert isinstance(plan.next_step(10.0, 9.9, True, CHOSEN), ReadAll)


def count_reads(is_first_start: bool, host: int, readers: Sequence[int] = CHOSEN) -> int:
    """Return how often a process without content calls the store in ten seconds."""
    plan = ReadPlan(host, is_first_start)
    now, count = 0.0, 0
    while now < 10.0:
        match plan.next_step(now, float("-inf"), False, readers):
            case ReadAll():
                plan.note_attempt(now)
                plan.note_failure(now)
                count += 1
                now += 0.01
            case Pause(seconds):
                now += seconds
            case other:
                pytest.fail(f"{other}")
    return count


def test_restarted_process_retries_faster_than_a_new_fleet() -> None:
    assert count_reads(False, ORDER[0]) > 40
    assert sum(count_reads(True, host) for host in ORDER) < 60


def test_calls_of_the_fleet_in_an_outage_are_bounded() -> None:
    count = 0
    for host in ORDER:
        plan = ReadPlan(host, False)
        plan.note_read()
        now = 10.0
        while now < 20.0:
            match plan.next_step(now, 5.0, True, ()):
                case ReadAll() | WatchChanges():
                    plan.note_attempt(now)
                    plan.note_failure(now)
                    count += 1
                    now += 0.01
                case Pause(seconds):
                    now += seconds
    assert count < 17 * 10 / 0.4 + 17


def read_timeouts(has_content: bool, attempts: int) -> list[float]:
    """Return the time-outs of reads in succession that the store is too slow for."""
    plan, now, found = ReadPlan(ORDER[-1], False), 10.0, list[float]()
    while len(found) < attempts:
        match plan.next_step(now, 0.0, has_content, CHOSEN):
            case ReadAll(timeout_seconds):
                found.append(timeout_seconds)
                plan.note_attempt(now)
                now += timeout_seconds
                plan.note_timeout(now)
            case Pause(seconds):
                now += seconds
    return found


# Guards against a process that never has content from a store that is slow, or on a slow machine.
@pytest.mark.parametrize(
    ("has_content", "first"),
    [
        pytest.param(False, STARTUP_TIMEOUT_SECONDS, id="at the start"),
        pytest.param(True, READ_TIMEOUT_SECONDS, id="with stale content"),
    ],
)
def test_reads_that_time_out_wait_longer_up_to_a_limit(has_content: bool, first: float) -> None:
    timeouts = read_timeouts(has_content, 6)
    assert timeouts[:2] == [first, 2 * first]
    assert timeouts == sorted(timeouts)
    assert timeouts[-1] == LONGEST_TIMEOUT_SECONDS


def test_read_that_succeeds_ends_the_longer_waits() -> None:
    plan = ReadPlan(ORDER[-1], False)
    plan.note_timeout(10.0)
    plan.note_timeout(11.0)
    plan.note_read()
    assert plan.next_step(20.0, 10.0, True, CHOSEN) == ReadAll(READ_TIMEOUT_SECONDS)


def test_store_that_refuses_is_not_waited_for_longer() -> None:
    plan = ReadPlan(ORDER[-1], False)
    plan.note_failure(10.0)
    assert plan.next_step(20.0, 0.0, False, CHOSEN) == ReadAll(STARTUP_TIMEOUT_SECONDS)
