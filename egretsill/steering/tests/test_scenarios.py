from collections.abc import Callable, Sequence
from functools import partial
from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from ...configuration import TargetState
from ...measurements._steering_fleet import (
    FleetAgent,
    FleetBalancer,
    SteeringFleet,
    short_packet,
)
from .. import ConnectionIdCodec, ConnectionIdKey

scenarios("steering.feature")

OLD_KEY, NEW_KEY = (ConnectionIdKey(each, bytes([each]) * 16) for each in (1, 2))
SETTLING_SECONDS = 120.0


class Scenario:
    """Planned changes to a fleet, and their effect on its flows."""

    def __init__(self, targets: int, balancers: int) -> None:
        codec = ConnectionIdCodec([OLD_KEY])
        self.fleet = SteeringFleet(Random(11), codec, targets, balancers)
        self.flows: list[tuple[FleetAgent, bytes]] = []
        self.packet_seconds = 0.0
        self.end = 0.0
        self.broken: set[bytes] = set()
        self.stopped: list[FleetBalancer] = []
        self.replaced_targets: set[int] = set()

    def replace_balancers(self, start: float, seconds: float) -> None:
        for step in range(len(self.fleet.balancers)):
            self._plan(start + step * seconds, self._replace_oldest_balancer)

    def replace_targets(self, start: float, seconds: float) -> None:
        for step in range(len(self.fleet.targets)):
            added_at = start + step * seconds
            self._plan(added_at, self.fleet.add_target)
            self._plan(added_at + seconds / 2, self._drain_oldest_target)
            self._plan(added_at + seconds - 1.0, self._remove_draining_targets)

    def rotate_key(self, seconds: float) -> None:
        for step, keys in enumerate(([OLD_KEY, NEW_KEY], [NEW_KEY, OLD_KEY])):
            codec = ConnectionIdCodec(keys)
            rotate = partial(self.fleet.replace_codec, codec, makers=True)
            self._plan(step * seconds, rotate)

    def run(self) -> None:
        self.end += SETTLING_SECONDS
        for index, flow in enumerate(self.flows):
            first = index * self.packet_seconds / len(self.flows)
            for step in range(int((self.end - first) / self.packet_seconds)):
                self.fleet.at(first + step * self.packet_seconds, partial(self._send, *flow))
        self.fleet.run(self.end)

    def _plan(self, when: float, action: Callable[[], None]) -> None:
        self.fleet.at(when, action)
        self.end = max(self.end, when)

    def _send(self, owner: FleetAgent, connection_id: bytes) -> None:
        if self.fleet.deliver(short_packet(connection_id)) is not owner:
            self.broken.add(connection_id)

    def _replace_oldest_balancer(self) -> None:
        self.fleet.start_balancer()
        self.stopped.append(self.fleet.balancers.pop(0))

    def _drain_oldest_target(self) -> None:
        active = self._numbers(TargetState.ACTIVE)
        self.replaced_targets.add(active[0])
        self.fleet.drain_target(active[0])

    def _remove_draining_targets(self) -> None:
        for number in self._numbers(TargetState.DRAINING):
            self.fleet.remove_target(number)

    def _numbers(self, state: TargetState) -> Sequence[int]:
        return [number for number, each in self.fleet.targets.items() if each.state is state]


@pytest.fixture
def rounds() -> dict[str, float]:
    """Return the start time of the next round of each kind of change."""
    return {}


@given(
    parsers.parse("a service of {targets:d} targets behind {balancers:d} balancers"),
    target_fixture="scenario",
)
def make_scenario(targets: int, balancers: int) -> Scenario:
    return Scenario(targets, balancers)


@given(parsers.parse("{count:d} flows that each send a packet every {seconds:d} seconds"))
def open_flows(scenario: Scenario, count: int, seconds: int) -> None:
    scenario.packet_seconds = seconds
    for _ in range(count):
        flow = scenario.fleet.open_flow()
        assert flow is not None
        scenario.flows.append(flow)


@when(parsers.parse("all balancers are replaced, one every {seconds:d} seconds"))
def replace_balancers(scenario: Scenario, rounds: dict[str, float], seconds: int) -> None:
    count = len(scenario.fleet.balancers)
    start = rounds.get("balancers", 0.0)
    rounds["balancers"] = start + count * seconds
    scenario.replace_balancers(start, seconds)


@when(parsers.parse("all targets are replaced, one every {seconds:d} seconds"))
def replace_targets(scenario: Scenario, rounds: dict[str, float], seconds: int) -> None:
    count = len(scenario.fleet.targets)
    start = rounds.get("targets", 0.0)
    rounds["targets"] = start + count * seconds
    scenario.replace_targets(start, seconds)


@when(parsers.parse("the connection ID key is rotated in two steps, {seconds:d} seconds apart"))
def rotate_key(scenario: Scenario, seconds: int) -> None:
    scenario.rotate_key(seconds)


@then("no flow is broken")
def no_flow_is_broken(scenario: Scenario) -> None:
    scenario.run()
    assert len(scenario.flows) == 200
    assert not scenario.broken


@then("all balancers are new")
def all_balancers_are_new(scenario: Scenario) -> None:
    assert len(scenario.stopped) == 4
    assert not set(scenario.stopped) & set(scenario.fleet.balancers)


@then("new flows go to the new targets only")
def new_flows_go_to_new_targets(scenario: Scenario) -> None:
    opened = [scenario.fleet.open_flow() for _ in range(200)]
    owners = {flow[0].number for flow in opened if flow is not None}
    assert owners == set(scenario.fleet.targets)
    assert not owners & scenario.replaced_targets
    assert None not in opened
