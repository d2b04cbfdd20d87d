import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Address, Bundle
from .. import RetainedTarget
from .._routes import (
    MAXIMUM_RETAINED_TARGETS,
    RETENTION_SECONDS,
    RoutingTable,
)
from .builders import LOOKUP, SUBMISSION, bundle

OTHER_ADDRESS = Address("10.0.0.3", 443)
NUMBERS = st.lists(st.integers(1, 6), unique=True, max_size=5)


@st.composite
def bundles(draw: st.DrawFn) -> Bundle:
    """Draw a configuration in which targets and addresses come, go, drain and change service."""
    lookup = draw(NUMBERS)
    submission = [each for each in draw(NUMBERS) if each not in lookup]
    addresses = draw(st.sampled_from([(LOOKUP,), (LOOKUP, OTHER_ADDRESS), (OTHER_ADDRESS,)]))
    drawn = bundle(1, lookup, submission, draw(NUMBERS), addresses)
    names = draw(st.sets(st.sampled_from(["lookup", "submission"])))
    return Bundle(1, "", {name: each for name, each in drawn.services.items() if name in names})


@settings(derandomize=True, max_examples=200)
@given(st.lists(bundles(), min_size=1, max_size=6))
def test_changed_table_matches_fresh_table(history: list[Bundle]) -> None:
    table, fresh = RoutingTable(), RoutingTable()
    for step, each in enumerate(history):
        table.apply_bundle(each, float(step))
    fresh.apply_bundle(history[-1], 0.0)
    assert table.target_numbers == fresh.target_numbers
    assert table.draining == fresh.draining
    for address, routes in fresh.routes.items():
        assert not table.is_retired(address)
        kept = table.routes[address]
        assert kept.first_packets == routes.first_packets
        assert kept.inquiries == routes.inquiries
        assert kept.winners.target_numbers == routes.winners.target_numbers
        assert kept.owners.items() >= routes.owners.items()
    assert table.agents.items() >= fresh.agents.items()
    retained = {each.tunnel: each.number for each in table.retained_targets}
    declared = set(fresh.agents)
    assert not declared & retained.keys()
    assert {table.agents[tunnel].target_number for tunnel in retained} == set(retained.values())


def test_unchanged_service_is_not_rebuilt() -> None:
    table = RoutingTable()
    table.apply_bundle(bundle(), 0.0)
    before = table.routes[SUBMISSION]
    table.apply_bundle(bundle(2, lookup=(1, 2)), 1.0)
    assert table.routes[SUBMISSION] is before


@pytest.mark.parametrize(
    ("now", "is_listed"),
    [
        pytest.param(1.0 + RETENTION_SECONDS - 1.0, True, id="retained"),
        pytest.param(1.0 + RETENTION_SECONDS, False, id="expired"),
    ],
)
def test_removed_service_expires_after_retention(now: float, is_listed: bool) -> None:
    table = RoutingTable()
    table.apply_bundle(bundle(), 0.0)
    services = dict(bundle().services)
    del services["submission"]
    table.apply_bundle(Bundle(2, "", services), 1.0)
    table.apply_bundle(Bundle(3, "", services), now)
    assert (SUBMISSION in table.routes) is is_listed
    assert (Address("10.1.0.11", 4000) in table.agents) is is_listed


def test_retained_targets_are_bounded() -> None:
    table = RoutingTable()
    table.apply_bundle(bundle(), 0.0)
    table.retain(
        [
            RetainedTarget(100 + each, 1, Address(f"10.8.{each // 250}.{each % 250}", 1), 50.0)
            for each in range(MAXIMUM_RETAINED_TARGETS + 10)
        ],
        0.0,
    )
    assert len(table.retained_targets) == MAXIMUM_RETAINED_TARGETS
