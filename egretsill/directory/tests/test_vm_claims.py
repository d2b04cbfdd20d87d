"""Tests of which of several entries at one VM are of its target."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest

from .. import Changes, Directory, Route, RouteTable, ServiceShare, Snapshot, Target, TargetPhase
from .revisions import rev

HOST, PORT = 1, 80
SERVICES = ("lookup", "intake")
OWN = Target("own", HOST, PORT, "lookup", "a", TargetPhase.READY, 4, 0.0, 500, rev(11), 3)
COPY = replace(OWN, name="copy", revision=rev(12))
DRAINING = replace(OWN, phase=TargetPhase.DRAINING, revision=rev(21), sequence=4)

_ROUTES = {
    (9, port): Route(f"r{port}", 9, port, (ServiceShare(service, 1),))
    for port, service in enumerate(SERVICES, start=443)
}
TABLE = RouteTable(7, _ROUTES, 15.0)


def make_directory(*targets: Target) -> Directory:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(20), TABLE, targets), 0.0)
    return directory


def write(directory: Directory, target: Target, now: float) -> None:
    revision = rev(directory.content_revision.number + 1)
    directory.apply_changes(Changes(revision, changed=(replace(target, revision=revision),)), now)


def remove(directory: Directory, name: str, now: float) -> None:
    revision = rev(directory.content_revision.number + 1)
    directory.apply_changes(Changes(revision, removed=(name,)), now)


def takes_new_flows(directory: Directory, service: str, now: float) -> bool:
    """Return whether any entry at the VM brings it new flows of a service."""
    views = [each for each in directory.targets_on(HOST) if each.target.service == service]
    return any(each.takes_new_flows(now) for each in views)


@dataclass(frozen=True)
class _Other:
    """A later entry for the VM of a target, and whether it counts.

    Attributes:
        changes: how it differs from a copy of the target's own.
        takes_over: whether the VM's new flows go by it while the target's own entry is there.
    """

    changes: dict[str, object] = field(default_factory=dict)
    takes_over: bool = False

    @property
    def entry(self) -> Target:
        return replace(COPY, **self.changes)  # type: ignore[arg-type]


OTHERS = [
    pytest.param(_Other(), id="equal start"),
    pytest.param(_Other({"started_milliseconds": 400}), id="earlier start"),
    pytest.param(_Other({"started_milliseconds": 0}), id="no start"),
    pytest.param(_Other({"started_milliseconds": 900}, takes_over=True), id="later start"),
    pytest.param(_Other({"port": 81}), id="another port"),
]


# Guards against a draining target that gets new flows because another entry for it says ready.
@pytest.mark.parametrize("other", OTHERS)
@pytest.mark.parametrize("is_drain_first", [False, True], ids=["entry first", "drain first"])
def test_other_entry_takes_back_no_drain(other: _Other, is_drain_first: bool) -> None:
    directory = make_directory(OWN)
    for entry in (DRAINING, other.entry) if is_drain_first else (other.entry, DRAINING):
        write(directory, entry, 1.0)
    assert not takes_new_flows(directory, "lookup", 1.0)


# Guards against the same at a process that starts while the other entry is there.
@pytest.mark.parametrize("other", OTHERS)
def test_process_that_starts_beside_another_entry_knows_of_the_drain(other: _Other) -> None:
    directory = make_directory(DRAINING, other.entry)
    assert not takes_new_flows(directory, "lookup", 1.0)


# Guards against a target that gets new flows, through another entry, after its own has gone.
@pytest.mark.parametrize("own", [OWN, DRAINING], ids=["ready", "draining"])
@pytest.mark.parametrize("started", [0, 400, 500])
def test_entry_without_a_later_start_is_of_no_later_target(own: Target, started: int) -> None:
    directory = make_directory(own)
    write(directory, replace(COPY, started_milliseconds=started), 1.0)
    remove(directory, "own", 2.0)
    assert not takes_new_flows(directory, "lookup", 2.0)


# Guards against a drain that ends because its entry lapsed, as the target still serves.
def test_entry_beside_a_drain_is_of_no_later_target() -> None:
    directory = make_directory(DRAINING)
    write(directory, replace(COPY, started_milliseconds=900), 1.0)
    remove(directory, "own", 2.0)
    assert not takes_new_flows(directory, "lookup", 2.0)


# Guards against an address that nobody can use again.
@pytest.mark.parametrize("own", [OWN, DRAINING], ids=["ready", "draining"])
def test_next_target_takes_the_address_over(own: Target) -> None:
    directory = make_directory(own)
    remove(directory, "own", 1.0)
    write(directory, replace(COPY, started_milliseconds=900), 3.0)
    assert takes_new_flows(directory, "lookup", 3.0)


# Guards against a target that loses its new flows to an entry for another service.
@pytest.mark.parametrize("other", OTHERS)
def test_entry_of_another_service_takes_over_by_a_later_start_only(other: _Other) -> None:
    directory = make_directory(OWN)
    write(directory, replace(other.entry, service="intake"), 1.0)
    assert takes_new_flows(directory, "lookup", 1.0) is not other.takes_over
    assert takes_new_flows(directory, "intake", 1.0) is other.takes_over


# Guards against a target that is out of use once a copy of its entry is removed.
@pytest.mark.parametrize("other", OTHERS)
def test_target_holds_when_another_entry_is_removed(other: _Other) -> None:
    directory = make_directory(OWN)
    write(directory, other.entry, 1.0)
    remove(directory, "copy", 2.0)
    assert takes_new_flows(directory, "lookup", 2.0)


# Guards against a VM that other processes take for one of another failure domain than its agent.
@pytest.mark.parametrize("other", [each for each in OTHERS if each.id != "later start"])
@pytest.mark.parametrize("service", SERVICES)
def test_other_entry_moves_no_vm_to_another_domain(other: _Other, service: str) -> None:
    entry = replace(other.entry, service=service, failure_domain="elsewhere")
    directory = make_directory(OWN)
    write(directory, entry, 1.0)
    write(directory, replace(OWN, capacity=5), 2.0)
    assert directory.domains() == {HOST: "a"}


# Guards against processes that disagree on cells because they learned of entries in another order.
def test_domain_does_not_depend_on_the_order_of_entries() -> None:
    other = replace(COPY, failure_domain="elsewhere")
    one, two = make_directory(OWN, other), make_directory(other, OWN)
    assert one.domains() == two.domains()


# Guards against a fleet whose targets publish no start, in which no address is used again.
def test_without_starts_the_later_entry_is_of_the_next_target() -> None:
    unknown = replace(OWN, started_milliseconds=0)
    directory = make_directory(unknown)
    write(directory, replace(unknown, name="next", service="intake"), 1.0)
    assert takes_new_flows(directory, "intake", 1.0)
    assert not takes_new_flows(directory, "lookup", 1.0)
