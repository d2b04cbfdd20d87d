"""Tests of what entries of services without a route say about other targets.

Any writer may register any address under a service of its own. A configuration may also name a
service later than its targets' entries come, or no longer name it while its targets live.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from .. import Changes, Directory, Route, RouteTable, ServiceShare, Snapshot, Target, TargetPhase
from .revisions import rev

HOST, PORT = 1, 80
OWN = Target("own", HOST, PORT, "lookup", "a", TargetPhase.READY, 4, 0.0, 5, rev(11))
FOREIGN = replace(OWN, name="foreign", service="inventory", failure_domain="b", revision=rev(12))
NEXT = replace(FOREIGN, name="next", started_milliseconds=9)


def make_table(version: int, *services: str) -> RouteTable:
    routes = {
        (9, port): Route(f"r{port}", 9, port, (ServiceShare(service, 1),))
        for port, service in enumerate(services, start=443)
    }
    return RouteTable(version, routes, 15.0)


def make_directory(targets: Sequence[Target], table: RouteTable | None) -> Directory:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(20), table, targets), 0.0)
    return directory


def is_in_force(directory: Directory, service: str, now: float = 1.0) -> bool:
    view = directory.target_at(HOST, service)
    assert view is not None
    return not view.has_departed(now)


# Guards against open flows that are reset because an entry of another writer has their address.
@pytest.mark.parametrize("started", [1, 5, 9], ids=["earlier", "at the same time", "later"])
def test_unrouted_service_replaces_no_target(started: int) -> None:
    foreign = replace(FOREIGN, started_milliseconds=started)
    directory = make_directory((OWN, foreign), make_table(7, "lookup"))
    assert is_in_force(directory, "lookup")
    view = directory.target_at(HOST, "lookup")
    assert view is not None
    assert not view.superseded_by


# Guards against a target taken for ended because its entry lapsed beside another writer's.
def test_unrouted_service_does_not_end_a_target_whose_entry_vanished() -> None:
    directory = make_directory((OWN, FOREIGN), make_table(7, "lookup"))
    directory.apply_changes(Changes(rev(21), removed=("own",)), 1.0)
    view = directory.target_at(HOST, "lookup")
    assert view is not None
    assert not view.superseded_by


# Guards against a copy of the store in which an entry of another writer is the later one.
def test_unrouted_service_replaces_no_target_across_eras() -> None:
    directory = make_directory((OWN,), make_table(7, "lookup"))
    again = replace(OWN, revision=rev(11, era=2))
    foreign = replace(FOREIGN, started_milliseconds=900, revision=rev(12, era=2))
    snapshot = Snapshot(rev(13, era=2), make_table(7, "lookup"), (again, foreign))
    directory.apply_snapshot(snapshot, 1.0)
    assert is_in_force(directory, "lookup", 2.0)


# Guards against an entry of another writer that is refused from the store but taken from a peer.
def test_unrouted_service_of_peer_content_replaces_no_target() -> None:
    directory = make_directory((OWN,), make_table(7, "lookup"))
    directory.apply_peer_content(rev(30), None, (OWN, FOREIGN), 0.0, 1.0)
    assert is_in_force(directory, "lookup", 2.0)


# Guards against a new service whose target takes over an address before its configuration comes.
def test_target_takes_over_an_address_once_its_service_has_a_route() -> None:
    directory = make_directory((OWN, NEXT), make_table(7, "lookup"))
    directory.apply_changes(Changes(rev(21), make_table(8, "lookup", "inventory")), 1.0)
    assert not is_in_force(directory, "lookup", 1.0)
    assert is_in_force(directory, "inventory")


def test_target_of_unrouted_service_is_replaced_by_a_routed_one() -> None:
    directory = make_directory((OWN, NEXT), make_table(7, "lookup", "inventory"))
    assert not is_in_force(directory, "lookup")
    directory.apply_changes(Changes(rev(21), make_table(8, "intake")), 1.0)
    assert is_in_force(directory, "lookup"), "neither of them has a route"
    routed = replace(NEXT, name="routed", service="intake", revision=rev(22))
    directory.apply_changes(Changes(rev(22), changed=(routed,)), 2.0)
    assert not is_in_force(directory, "lookup", 2.0)


# Guards against cells with VMs on which no process of the system runs.
def test_unrouted_services_form_no_cells() -> None:
    elsewhere = replace(FOREIGN, name="elsewhere", host=2)
    directory = make_directory((OWN, FOREIGN, elsewhere), make_table(7, "lookup"))
    assert directory.domains() == {HOST: "a"}
    directory.apply_changes(Changes(rev(21), make_table(8, "lookup", "inventory")), 1.0)
    assert set(directory.domains()) == {HOST, 2}


@pytest.mark.parametrize("table", [None, make_table(7)], ids=["no configuration", "no routes"])
def test_every_service_counts_while_there_are_no_routes(table: RouteTable | None) -> None:
    directory = make_directory((OWN, replace(FOREIGN, host=2)), table)
    assert set(directory.domains()) == {HOST, 2}


# Guards against a target that stays unused, or goes for good, after its entry was overwritten.
def test_target_is_back_when_its_entry_is_usable_again() -> None:
    directory = make_directory((OWN,), make_table(7, "lookup"))
    # An unusable entry under the target's name counts as a removed one.
    directory.apply_changes(Changes(rev(21), removed=("own",)), 1.0)
    assert not is_in_force(directory, "lookup")
    directory.apply_changes(Changes(rev(22), changed=(replace(OWN, revision=rev(22)),)), 2.0)
    assert is_in_force(directory, "lookup", 2.0)
