"""Open flows while cells, homes and routers change, at four sizes of fleet.

Nothing here needs a network. Each test names the failure that it guards against. Agents are old or
new: one that started less than a flow's lifetime ago hands packets of unknown flows to its own
target first, so each packet that goes astray reaches other targets too.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest

from ...directory import TargetPhase
from .. import BalancerSteering, PacketKind, Refuse
from .chase import Figures
from .moving_fleet import MovingFleet
from .scene import BALANCER, DOMAIN, PORT, RETENTION, Scene, flow, packet

SIZES = [
    pytest.param(15, 3, id="15 targets"),
    pytest.param(42, 3, id="42 targets"),
    pytest.param(110, 5, id="110 targets"),
    pytest.param(1_000, 7, id="1,000 targets"),
]
AGES = [pytest.param(-RETENTION, id="old agents"), pytest.param(0.0, id="new agents")]
FLOWS = 12  # a run; half as many in the largest fleet, where each costs most
OPENED = 0.11  # so that flows are 0.39 s old when homes are told first, and 0.89 s the next time
Record = Callable[[str, object], None]
VmsOf = Callable[[int], set[int]]


def check(figures: Figures, record: Record) -> None:
    """Demand that no flow is reset and each is found before it counts as astray."""
    record("figures", str(figures))
    if figures.resets or figures.lost:
        pytest.fail(str(figures), pytrace=False)


def strangers(fleet: MovingFleet, view: int = 0) -> Callable[[int], BalancerSteering]:
    """Return for each flow a balancer of another failure domain than the one that placed it."""
    return lambda number: fleet.balancer(number + 1, view)


def some_flows(fleet: MovingFleet, first: int = 0) -> range:
    """Return the numbers of the flows of a run."""
    return range(first, first + (FLOWS if len(fleet.hosts()) < 500 else FLOWS // 2))


def open_all(fleet: MovingFleet, now: float, first: int = 0) -> list[int]:
    """Open flows and return those that a target took."""
    return [number for number in some_flows(fleet, first) if fleet.open(number, now) is not None]


@pytest.mark.parametrize("is_growing", [True, False], ids=["growing", "shrinking"])
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_flows_are_lost_when_a_domain_gets_another_number_of_cells(
    targets: int, domains: int, started_at: float, is_growing: bool, record_property: Record
) -> None:
    """Guards against flows, told and young, that nobody finds as cells and homes are others."""
    fleet = MovingFleet(targets, domains, started_at, is_filled=True)
    few = dict(fleet.targets)
    added = fleet.add_targets()
    many = dict(fleet.targets)
    fleet.targets = few if is_growing else many
    fleet.publish(0.0)
    fleet.hear(0.0)
    told = open_all(fleet, OPENED)
    fleet.live(0.0, 1.5)
    young = open_all(fleet, 1.8, FLOWS)
    kept = [each for each in told + young if fleet.owner(each) not in added]
    fleet.targets = many if is_growing else few
    fleet.publish(2.1, fleet.views[:1])
    fleet.move_routers()

    def balancer_of(number: int) -> BalancerSteering:
        return fleet.balancer(number + number // domains, number % 2)

    # The others learn a second later.
    events = [(3.0, lambda now: fleet.publish(now, fleet.views[1:]))]
    figures = fleet.chase(kept, 2.1, balancer_of, events)
    for name, numbers in (("told", told), ("young", young)):
        part = [chase for each, chase in zip(kept, figures.chases, strict=True) if each in numbers]
        record_property(name, str(Figures(part)))
    check(figures, record_property)
    fleet.live(4.1, 4.5)
    fleet.move_routers()
    later = [fleet.follow(balancer_of(each), fleet.sent(each), 4.6) for each in kept]
    assert all(each.is_reached for each in later)
    assert max(len(each.hosts) for each in later) <= 3


@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_young_flows_are_lost_when_another_domain_takes_over(
    targets: int, domains: int, started_at: float, record_property: Record
) -> None:
    """Guards against flows that no home knows for as long as a packet may go astray."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED)
    fleet.move_routers()
    check(fleet.chase(numbers, 0.2, strangers(fleet)), record_property)


