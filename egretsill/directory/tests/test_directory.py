"""Tests of a process's view of routes and targets."""

from __future__ import annotations

from dataclasses import replace

import pytest

from .. import (
    Changes,
    Directory,
    MalformedContent,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    Target,
    TargetPhase,
    UnusableEntry,
    WarmUpTerms,
    pack_table,
    pack_targets,
    unpack_table,
    unpack_targets,
)
from .._directory import OUTAGE_SECONDS
from .._vm_claims import LAPSE_GRACE_SECONDS
from .revisions import rev
from .unusable import reject

ONE = Target("one", 1, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, 5, rev(11))
TWO = replace(ONE, name="two", host=2, revision=rev(12))


def make_table(version: int) -> RouteTable:
    route = Route("r", 9, 443, (ServiceShare("lookup", 1),))
    return RouteTable(version, {(9, 443): route}, 15.0)


def make_directory(*targets: Target, at: int = 20, now: float = 0.0) -> Directory:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(at), make_table(7), targets or (ONE, TWO)), now)
    return directory


def names(directory: Directory) -> set[str]:
    return {each.name for each in directory.targets}


@pytest.mark.parametrize("version", [3, 6, 7])
def test_older_configuration_is_ignored(version: int) -> None:
    directory = make_directory()
    directory.apply_changes(Changes(rev(30), make_table(version)), 1.0)
    directory.apply_peer_content(rev(40), make_table(version), (ONE,), 0.0, 2.0)
    assert directory.version == 7


def test_lower_revision_is_ignored() -> None:
    directory = make_directory()
    assert not directory.apply_snapshot(Snapshot(rev(19), make_table(9), ()), 1.0)
    assert not directory.apply_changes(Changes(rev(19), make_table(9), removed=("one",)), 1.0)
    assert not directory.apply_peer_content(rev(19), make_table(9), (), 0.0, 1.0)
    assert (directory.version, names(directory)) == (7, {"one", "two"})
    assert directory.confirmed_at == 0.0


def test_changes_are_merged() -> None:
    directory = make_directory()
    draining = replace(ONE, phase=TargetPhase.DRAINING, revision=rev(21))
    assert directory.apply_changes(Changes(rev(22), None, (draining,), ("two",)), 1.0)
    assert directory.targets == [draining]
    assert (directory.content_revision, directory.confirmed_at) == (rev(22), 1.0)
    assert not directory.apply_changes(Changes(rev(25)), 2.0)
    assert (directory.content_revision, directory.confirmed_at) == (rev(22), 2.0)


def test_departed_target_is_kept_while_its_flows_may_be_open() -> None:
    directory = make_directory()
    directory.apply_changes(Changes(rev(22), removed=("two",)), 1.0)
    assert {each.target.name for each in directory.targets_of("lookup")} == {"one", "two"}
    directory.tick(62.0)
    assert {each.target.name for each in directory.targets_of("lookup")} == {"one"}


def test_entry_that_lapsed_in_an_outage_has_a_grace_period() -> None:
    directory = make_directory()
    outage_end = OUTAGE_SECONDS + 5.0
    directory.apply_snapshot(Snapshot(rev(30), make_table(7), (ONE,)), outage_end)
    (view,) = (each for each in directory.targets_of("lookup") if each.target.name == "two")
    assert view.grace_until == outage_end + LAPSE_GRACE_SECONDS
    assert names(directory) == {"one"}, "lapsed entries are not sent to peers"
    directory.tick(outage_end + LAPSE_GRACE_SECONDS)
    (view,) = (each for each in directory.targets_of("lookup") if each.target.name == "two")
    assert view.grace_until <= outage_end


def test_draining_entry_has_no_grace_period_after_an_outage() -> None:
    directory = make_directory(ONE, replace(TWO, phase=TargetPhase.DRAINING))
    directory.apply_snapshot(Snapshot(rev(30), make_table(7), (ONE,)), 10.0)
    (view,) = (each for each in directory.targets_of("lookup") if each.target.name == "two")
    assert view.missing_since == 10.0
    assert view.grace_until < 10.0


def test_reused_address_ends_the_former_target() -> None:
    directory = make_directory()
    intake = Route("other", 9, 80, (ServiceShare("intake", 1),))
    routes = {**make_table(7).routes, (9, 80): intake}
    directory.apply_changes(Changes(rev(20), RouteTable(8, routes, 15.0)), 0.5)
    other = Target("new", 2, 80, "intake", "a", TargetPhase.READY, 4, 0.0, 9, rev(21))
    directory.apply_changes(Changes(rev(21), None, (other,)), 1.0)
    assert directory.target_at(2, "intake") is not None
    former = directory.target_at(2, "lookup")
    assert former is not None
    assert former.missing_since == 1.0


def test_entry_of_a_crashed_target_does_not_hide_its_successor() -> None:
    directory = make_directory()
    restarted = replace(TWO, name="two again", started_milliseconds=9, revision=rev(21))
    directory.apply_changes(Changes(rev(21), None, (restarted,)), 1.0)
    directory.apply_snapshot(Snapshot(rev(22), make_table(7), (ONE, restarted, TWO)), 2.0)
    directory.apply_changes(Changes(rev(23), removed=("two",)), 3.0)
    current = directory.target_at(2, "lookup")
    assert current is not None
    assert (current.target.name, current.missing_since) == ("two again", None)
    usable = [each for each in directory.targets_of("lookup") if each.missing_since is None]
    assert {each.target.name for each in usable} == {"one", "two again"}


def test_confirmation_of_another_revision_is_ignored() -> None:
    directory = make_directory()
    directory.confirm(rev(19), 0.0, 5.0)
    assert directory.confirmed_at == 0.0
    directory.confirm(rev(20), 0.4, 5.0)
    assert directory.confirmed_at == 4.6
    directory.confirm(rev(20), 3.0, 5.0)
    assert directory.confirmed_at == 4.6


def test_packed_content_round_trip() -> None:
    unusable: list[UnusableEntry] = []
    table = replace(make_table(7), warm_up={"lookup": WarmUpTerms(2.0, 8.0)})
    assert unpack_table(pack_table(table)) == table
    assert unpack_targets(pack_targets([ONE, TWO]), unusable.append) == (ONE, TWO)
    assert unusable == []


@pytest.mark.parametrize(
    "packed",
    [
        pytest.param((), id="empty"),
        pytest.param((7, 15.0, ((),), ()), id="route without fields"),
        pytest.param((7, 15.0, (("r", 9, 443, (), 0.2, 1.5, 1),), ()), id="route without services"),
        pytest.param((7, 15.0, ()), id="no warm-up terms"),
        pytest.param(("7", 15.0, (), ()), id="version of another type"),
    ],
)
def test_malformed_table_raises(packed: tuple[object, ...]) -> None:
    with pytest.raises(MalformedContent):
        unpack_table(packed)


@pytest.mark.parametrize(
    "packed",
    [
        pytest.param((("one",),), id="too few fields"),
        pytest.param(
            (("one", 1, 80, "s", "a", "asleep", 4, 0.0, 5, (1, 1), 1),), id="unknown phase"
        ),
        pytest.param((7,), id="no fields"),
    ],
)
def test_malformed_targets_raise(packed: tuple[object, ...]) -> None:
    with pytest.raises(MalformedContent):
        unpack_targets(packed, reject)
