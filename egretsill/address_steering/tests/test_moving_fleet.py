"""Open flows while cells, homes and routers change, at four sizes of fleet.

Nothing here needs a network. Each test names the failure that it guards against. Agents are old or
new: one that started less than a flow's lifetime ago hands packets of unknown flows to its own
target first, so each packet that goes astray reaches other targets too.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from ...directory import TargetPhase
from .. import BalancerSteering
from .chase import Figures
from .moving_fleet import MovingFleet
from .scene import RETENTION

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
