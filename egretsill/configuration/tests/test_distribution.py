from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when
from trio.testing import MockClock

from ...stand_ins.platform import Down, Well
from .. import Publication, compile_publication, encode_publication
from .fleets import make_history, make_services
from .service_fleet import DOMAINS, ServiceFleet

scenarios("distribution.feature")

Step = Callable[[ServiceFleet], Awaitable[None]]
HISTORY = make_history(4)


@dataclass(slots=True)
class ScenarioRunner:
    """Collects the steps of a scenario, and runs them in order in one trio loop."""

    processes: int = 0
    steps: list[Step] = field(default_factory=list)

    def add(self, step: Callable[[ServiceFleet], None]) -> None:
        async def run_step(fleet: ServiceFleet) -> None:
            step(fleet)

        self.steps.append(run_step)

    def wait(self, seconds: float) -> None:
        async def run_step(fleet: ServiceFleet) -> None:
            await trio.sleep(seconds)

        self.steps.append(run_step)

    def run(self) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                fleet = ServiceFleet(nursery, self.processes)
                for step in self.steps:
                    await step(fleet)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))


@pytest.fixture
def runner() -> Iterator[ScenarioRunner]:
    runner = ScenarioRunner()
    yield runner
    runner.run()


def publish_from_scratch(fleet: ServiceFleet, publication: Publication) -> None:
    for key, value in encode_publication(publication).items():
        fleet.store.put(key, value)


@given(parsers.parse("a fleet of {count:d} processes with revision {revision:d} in force"))
def start_fleet(runner: ScenarioRunner, count: int, revision: int) -> None:
    runner.processes = count
    runner.add(lambda fleet: fleet.publish(HISTORY[revision - 1]))
    runner.add(ServiceFleet.start_all)
    runner.wait(10)
    runner.add(lambda fleet: check_in_force(fleet, revision))


@when(parsers.parse("revision {revision:d} is published"))
@when(parsers.parse("the platform serves revision {revision:d}"))
def publish(runner: ScenarioRunner, revision: int) -> None:
    runner.add(lambda fleet: fleet.publish(HISTORY[revision - 1]))


@when(parsers.parse("only the head of revision {revision:d} is published"))
def publish_head(runner: ScenarioRunner, revision: int) -> None:
    runner.add(lambda fleet: fleet.publish(HISTORY[revision - 1], {"head"}))


@when(parsers.parse("different content is published as revision {revision:d}"))
def publish_conflicting(runner: ScenarioRunner, revision: int) -> None:
    conflicting = compile_publication(make_services(5), revision)
    runner.add(lambda fleet: fleet.publish(conflicting))


@when(parsers.parse("{seconds:d} seconds pass"))
def wait(runner: ScenarioRunner, seconds: int) -> None:
    runner.wait(seconds)


@when("two failure domains are cut off from the platform")
def cut(runner: ScenarioRunner) -> None:
    runner.add(lambda fleet: fleet.cut_domains.update(DOMAINS[:2]))


@when("the platform goes down")
def take_platform_down(runner: ScenarioRunner) -> None:
    runner.add(lambda fleet: fleet.store.set_fault(Down()))


@when("the platform comes back")
def restore_platform(runner: ScenarioRunner) -> None:
    runner.add(lambda fleet: fleet.store.set_fault(Well()))


@when(parsers.parse("process {name} is replaced"))
def replace(runner: ScenarioRunner, name: str) -> None:
    runner.add(lambda fleet: fleet.stop(name))
    runner.add(lambda fleet: fleet.start(name))


@when(parsers.parse("every process is replaced, one every {seconds:d} seconds"))
def replace_each(runner: ScenarioRunner, seconds: int) -> None:
    async def run_step(fleet: ServiceFleet) -> None:
        for name in list(fleet.names):
            fleet.stop(name)
            fleet.start(name)
            await trio.sleep(seconds)

    runner.steps.append(run_step)


@when("all processes are replaced at once")
def replace_all(runner: ScenarioRunner) -> None:
    runner.add(ServiceFleet.replace_all)


@when("all readers stop")
def stop_readers(runner: ScenarioRunner) -> None:
    def stop(fleet: ServiceFleet) -> None:
        readers = [name for name, service in fleet.services.items() if service.is_reader]
        assert len(readers) == 2 * len(DOMAINS)
        for name in readers:
            fleet.stop(name)

    runner.add(stop)


def check_in_force(fleet: ServiceFleet, revision: int) -> None:
    assert fleet.revisions() == {revision}
    for revisions in fleet.in_force.values():
        assert revisions == sorted(revisions)


@then(parsers.parse("revision {revision:d} is in force everywhere"))
def revision_in_force(runner: ScenarioRunner, revision: int) -> None:
    runner.add(lambda fleet: check_in_force(fleet, revision))


@then(parsers.parse("no process ever had a revision other than {revision:d}"))
def only_revision(runner: ScenarioRunner, revision: int) -> None:
    def check(fleet: ServiceFleet) -> None:
        assert {each for revisions in fleet.in_force.values() for each in revisions} == {revision}

    runner.add(check)


@then("older revisions were ignored")
def older_ignored(runner: ScenarioRunner) -> None:
    def check(fleet: ServiceFleet) -> None:
        assert sum(service.older_ignored for service in fleet.services.values()) > 0

    runner.add(check)


@then("the same content is in force everywhere")
def one_content(runner: ScenarioRunner) -> None:
    def check(fleet: ServiceFleet) -> None:
        bundles = [service.bundle for service in fleet.services.values()]
        assert None not in bundles
        assert len({bundle.digest for bundle in bundles if bundle}) == 1

    runner.add(check)


@then("an alarm was raised")
def alarm_raised(runner: ScenarioRunner) -> None:
    def check(fleet: ServiceFleet) -> None:
        assert fleet.alarms

    runner.add(check)
