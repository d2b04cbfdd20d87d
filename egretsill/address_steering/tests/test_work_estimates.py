"""Estimates of work from answers, apart from the queue, the routes and single long requests."""

from __future__ import annotations

from random import Random

import pytest

from .. import FlowEntry, FlowKey, FlowState, FlowTable
from .._slot_times import SlotTimes
from .._work_estimates import KNOWN_ANSWERS, MAXIMUM_ROUTES, WorkEstimates

SHORT, LONG = (1, 443), (1, 444)


def sample(random: Random, mean: float) -> float:
    """Return the work of a request: three in a hundred take seven times as long."""
    tail = 7.0 if random.random() < 0.03 else 1.0
    return mean * random.lognormvariate(-0.125, 0.5) * tail


@pytest.mark.parametrize("slots", [1, 2])
def test_wait_for_a_slot_is_not_counted_as_work(slots: int) -> None:
    """Guards against a target that looks slow because it is busy."""
    times: SlotTimes[str] = SlotTimes()
    names = [f"request {number}" for number in range(6)]
    for number, name in enumerate(names):
        times.begin(name, slots, 0.001 * number)
    found = []
    for number, name in enumerate(names):
        found.append(times.end(name, slots, 0.1 + 0.05 * (number // slots + 1) + 0.001 * number))
    assert found[slots:] == [pytest.approx(0.05, abs=0.002)] * (6 - slots)


def test_request_without_a_slot_does_not_stop_the_estimates() -> None:
    """Guards against a caller that sends only a part of its request and then nothing."""
    times: SlotTimes[str] = SlotTimes()
    times.begin("partial", 1, 0.0)
    times.begin("first", 1, 0.1)
    times.begin("second", 1, 0.11)
    assert times.end("first", 1, 0.13) == pytest.approx(0.03)
    assert times.end("second", 1, 0.16) == pytest.approx(0.03)
    assert times.end("partial", 1, 2.0) is None
    assert not times.started
    assert not times.waiting


def test_unknown_number_of_slots_means_that_none_waits() -> None:
    times: SlotTimes[int] = SlotTimes()
    for number in range(20):
        times.begin(number, 0, 0.0)
    assert [times.end(number, 0, 0.5) for number in range(20)] == [0.5] * 20


@pytest.mark.parametrize("mean", [0.015, 0.037])
def test_estimate_is_near_the_mean_after_few_answers(mean: float) -> None:
    """Guards against single long requests that make a target look slow."""
    random = Random(1)
    off = []
    for _ in range(200):
        work = WorkEstimates()
        work.note_prior(0.028)
        for _ in range(30):
            work.record_answer(SHORT, sample(random, mean))
        off.append(abs(work.usual_seconds / (mean * 1.18) - 1.0))
    assert sorted(off)[int(0.9 * len(off))] <= 0.3


def test_routes_of_different_work_are_told_apart() -> None:
    random = Random(1)
    work = WorkEstimates()
    for _ in range(60):
        work.record_answer(SHORT, sample(random, 0.01))
        work.record_answer(LONG, sample(random, 0.1))
    assert 6.0 <= work.seconds(LONG) / work.seconds(SHORT) <= 15.0
    assert work.seconds(SHORT) < work.usual_seconds < work.seconds(LONG)


def test_slow_target_is_noticed_and_its_recovery_too() -> None:
    random = Random(1)
    work = WorkEstimates()
    for factor in (1.0, 5.0, 1.0):
        for _ in range(120):
            work.record_answer(SHORT, sample(random, 0.02 * factor))
        assert work.usual_seconds == pytest.approx(0.02 * 1.18 * factor, rel=0.4)


def test_restarted_agent_starts_from_the_other_targets() -> None:
    """Guards against a first slow answer that decides what a target is worth."""
    work = WorkEstimates()
    assert (work.usual_seconds, work.is_known) == (0.0, False)
    work.note_prior(0.03)
    assert work.usual_seconds == pytest.approx(0.03)
    work.record_answer(SHORT, 0.3)
    assert work.usual_seconds < 0.06
    for _ in range(KNOWN_ANSWERS):
        work.record_answer(SHORT, 0.02)
    assert work.is_known


def test_failures_do_not_show_that_a_target_is_fast() -> None:
    work = WorkEstimates()
    for _ in range(20):
        work.record_answer(SHORT, 0.03)
        work.record_answer(SHORT, 0.0005, is_failure=True)
    assert work.usual_seconds >= 0.03


def test_remaining_work_grows_with_a_request_that_takes_unusually_long() -> None:
    work = WorkEstimates()
    work.note_prior(0.03)
    remaining = [work.remaining_seconds(SHORT, elapsed) for elapsed in (0.0, 0.01, 0.03, 0.2)]
    assert remaining == [pytest.approx(each) for each in (0.03, 0.02, 0.015, 0.1)]


def test_number_of_routes_is_bounded() -> None:
    work = WorkEstimates()
    for port in range(10 * MAXIMUM_ROUTES):
        work.record_answer((1, port), 0.01)
    assert len(work._routes) == MAXIMUM_ROUTES


def test_backlog_is_the_work_of_what_a_target_has_by_route() -> None:
    """Guards against a target with one long request that looks as free as one with a short one."""
    table = FlowTable(60.0, capacity=lambda: 1)
    flows = [FlowKey(9, 1024 + number, *(LONG if number % 2 else SHORT)) for number in range(60)]
    for number, flow in enumerate(flows):
        entry = FlowEntry(FlowState.OWNED, 0, 0, (), float(number), float(number))
        table.put(flow, entry)
        table.begin_request(entry, float(number))
        table.answer_request(entry, number + (0.2 if number % 2 else 0.02))
    backlogs = []
    for number in (0, 1):
        entry = FlowEntry(FlowState.OWNED, 0, 0, (), 99.0, 99.0)
        table.put(flows[number], entry)
        table.begin_request(entry, 99.0)
        backlogs.append(table.remaining_seconds(99.0))
    assert backlogs[0] == pytest.approx(0.02, rel=0.3)
    assert backlogs[1] - backlogs[0] == pytest.approx(0.2, rel=0.3)
    assert table.remaining_seconds(99.015) == pytest.approx(backlogs[1] - 0.01, rel=0.1)
