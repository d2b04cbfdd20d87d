"""Steps of the scenarios in `membership.feature`."""

from __future__ import annotations

from pytest_bdd import given, parsers, scenarios, then, when

from ...measurements._membership_fleet import Fleet, Process
from .. import MemberState

SEED = 5
SETTLE_SECONDS = 2.0

scenarios("membership.feature")


def _process(fleet: Fleet, number: int) -> Process:
    return fleet.processes[f"process-{number}"]


def _others(fleet: Fleet, process: Process) -> list[Process]:
    return [each for each in fleet.live if each is not process]


def _join(fleet: Fleet, number: int, name: str | None = None) -> Process:
    known = [each.member for each in fleet.live]
    process = fleet.add(number, name, known)
    process.side = (known and fleet.live[0].side) or 0
    return process


def _all_see(fleet: Fleet, number: int, state: MemberState) -> bool:
    process = _process(fleet, number)
    return all(fleet.believes(each, process) is state for each in _others(fleet, process))


@given(
    parsers.parse("a fleet of {size:d} processes with {loss:d} percent loss"),
    target_fixture="fleet",
)
def _fleet(size: int, loss: int) -> Fleet:
    fleet = Fleet(size, SEED, loss / 100)
    fleet.run(SETTLE_SECONDS)
    return fleet


@when(parsers.parse("the fleet is split in two for {seconds:g} seconds"), target_fixture="sides")
def _split(fleet: Fleet, seconds: float) -> list[list[Process]]:
    sides = [fleet.live[::2], fleet.live[1::2]]
    fleet.split(sides)
    fleet.run(seconds)
    return sides


@when("the partition heals")
def _heal(fleet: Fleet) -> None:
    fleet.heal()


@when(parsers.parse("process {number:d} crashes"))
def _crash(fleet: Fleet, number: int) -> None:
    fleet.crash(_process(fleet, number))


@when(parsers.parse("process {number:d} ends"))
def _end(fleet: Fleet, number: int) -> None:
    fleet.stop(_process(fleet, number))


@when(parsers.parse("process {number:d} joins knowing the others"))
def _join_one(fleet: Fleet, number: int) -> None:
    _join(fleet, number)


@when(parsers.parse("processes {first:d} to {last:d} join knowing the others"))
def _join_many(fleet: Fleet, first: int, last: int) -> None:
    for number in range(first, last + 1):
        _join(fleet, number)


@when(parsers.parse("another VM starts at the address of process {number:d} knowing the others"))
def _replace(fleet: Fleet, number: int) -> None:
    _join(fleet, number, f"successor-{number}")


@when(parsers.parse("{seconds:g} seconds pass"))
def _advance(fleet: Fleet, seconds: float) -> None:
    fleet.run(seconds)


@when(parsers.parse("process {number:d} is frozen for {seconds:g} seconds"))
def _freeze(fleet: Fleet, number: int, seconds: float) -> None:
    fleet.pause(_process(fleet, number))
    fleet.run(seconds)


@when(parsers.parse("process {number:d} resumes"))
def _resume(fleet: Fleet, number: int) -> None:
    fleet.wake(_process(fleet, number))


@when(parsers.parse("process {number:d} announces that it leaves"))
def _leave(fleet: Fleet, number: int) -> None:
    fleet.leave(_process(fleet, number))


@when(parsers.parse("process {number:d} announces that it stays"))
def _stay(fleet: Fleet, number: int) -> None:
    fleet.stay(_process(fleet, number))


@when(parsers.parse("process {number:d} runs only every {gap:g} seconds for {seconds:g} seconds"))
def _run_slowly(fleet: Fleet, number: int, gap: float, seconds: float) -> None:
    process = _process(fleet, number)
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.pause(process)
        fleet.run(gap)
        fleet.wake(process, jump=False)


@then("each side sees its own processes as alive and the others as dead")
def _sides_are_separate(fleet: Fleet, sides: list[list[Process]]) -> None:
    for side in sides:
        names = {each.member.name for each in side}
        for process in side:
            assert process.alive == names - {process.member.name}
            assert process.membership.is_fresh(fleet.now)
            for other in _others(fleet, process):
                if other not in side:
                    assert fleet.believes(process, other) is MemberState.DEAD


@then(parsers.parse("all views agree within {seconds:g} seconds"))
def _views_agree(fleet: Fleet, seconds: float) -> None:
    assert fleet.run_until(fleet.agree, seconds) < seconds


@then(parsers.parse("all others see process {number:d} as dead"))
def _is_dead_for_others(fleet: Fleet, number: int) -> None:
    assert _all_see(fleet, number, MemberState.DEAD)


@then(parsers.parse("all others see process {number:d} as leaving"))
def _is_leaving_for_others(fleet: Fleet, number: int) -> None:
    assert _all_see(fleet, number, MemberState.LEAVING)


@then(parsers.parse("the view of process {number:d} is stale"))
def _view_is_stale(fleet: Fleet, number: int) -> None:
    assert not _process(fleet, number).membership.is_fresh(fleet.now)


@then(parsers.parse("the view of process {number:d} is fresh"))
def _view_is_fresh(fleet: Fleet, number: int) -> None:
    assert _process(fleet, number).membership.is_fresh(fleet.now)


@then(parsers.parse("process {number:d} still lists {first:d} and {second:d} as available"))
def _view_still_lists(fleet: Fleet, number: int, first: int, second: int) -> None:
    assert {first, second} <= _process(fleet, number).membership.view.available


@then(
    parsers.parse("process {number:d} never lists {first:d} or {second:d} while its view is fresh")
)
def _never_lists_while_fresh(fleet: Fleet, number: int, first: int, second: int) -> None:
    process = _process(fleet, number)

    def settled() -> bool:
        fresh = process.membership.is_fresh(fleet.now)
        assert not fresh or not {first, second} & process.membership.view.available
        return fresh

    assert fleet.run_until(settled, 10.0, 0.01) < 10.0


@then("no process was declared dead")
def _none_declared_dead(fleet: Fleet) -> None:
    assert [each for each in fleet.changes if each.change.after is MemberState.DEAD] == []


@then(parsers.parse("no process was declared dead by process {number:d}"))
def _none_declared_dead_by(fleet: Fleet, number: int) -> None:
    name = f"process-{number}"
    dead = [each for each in fleet.changes if each.change.after is MemberState.DEAD]
    assert [each for each in dead if each.observer == name] == []
