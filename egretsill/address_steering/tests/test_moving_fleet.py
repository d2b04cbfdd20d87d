"""Open flows while cells, homes and routers change, at four fleet sizes.

These tests need no network. Each names the failure that it guards against. Agents are old or new:
one that started less than a flow's lifetime ago delivers packets of unknown flows to its own target
first, so each packet sent to the wrong agent also reaches other targets.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest

from ...directory import TargetPhase
from ...directory.tests.revisions import rev
from .. import BalancerSteering, PacketKind, Refuse
from .chase import OutcomeSummary
from .moving_fleet import MovingFleet
from .scene import BALANCER, DOMAIN, PORT, RETENTION, Scene, flow, packet

SIZES = [
    pytest.param(15, 3, id="15 targets"),
    pytest.param(42, 3, id="42 targets"),
    pytest.param(110, 5, id="110 targets"),
    pytest.param(1_000, 7, id="1,000 targets"),
]
AGES = [pytest.param(-RETENTION, id="old agents"), pytest.param(0.0, id="new agents")]
FLOWS = 12  # per run; half as many in the largest fleet, where each costs most
OPENED_AT = 0.11  # flows are 0.39 s old when notices are first due, and 0.89 s the next time
Record = Callable[[str, object], None]
HostsOfFlow = Callable[[int], set[int]]


def check(summary: OutcomeSummary, record: Record) -> None:
    """Assert that no flow is reset and each is found within the maximum search time."""
    record("figures", str(summary))
    if summary.resets or summary.lost:
        pytest.fail(str(summary), pytrace=False)


def balancers_elsewhere(fleet: MovingFleet, view: int = 0) -> Callable[[int], BalancerSteering]:
    """Return a function from a flow to a balancer outside the domain that placed it."""
    return lambda number: fleet.balancer(number + 1, view)


def flow_numbers(fleet: MovingFleet, first: int = 0) -> range:
    """Return the numbers of the flows in a run."""
    return range(first, first + (FLOWS if len(fleet.hosts()) < 500 else FLOWS // 2))


def open_all(fleet: MovingFleet, now: float, first: int = 0) -> list[int]:
    """Open flows and return those that a target accepted."""
    return [number for number in flow_numbers(fleet, first) if fleet.open(number, now) is not None]


@pytest.mark.parametrize("is_growing", [True, False], ids=["growing", "shrinking"])
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_flows_are_found_when_number_of_cells_changes(
    targets: int, domains: int, started_at: float, is_growing: bool, record_property: Record
) -> None:
    """Guards against announced and young flows that are not found after cells and homes change."""
    fleet = MovingFleet(targets, domains, started_at, is_filled=True)
    few = dict(fleet.targets)
    added = fleet.add_targets()
    many = dict(fleet.targets)
    fleet.targets = few if is_growing else many
    fleet.publish(0.0)
    fleet.receive_heartbeats(0.0)
    announced = open_all(fleet, OPENED_AT)
    fleet.live(0.0, 1.5)
    young = open_all(fleet, 1.8, FLOWS)
    kept = [each for each in announced + young if fleet.owner(each) not in added]
    fleet.targets = many if is_growing else few
    fleet.publish(2.1, fleet.views[:1])
    fleet.move_routers()

    def balancer_of(number: int) -> BalancerSteering:
        return fleet.balancer(number + number // domains, number % 2)

    # The other processes receive the change a second later.
    events = [(3.0, lambda now: fleet.publish(now, fleet.views[1:]))]
    summary = fleet.follow_flows(kept, 2.1, balancer_of, events)
    for name, numbers in (("announced", announced), ("young", young)):
        part = [
            outcome for each, outcome in zip(kept, summary.outcomes, strict=True) if each in numbers
        ]
        record_property(name, str(OutcomeSummary(part)))
    check(summary, record_property)
    fleet.live(4.1, 4.5)
    fleet.move_routers()
    later = [fleet.follow(balancer_of(each), fleet.sent(each), 4.6) for each in kept]
    assert all(each.has_arrived for each in later)
    assert max(len(each.hosts) for each in later) <= 3


@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_unannounced_flows_are_found_from_another_domain(
    targets: int, domains: int, started_at: float, record_property: Record
) -> None:
    """Guards against flows that no home knows during the maximum search time."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED_AT)
    fleet.move_routers()
    check(fleet.follow_flows(numbers, 0.2, balancers_elsewhere(fleet)), record_property)


def make_unavailable(fleet: MovingFleet, how: str, hosts: set[int]) -> None:
    """Make targets unavailable for new flows."""
    fleet.silent = hosts if how == "silent" else set()
    fleet.receive_heartbeats(0.1)
    if how == "silent":
        fleet.report(hosts, 0.1, silence_milliseconds=2_000)
    elif how == "full":
        fleet.full = hosts
    elif how == "unwilling":
        unwilling = sorted(hosts)
        fleet.report(unwilling[::3], 0.1, is_target_silent=True)
        fleet.report(unwilling[1::3], 0.1, is_leaving=True)
        for host in unwilling[2::3]:
            left = fleet.targets[host]
            fleet.targets[host] = replace(left, phase=TargetPhase.DRAINING, revision=rev(11))
        fleet.publish(0.1)


