"""Every point at which something fails, pauses, is late or doubled; alone and in pairs.

A straight run of one request is cut at each of its steps, and each fault that is possible there
happens. Pairs go on from the first fault to a second one, at a seeded choice of later moments.
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
    pytest.param("link not opened", id="relay link: is refused or never answers"),
    pytest.param(
        "link broken at asker", id="relay link: asker sees a break, the rest arrives late"
    ),
    pytest.param("link broken at gate", id="relay link: gate sees a break, the rest arrives late"),
    pytest.param("link lost in flight", id="relay link: breaks and loses what is on the way"),
    pytest.param("link late", id="relay link: everything on it arrives after the deadline"),
    pytest.param("open duplicated", id="relay link: an Open arrives twice, out of order"),
    pytest.param("agent lost", id="gate's agent: dies and comes back knowing nothing"),
    pytest.param("agent paused", id="gate's agent: is paused and wakes after the deadline"),
    pytest.param("agent drained", id="gate's agent: stops new work"),
    pytest.param("asker paused", id="asker's agent: is paused and wakes after the deadline"),
    pytest.param("asking agent lost", id="asker's agent: dies"),
    pytest.param("backend unreachable", id="backend connection: can't be opened"),
    pytest.param("backend sheds", id="backend connection: says that it was not run"),
    pytest.param("backend lost", id="backend connection: breaks or goes silent after the start"),
    pytest.param("backend garbage", id="backend connection: carries garbage"),
    pytest.param("caller left", id="caller: withdraws the request"),
]
ALL_KINDS = [row.values[0] for row in FAULT_POINTS]
REQUESTS = [
    pytest.param(ORDER, DEADLINE_SECONDS, id="order"),
    pytest.param(ORDER, None, id="order without deadline"),
    pytest.param(LISTING, DEADLINE_SECONDS, id="listing"),
    pytest.param(FEED, None, id="subscription"),
]


def run_to(request_class: RequestClass, deadline: float | None, moment: int) -> RelayWorld:
    world = RelayWorld(TARGETS, Random(SEED))
    world.ask(request_class, deadline)
    go_on(world, moment)
    return world


def go_on(world: RelayWorld, count: int) -> None:
    for _ in range(count):
        if not world.take_first_step():
            world.advance(0.5)
        check(world)


def settled(world: RelayWorld) -> dict[str, int]:
    check(world)
    settle(world)
    return dict(world.violations)


@cache
def length_of_run(request_class: RequestClass, deadline: float | None) -> int:
    world = run_to(request_class, deadline, 0)
    for moment in range(LONGEST_RUN):
        if world.callers[0].outcome is not None and not world.steps():
            return moment
        go_on(world, 1)
    raise AssertionError("a run without faults does not end")


@pytest.mark.parametrize(("request_class", "deadline"), REQUESTS)
def test_no_fault(request_class: RequestClass, deadline: float | None) -> None:
    world = run_to(request_class, deadline, length_of_run(request_class, deadline))
    assert settled(world) == {}
    assert world.callers[0].outcome == Answered(200)
    assert world.callers[0].starts == 1


@pytest.mark.parametrize("kind", FAULT_POINTS)
@pytest.mark.parametrize(("request_class", "deadline"), REQUESTS)
def test_each_fault_at_each_moment(
    request_class: RequestClass, deadline: float | None, kind: str
) -> None:
    happened = 0
    for moment in range(length_of_run(request_class, deadline)):
        world = run_to(request_class, deadline, moment)
        chosen = [n for n, (name, _) in enumerate(possible_faults(world)) if name == kind]
        for number in chosen:
            if number != chosen[0]:
                world = run_to(request_class, deadline, moment)
            possible_faults(world)[number][1]()
            happened += 1
            assert settled(world) == {}, f"moment {moment}, fault {number}"
    assert happened > 0


@pytest.mark.parametrize("kind", FAULT_POINTS)
@pytest.mark.parametrize("request_class", [pytest.param(each, id=each.name) for each in CLASSES])
def test_pairs_of_faults(request_class: RequestClass, kind: str) -> None:
    random = Random(f"{SEED} {kind} {request_class.name}")
    seconds: set[str] = set()
    for moment in range(length_of_run(request_class, DEADLINE_SECONDS)):
        for _ in range(PAIRS_OF_EACH_MOMENT):
            world = run_to(request_class, DEADLINE_SECONDS, moment)
            first = [act for name, act in possible_faults(world) if name == kind]
            if not first:
                break
            random.choice(first)()
            go_on(world, random.randrange(12))
            faults = possible_faults(world)
            wanted = random.choice(sorted({name for name, _ in faults}))
            random.choice([act for name, act in faults if name == wanted])()
            seconds.add(wanted)
            assert settled(world) == {}, f"moment {moment}, {kind}, then {wanted}"
    assert len(seconds) > 3


def test_the_table_is_complete() -> None:
    seen: set[str] = set()
    for request_class in CLASSES:
        for moment in range(length_of_run(request_class, None)):
            seen.update(name for name, _ in possible_faults(run_to(request_class, None, moment)))
    assert seen == set(ALL_KINDS)