def make_unfit(fleet: MovingFleet, how: str, hosts: set[int]) -> None:
    """Let targets take no new flows."""
    fleet.silent = hosts if how == "silent" else set()
    fleet.hear(0.1)
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
            fleet.targets[host] = replace(left, phase=TargetPhase.DRAINING, revision=11)
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
def test_flows_placed_beyond_the_usual_candidates_are_lost(
    targets: int, domains: int, started_at: float, how: str, copies: int, record_property: Record
) -> None:
    """Guards against flows placed where nobody looks, as six of ten targets took no new ones."""
    fleet = MovingFleet(targets, domains, started_at)
    make_unfit(fleet, how, fleet.some(0.6))
    asked = some_flows(fleet)
    numbers = [each for each in asked if fleet.open(each, OPENED, copies=copies) is not None]
    # Who is silent is another test's matter.
    fleet.silent = set()
    fleet.hear(0.2)
    fleet.move_routers()
    assert len(numbers) >= len(asked) / 2
    check(fleet.chase(numbers, 0.2, strangers(fleet)), record_property)


@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_young_flows_whose_requests_wait_are_lost_when_another_domain_takes_over(
    targets: int, domains: int, started_at: float, record_property: Record
) -> None:
    """Guards against homes that are told of a flow only when its target has answered a request."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = some_flows(fleet)
    for number in numbers:
        fleet.open(number, OPENED, is_answered=False)
    fleet.move_routers()
    check(fleet.chase(numbers, 0.2, strangers(fleet)), record_property)


@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_half_open_target_that_ignores_packets_keeps_them_from_their_own(
    targets: int, domains: int, started_at: float, record_property: Record
) -> None:
    """Guards against an agent that gives every packet to a target that only began to open it."""
    fleet = MovingFleet(targets, domains, started_at)
    fleet.is_deaf = True
    numbers = some_flows(fleet)
    for number in numbers:
        fleet.open(number, OPENED, copies=2)
    fleet.move_routers()
    check(fleet.chase(numbers, 0.2, fleet.balancer), record_property)


@pytest.mark.parametrize("is_told", [True, False], ids=["told", "not told"])
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_packets_end_at_an_agent_that_passed_an_opening_packet_on(
    targets: int, domains: int, started_at: float, is_told: bool
) -> None:
    """Guards against an agent that sends all packets after a copy that another one overtook."""
    fleet = MovingFleet(targets, domains, started_at)
    for number in some_flows(fleet):
        first = fleet.homes(number)[0]
        fleet.full = {first}
        opening = fleet.sent(number, PacketKind.OPENING)
        passed_to = fleet.follow_from(first, opening, OPENED, ()).answered_by
        fleet.full = set()
        owner = next(each for each in fleet.hosts() if each not in (first, passed_to))
        copy = fleet.sent(number, PacketKind.OPENING, copy=1)
        assert fleet.follow_from(owner, copy, OPENED, ()).answered_by == owner
        fleet.owners[flow(number)] = owner
        fleet.follow_from(owner, fleet.sent(number), OPENED, ())
        fleet.answer(owner, number, PacketKind.PLAIN, OPENED)
        assert passed_to is not None
        if is_told:
            fleet.live(0.9, 1.0)
        trip = fleet.follow_from(first, fleet.sent(number), 1.1, (passed_to,))
        if len(trip.hosts) < 2 or (is_told and not trip.is_reached):
            pytest.fail(f"ended at {len(trip.hosts)}: {trip.end}", pytrace=False)


def pick(
    fleet: MovingFleet, numbers: Sequence[int], struck: VmsOf, spared: VmsOf
) -> tuple[list[int], set[int]]:
    """Return flows that have some VMs struck and others spared, and all VMs that are struck."""
    picked: list[int] = []
    hit: set[int] = set()
    safe: set[int] = set()
    for number in numbers:
        hits, saves = hit | struck(number), safe | spared(number)
        if not hits & saves and len(hits) <= max(len(fleet.hosts()) // 10, 4):
            picked.append(number)
            hit, safe = hits, saves
    assert picked
    return picked, hit


@pytest.mark.parametrize("is_known", [True, False], ids=["known", "not yet known"])
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_search_ends_at_a_home_that_is_silent(
    targets: int, domains: int, started_at: float, is_known: bool, record_property: Record
) -> None:
    """Guards against packets that end at a dead or frozen home though the other one is heard."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED)
    fleet.live(0.0, 2.0)
    met, fleet.silent = pick(
        fleet,
        numbers,
        lambda each: {fleet.homes(each)[0]},
        lambda each: {fleet.homes(each)[1], fleet.owner(each)},
    )
    fleet.move_routers()
    known_at = 2.9 if is_known else 4.0
    known = [(known_at, lambda now: fleet.report(fleet.silent, now, silence_milliseconds=950))]
    figures = fleet.chase(met, 3.0, strangers(fleet), known)
    check(figures, record_property)
    assert not is_known or all(each.seconds == 0.0 for each in figures.chases), figures