@pytest.mark.parametrize(
    ("how", "copies"),
    [
        pytest.param("", 2, id="a copy elsewhere"),
        pytest.param("silent", 1, id="silent VMs"),
        pytest.param("unwilling", 1, id="unwilling or draining targets"),
        pytest.param("full", 1, id="full targets"),
        pytest.param("full", 2, id="full targets and a copy"),
    ],
)
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_flows_beyond_usual_candidates_are_found(
    targets: int, domains: int, started_at: float, how: str, copies: int, record_property: Record
) -> None:
    """Guards against flows placed outside the search when 60% of targets accept no new flows."""
    fleet = MovingFleet(targets, domains, started_at)
    make_unavailable(fleet, how, fleet.sample_hosts(0.6))
    asked = flow_numbers(fleet)
    numbers = [each for each in asked if fleet.open(each, OPENED_AT, copies=copies) is not None]
    # Searches past silent VMs are covered by another test.
    fleet.silent = set()
    fleet.receive_heartbeats(0.2)
    fleet.move_routers()
    assert len(numbers) >= len(asked) / 2
    check(fleet.follow_flows(numbers, 0.2, balancers_elsewhere(fleet)), record_property)


@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_unanswered_young_flows_are_found_from_another_domain(
    targets: int, domains: int, started_at: float, record_property: Record
) -> None:
    """Guards against homes that are notified only after the target has answered a request."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = flow_numbers(fleet)
    for number in numbers:
        fleet.open(number, OPENED_AT, is_answered=False)
    fleet.move_routers()
    check(fleet.follow_flows(numbers, 0.2, balancers_elsewhere(fleet)), record_property)


@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_half_open_target_that_ignores_packets_keeps_them_from_their_own(
    targets: int, domains: int, started_at: float, record_property: Record
) -> None:
    """Guards against an agent that delivers every packet to a target with a half-open flow."""
    fleet = MovingFleet(targets, domains, started_at)
    fleet.ignores_half_open = True
    numbers = flow_numbers(fleet)
    for number in numbers:
        fleet.open(number, OPENED_AT, copies=2)
    fleet.move_routers()
    check(fleet.follow_flows(numbers, 0.2, fleet.balancer), record_property)


@pytest.mark.parametrize("is_announced", [True, False], ids=["announced", "not announced"])
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_packet_is_found_past_agent_that_passed_its_syn_on(
    targets: int, domains: int, started_at: float, is_announced: bool
) -> None:
    """Guards against an agent that forwards all packets after a SYN whose copy was faster."""
    fleet = MovingFleet(targets, domains, started_at)
    for number in flow_numbers(fleet):
        first = fleet.homes(number)[0]
        fleet.full = {first}
        opening = fleet.sent(number, PacketKind.SYN)
        passed_to = fleet.follow_from(first, opening, OPENED_AT, ()).answered_by
        fleet.full = set()
        owner = next(each for each in fleet.hosts() if each not in (first, passed_to))
        copy = fleet.sent(number, PacketKind.SYN, copy=1)
        assert fleet.follow_from(owner, copy, OPENED_AT, ()).answered_by == owner
        fleet.owners[flow(number)] = owner
        fleet.follow_from(owner, fleet.sent(number), OPENED_AT, ())
        fleet.answer(owner, number, PacketKind.PLAIN, OPENED_AT)
        assert passed_to is not None
        if is_announced:
            fleet.live(0.9, 1.0)
        path = fleet.follow_from(first, fleet.sent(number), 1.1, (passed_to,))
        if len(path.hosts) < 2 or (is_announced and not path.has_arrived):
            pytest.fail(f"ended at {len(path.hosts)}: {path.end}", pytrace=False)


def pick(
    fleet: MovingFleet, numbers: Sequence[int], affected: HostsOfFlow, unaffected: HostsOfFlow
) -> tuple[list[int], set[int]]:
    """Return flows whose VMs can be affected or unaffected as given, and all affected VMs."""
    picked: list[int] = []
    failing: set[int] = set()
    intact: set[int] = set()
    for number in numbers:
        new_failing, new_intact = failing | affected(number), intact | unaffected(number)
        if not new_failing & new_intact and len(new_failing) <= max(len(fleet.hosts()) // 10, 4):
            picked.append(number)
            failing, intact = new_failing, new_intact
    assert picked
    return picked, failing


@pytest.mark.parametrize("is_known", [True, False], ids=["known", "not yet known"])
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_search_continues_past_silent_home(
    targets: int, domains: int, started_at: float, is_known: bool, record_property: Record
) -> None:
    """Guards against packets that end at a failed or paused home while the other is reachable."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED_AT)
    fleet.live(0.0, 2.0)
    picked_flows, fleet.silent = pick(
        fleet,
        numbers,
        lambda each: {fleet.homes(each)[0]},
        lambda each: {fleet.homes(each)[1], fleet.owner(each)},
    )
    fleet.move_routers()
    learned_at = 2.9 if is_known else 4.0
    known = [(learned_at, lambda now: fleet.report(fleet.silent, now, silence_milliseconds=950))]
    summary = fleet.follow_flows(picked_flows, 3.0, balancers_elsewhere(fleet), known)
    check(summary, record_property)
    assert not is_known or all(each.seconds == 0.0 for each in summary.outcomes), summary


