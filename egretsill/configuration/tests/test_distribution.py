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
class Story:
    """Steps collected in order; the story runs in one loop at its first check and at each next."""

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
def story() -> Iterator[Story]:
    story = Story()
    yield story
    story.run()


def publish_from_scratch(fleet: ServiceFleet, publication: Publication) -> None:
    for key, value in encode_publication(publication).items():
        fleet.store.put(key, value)


@given(parsers.parse("a fleet of {count:d} processes with revision {revision:d} in force"))
def start_fleet(story: Story, count: int, revision: int) -> None:
    story.processes = count
    story.add(lambda fleet: fleet.publish(HISTORY[revision - 1]))
    story.add(ServiceFleet.start_all)
    story.wait(10)
    story.add(lambda fleet: check_in_force(fleet, revision))


@when(parsers.parse("revision {revision:d} is published"))
@when(parsers.parse("the platform serves revision {revision:d}"))
def publish(story: Story, revision: int) -> None:
    story.add(lambda fleet: fleet.publish(HISTORY[revision - 1]))


@when(parsers.parse("only the head of revision {revision:d} is published"))
def publish_head(story: Story, revision: int) -> None:
    story.add(lambda fleet: fleet.publish(HISTORY[revision - 1], {"head"}))


@when(parsers.parse("another content is published as revision {revision:d}"))
def publish_rival(story: Story, revision: int) -> None:
    rival = compile_publication(make_services(5), revision)
    story.add(lambda fleet: fleet.publish(rival))


@when(parsers.parse("{seconds:d} seconds pass"))
def wait(story: Story, seconds: int) -> None:
    story.wait(seconds)


@when("two failure domains are cut from the platform")
def cut(story: Story) -> None:
    story.add(lambda fleet: fleet.cut_domains.update(DOMAINS[:2]))


@when("the platform goes down")
def go_down(story: Story) -> None:
    story.add(lambda fleet: fleet.store.set_fault(Down()))


@when("the platform comes back")
def come_back(story: Story) -> None:
    story.add(lambda fleet: fleet.store.set_fault(Well()))


@when(parsers.parse("process {name} is replaced"))
def replace(story: Story, name: str) -> None:
    story.add(lambda fleet: fleet.stop(name))
    story.add(lambda fleet: fleet.start(name))


@when(parsers.parse("every process is replaced, one each {seconds:d} seconds"))
def replace_each(story: Story, seconds: int) -> None:
    async def run_step(fleet: ServiceFleet) -> None:
        for name in list(fleet.names):
            fleet.stop(name)
            fleet.start(name)
            await trio.sleep(seconds)

    story.steps.append(run_step)


@when("all processes are replaced at once")
def replace_all(story: Story) -> None:
    story.add(ServiceFleet.replace_all)


@when("all readers stop")
def stop_readers(story: Story) -> None:
    def stop(fleet: ServiceFleet) -> None:
        readers = [name for name, service in fleet.services.items() if service.is_reader]
        assert len(readers) == 2 * len(DOMAINS)
        for name in readers:
            fleet.stop(name)

    story.add(stop)


def check_in_force(fleet: ServiceFleet, revision: int) -> None:
    assert fleet.revisions() == {revision}
    for revisions in fleet.in_force.values():
        assert revisions == sorted(revisions)


@then(parsers.parse("revision {revision:d} is in force everywhere"))
def revision_in_force(story: Story, revision: int) -> None:
    story.add(lambda fleet: check_in_force(fleet, revision))


@then(parsers.parse("no process ever had another revision than {revision:d}"))
def only_revision(story: Story, revision: int) -> None:
    def check(fleet: ServiceFleet) -> None:
        assert {each for revisions in fleet.in_force.values() for each in revisions} == {revision}

    story.add(check)


@then("older revisions were ignored")
def older_ignored(story: Story) -> None:
    def check(fleet: ServiceFleet) -> None:
        assert sum(service.older_ignored for service in fleet.services.values()) > 0

    story.add(check)


@then("one content is in force everywhere")
def one_content(story: Story) -> None:
    def check(fleet: ServiceFleet) -> None:
        bundles = [service.bundle for service in fleet.services.values()]
        assert None not in bundles
        assert len({bundle.digest for bundle in bundles if bundle}) == 1

    story.add(check)


@then("an alarm was raised")
def alarm_raised(story: Story) -> None:
    def check(fleet: ServiceFleet) -> None:
        assert fleet.alarms

    story.add(check)