@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_home_hands_its_own_target_packets_of_a_flow_that_it_was_told_of(
    targets: int, domains: int, started_at: float, record_property: Record
) -> None:
    """Guards against packets at homes' targets, as the owner's agent starts and routers change."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED)
    fleet.live(0.0, 2.0)
    met, restarted = pick(
        fleet, numbers, lambda each: {fleet.owner(each)}, lambda each: set(fleet.homes(each))
    )
    for host in restarted:
        fleet.restart_agent(host, 2.1)
    fleet.report(restarted, 2.1, is_new=True)
    fleet.move_routers()
    figures = fleet.chase(met, 2.2, strangers(fleet))
    check(figures, record_property)
    for number, chase in zip(met, figures.chases, strict=True):
        assert not set(chase.others) & set(fleet.homes(number)), figures


@pytest.mark.parametrize("with_owner", [False, True], ids=["homes", "homes and owner"])
@pytest.mark.parametrize("started_at", AGES)
@pytest.mark.parametrize(("targets", "domains"), SIZES)
def test_flows_are_lost_when_both_their_homes_start_anew(
    targets: int, domains: int, started_at: float, with_owner: bool, record_property: Record
) -> None:
    """Guards against flows that nobody knows while agents are released one after the other."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED)
    fleet.live(0.0, 2.0)

    def struck(number: int) -> set[int]:
        return set(fleet.homes(number)) | ({fleet.owner(number)} if with_owner else set())

    def spared(number: int) -> set[int]:
        return set() if with_owner else {fleet.owner(number)}

    met, restarted = pick(fleet, numbers, struck, spared)
    for host in restarted:
        fleet.restart_agent(host, 2.1)
    fleet.report(restarted, 2.1, is_new=True)
    fleet.move_routers()
    check(fleet.chase(met, 2.2, strangers(fleet)), record_property)


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
    """Guards against resets, and packets at another target, where a home remembers too much."""
    fleet = MovingFleet(targets, domains, started_at)
    numbers = open_all(fleet, OPENED)
    fleet.live(0.0, 1.5)
    before = {number: fleet.owner(number) for number in numbers}
    fleet.is_deaf = earlier == "held"
    for number in numbers:
        if earlier == "closed":
            fleet.end(number, 1.6)
        elif earlier == "held":
            fleet.half_open.add((before[number], flow(number)))
    fleet.live(1.5, reopened_at)
    again = [
        number
        for number in numbers
        if fleet.open(number, reopened_at, domain=number + 1, epoch=1) != before[number]
    ]
    # Ten seconds after the first notice its agent tells the earlier flow again.
    start = 11.2 if reopened_at == 9.11 else reopened_at + 0.1
    fleet.live(reopened_at, start)
    if way == "home":
        fleet.move_routers()
    step = 2 if way == "home" else 0
    figures = fleet.chase(again, start, lambda each: fleet.balancer(each + step), epoch=1)
    check(figures, record_property)
    for number, chase in zip(again, figures.chases, strict=True):
        assert earlier != "closed" or before[number] not in chase.others, figures


def test_open_flow_is_reset_by_a_balancer_that_does_not_know_its_route_yet() -> None:
    """Guards against resets of flows that came here from a balancer with a newer configuration."""
    scene = Scene()
    scene.hear(0.0)
    balancer = BalancerSteering(
        BALANCER, DOMAIN, scene.directory, scene.peers, scene.placement, RETENTION
    )
    on_new_route = packet(key=flow()._replace(service_port=PORT + 1))
    for age in (0.1, 1.0, 1.9):
        decision = balancer.steer(on_new_route, age)
        assert not isinstance(decision, Refuse), f"content confirmed {age} s ago"
