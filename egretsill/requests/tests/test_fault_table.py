"""Tests of every fault, delay, pause and duplicate at every step of a request, alone and in pairs.

A run of one request is stopped at each of its steps, and each fault that is possible there is
injected. Pairs add a second fault, at a later step that a seeded generator chooses.
"""

from __future__ import annotations

from functools import cache
from random import Random

import pytest

from ...configuration import RequestClass
from ...measurements._relay_faults import possible_faults
from ...measurements._relay_judge import check, settle
from ...measurements._relay_parties import CLASSES, FEED, LISTING, ORDER
from ...measurements._relay_world import RelayWorld
from ...outcomes import Answered

SEED = 7
TARGETS = 2
DEADLINE_SECONDS = 6.0
LONGEST_RUN = 80
PAIRS_OF_EACH_MOMENT = 6

FAULT_POINTS = [
    pytest.param("link not opened", id="relay link: refused or never answered"),
    pytest.param(
        "link broken at asker", id="relay link: broken at the requester, the rest arrives late"
    ),
    pytest.param("link broken at gate", id="relay link: broken at the gate, the rest arrives late"),
    pytest.param("link lost in flight", id="relay link: breaks and loses messages in flight"),
    pytest.param("link late", id="relay link: all messages arrive after the deadline"),
    pytest.param("open duplicated", id="relay link: an Open is duplicated, out of order"),
    pytest.param("agent lost", id="gate's agent: crashes and restarts without its state"),
    pytest.param("agent paused", id="gate's agent: paused until after the deadline"),
    pytest.param("agent drained", id="gate's agent: stops new work"),
    pytest.param("asker paused", id="requester's agent: paused until after the deadline"),
    pytest.param("asking agent lost", id="requester's agent: crashes"),
    pytest.param("backend unreachable", id="backend connection: can't be opened"),
    pytest.param("backend sheds", id="backend connection: reports that it was not run"),
    pytest.param("backend lost", id="backend connection: breaks or times out after the start"),
    pytest.param("backend garbage", id="backend connection: carries malformed data"),
    pytest.param("caller left", id="caller: cancels the request"),
]
ALL_KINDS = [row.values[0] for row in FAULT_POINTS]
REQUESTS = [
    pytest.param(ORDER, DEADLINE_SECONDS, id="order"),
    pytest.param(ORDER, None, id="order without deadline"),
    pytest.param(LISTING, DEADLINE_SECONDS, id="listing"),
    pytest.param(FEED, None, id="subscription"),
]


def run_until(request_class: RequestClass, deadline: float | None, moment: int) -> RelayWorld:
    world = RelayWorld(TARGETS, Random(SEED))
    world.ask(request_class, deadline)
    advance_steps(world, moment)
    return world


def advance_steps(world: RelayWorld, count: int) -> None:
    for _ in range(count):
        if not world.take_first_step():
            world.advance(0.5)
        check(world)


def final_violations(world: RelayWorld) -> dict[str, int]:
    check(world)
    settle(world)
    return dict(world.violations)


@cache
def count_steps(request_class: RequestClass, deadline: float | None) -> int:
    world = run_until(request_class, deadline, 0)
    for moment in range(LONGEST_RUN):
        if world.callers[0].outcome is not None and not world.steps():
            return moment
        advance_steps(world, 1)
    raise AssertionError("run without faults did not end")


@pytest.mark.parametrize(("request_class", "deadline"), REQUESTS)
def test_request_without_fault_is_answered(
    request_class: RequestClass, deadline: float | None
) -> None:
    world = run_until(request_class, deadline, count_steps(request_class, deadline))
    assert final_violations(world) == {}
    assert world.callers[0].outcome == Answered(200)
    assert world.callers[0].starts == 1


@pytest.mark.parametrize("kind", FAULT_POINTS)
@pytest.mark.parametrize(("request_class", "deadline"), REQUESTS)
def test_single_fault_keeps_guarantees(
    request_class: RequestClass, deadline: float | None, kind: str
) -> None:
    happened = 0
    for moment in range(count_steps(request_class, deadline)):
        world = run_until(request_class, deadline, moment)
        chosen = [n for n, (name, _) in enumerate(possible_faults(world)) if name == kind]
        for number in chosen:
            if number != chosen[0]:
                world = run_until(request_class, deadline, moment)
            possible_faults(world)[number][1]()
            happened += 1
            assert final_violations(world) == {}, f"moment {moment}, fault {number}"
    assert happened > 0


@pytest.mark.parametrize("kind", FAULT_POINTS)
@pytest.mark.parametrize("request_class", [pytest.param(each, id=each.name) for each in CLASSES])
def test_fault_pairs_keep_guarantees(request_class: RequestClass, kind: str) -> None:
    random = Random(f"{SEED} {kind} {request_class.name}")
    seconds: set[str] = set()
    for moment in range(count_steps(request_class, DEADLINE_SECONDS)):
        for _ in range(PAIRS_OF_EACH_MOMENT):
            world = run_until(request_class, DEADLINE_SECONDS, moment)
            first = [act for name, act in possible_faults(world) if name == kind]
            if not first:
                break
            random.choice(first)()
            advance_steps(world, random.randrange(12))
            faults = possible_faults(world)
            wanted = random.choice(sorted({name for name, _ in faults}))
            random.choice([act for name, act in faults if name == wanted])()
            seconds.add(wanted)
            assert final_violations(world) == {}, f"moment {moment}, {kind}, then {wanted}"
    assert len(seconds) > 3


def test_table_lists_every_possible_fault() -> None:
    seen: set[str] = set()
    for request_class in CLASSES:
        for moment in range(count_steps(request_class, None)):
            seen.update(name for name, _ in possible_faults(run_until(request_class, None, moment)))
    assert seen == set(ALL_KINDS)