@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_home_does_not_deliver_announced_flow_to_own_target(
    targets: int, domains: int, started_at: float, record_property: Record
) -> None:
    """Guards against packets at homes' targets when an owner's agent restarts as routers change."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED_AT)
    fleet.live(0.0, 2.0)
    picked_flows, restarted = pick(
        fleet, numbers, lambda each: {fleet.owner(each)}, lambda each: set(fleet.homes(each))
    )
    for host in restarted:
        fleet.restart_agent(host, 2.1)
    fleet.report(restarted, 2.1, is_new=True)
    fleet.move_routers()
    summary = fleet.follow_flows(picked_flows, 2.2, balancers_elsewhere(fleet))
    check(summary, record_property)
    for number, outcome in zip(picked_flows, summary.outcomes, strict=True):
        assert not set(outcome.other_targets) & set(fleet.homes(number)), summary


@pytest.mark.parametrize("with_owner", [False, True], ids=["homes", "homes and owner"])
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_flows_are_lost_when_both_their_homes_start_anew(
    targets: int, domains: int, started_at: float, with_owner: bool, record_property: Record
) -> None:
    """Guards against flows that no agent knows during a rolling restart of agents."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED_AT)
    fleet.live(0.0, 2.0)

    def affected(number: int) -> set[int]:
        return set(fleet.homes(number)) | ({fleet.owner(number)} if with_owner else set())

    def unaffected(number: int) -> set[int]:
        return set() if with_owner else {fleet.owner(number)}

    picked_flows, restarted = pick(fleet, numbers, affected, unaffected)
    for host in restarted:
        fleet.restart_agent(host, 2.1)
    fleet.report(restarted, 2.1, is_new=True)
    fleet.move_routers()
    check(fleet.follow_flows(picked_flows, 2.2, balancers_elsewhere(fleet)), record_property)


@pytest.mark.parametrize(
    ("earlier", "way", "reopened_at"),
    [
        pytest.param("closed", "home", 2.11, id="both ends closed"),
        pytest.param("forgotten", "home", 2.11, id="its target forgot it"),
        pytest.param("held", "home", 2.11, id="its target has it"),
        pytest.param("forgotten", "home", 9.11, id="its agent told it again"),
        pytest.param("closed", "home", 13.11, id="both ends closed long ago"),
        pytest.param("closed", "balancer", 2.11, id="a balancer remembers it"),
    ],
)
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_flow_is_reset_by_the_owner_of_an_earlier_one_with_its_ports(
    targets: int,
    domains: int,
    started_at: float,
    earlier: str,
    way: str,
    reopened_at: float,
    record_property: Record,
) -> None:
    """Guards against resets and misdelivery due to an outdated record of an earlier flow."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED_AT)
    fleet.live(0.0, 1.5)
    before = {number: fleet.owner(number) for number in numbers}
    fleet.ignores_half_open = earlier == "held"
    for number in numbers:
        if earlier == "closed":
            fleet.end(number, 1.6)
        elif earlier == "held":
            fleet.half_open.add((before[number], flow(number)))
    fleet.live(1.5, reopened_at)
    reopened = [
        number
        for number in numbers
        if fleet.open(number, reopened_at, domain=number + 1, epoch=1) != before[number]
    ]
    # Ten seconds after the first notice, the agent announces the earlier flow again.
    start = 11.2 if reopened_at == 9.11 else reopened_at + 0.1
    fleet.live(reopened_at, start)
    if way == "home":
        fleet.move_routers()
    step = 2 if way == "home" else 0
    summary = fleet.follow_flows(reopened, start, lambda each: fleet.balancer(each + step), epoch=1)
    check(summary, record_property)
    for number, outcome in zip(reopened, summary.outcomes, strict=True):
        assert earlier != "closed" or before[number] not in outcome.other_targets, summary


def test_balancer_does_not_reset_flow_of_unknown_new_route() -> None:
    """Guards against resets of flows opened through a balancer with a newer configuration."""
    scene = Scene()
    scene.receive_heartbeats(0.0)
    balancer = BalancerSteering(
        BALANCER, DOMAIN, scene.directory, scene.peers, scene.placement, RETENTION
    )
    on_new_route = packet(key=flow()._replace(service_port=PORT + 1))
    for age in (0.1, 1.0, 1.9):
        decision = balancer.steer(on_new_route, age)
        assert not isinstance(decision, Refuse), f"content confirmed {age} s ago"
