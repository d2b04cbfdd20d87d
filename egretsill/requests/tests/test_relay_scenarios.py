from __future__ import annotations

from random import Random

from pytest_bdd import given, parsers, scenarios, then, when

from ...measurements._relay_faults import (
    break_at_requester,
    crash,
    delay_link,
    fail_backend,
    lose_in_flight,
    pause_gate,
    stop_gate,
)
from ...measurements._relay_judge import settle
from ...measurements._relay_parties import ORDER
from ...measurements._relay_world import RelayWorld
from ...outcomes import Answered, Refused, Unknown
from .._messages import Data, Open, Refusal

DEADLINE_SECONDS = 6.0

scenarios("relay.feature")


def start_order() -> RelayWorld:
    world = RelayWorld(2, Random(1))
    world.ask(ORDER, DEADLINE_SECONDS)
    return world


@given("a caller's order that runs at a backend server", target_fixture="world")
def running_order() -> RelayWorld:
    world = start_order()
    while not world.callers[0].starts:
        world.take_first_step()
    return world


@given("a caller's order that its gate has not read yet", target_fixture="world")
def sent_order() -> RelayWorld:
    world = start_order()
    while not any(isinstance(each, Open) for link in world.links for each in link.to_gate):
        world.take_first_step()
    return world


@given("a caller's order with a part of its answer in flight", target_fixture="world")
def answered_in_part() -> RelayWorld:
    world = running_order()
    while not any(isinstance(each, Data) for link in world.links for each in link.to_requester):
        world.take_first_step()
    return world


@when("its relay link breaks at both ends")
def break_link(world: RelayWorld) -> None:
    lose_in_flight(world, world.links[0])


@when("the gate's agent is paused until after the deadline")
def pause(world: RelayWorld) -> None:
    pause_gate(world, world.links[0].node)
    world.advance(DEADLINE_SECONDS + 1.0)


@when("the gate's agent crashes and restarts")
def replace_gate(world: RelayWorld) -> None:
    crash(world, world.links[0].node.number)


@when("the backend server sheds it")
def shed(world: RelayWorld) -> None:
    node = world.links[0].node
    fail_backend(world, node, node.calls[0], Refusal("shedding", 1.0))


@when("all gates stop new work")
def stop_all(world: RelayWorld) -> None:
    for number in world.nodes:
        stop_gate(world, number)


@when("the link is delayed and the requester switches to a new one")
def switch_link(world: RelayWorld) -> None:
    delay_link(world, world.links[0])
    break_at_requester(world, world.links[0])


@then("the caller has its complete answer")
def complete_answer(world: RelayWorld) -> None:
    settle(world)
    assert world.callers[0].outcome == Answered(200)
    assert not world.violations


@then("the outcome reported to the caller is unknown")
def unknown(world: RelayWorld) -> None:
    settle(world)
    assert isinstance(world.callers[0].outcome, Unknown)
    assert not world.violations


@then("the caller is informed that the order was not run")
def refused(world: RelayWorld) -> None:
    settle(world)
    assert isinstance(world.callers[0].outcome, Refused)
    assert not world.violations


@then(parsers.re(r"the order started (?P<times>once|\d+ times)"))
def starts(world: RelayWorld, times: str) -> None:
    assert world.callers[0].starts == (1 if times == "once" else int(times.split()[0]))
