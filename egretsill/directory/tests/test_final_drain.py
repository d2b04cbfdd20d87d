"""Tests of what a later entry under the name of a draining target says of it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from .. import Changes, Directory, RouteTable, Snapshot, Target, TargetPhase
from .revisions import rev

TABLE = RouteTable(7, {}, 15.0)
READY = Target("own", 1, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, 500, rev(11), 3)
DRAINING = replace(READY, phase=TargetPhase.DRAINING, revision=rev(16), sequence=8)


def make_directory(target: Target) -> Directory:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(20), TABLE, (target,)), 0.0)
    return directory


def write(directory: Directory, target: Target, number: int) -> None:
    written = replace(target, revision=rev(number))
    directory.apply_changes(Changes(rev(number), changed=(written,)), 1.0)


def takes_new_flows(directory: Directory) -> bool:
    """Return whether any entry at the VM brings it new flows."""
    views = directory.targets_on(1)
    return any(each.takes_new_flows(1.0) for each in views if each.target.service == "lookup")


# Guards against an entry written over a draining target's own that brings it back into use.
@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"sequence": 1}, id="lower sequence"),
        pytest.param({"sequence": 900}, id="higher sequence"),
        pytest.param({"started_milliseconds": 0}, id="no start"),
        pytest.param({"started_milliseconds": 400}, id="earlier start"),
    ],
)
@pytest.mark.parametrize("is_removed", [False, True], ids=["written over", "removed before"])
def test_run_that_drains_is_not_ready_again(changes: dict[str, int], is_removed: bool) -> None:
    directory = make_directory(DRAINING)
    if is_removed:
        directory.apply_changes(Changes(rev(21), removed=("own",)), 0.5)
    write(directory, replace(READY, **changes), 22)  # type: ignore[arg-type]
    assert not takes_new_flows(directory)


def test_next_start_under_the_same_name_is_ready() -> None:
    directory = make_directory(DRAINING)
    write(directory, replace(READY, started_milliseconds=900, sequence=1), 21)
    assert takes_new_flows(directory)


# Guards against a drain that is forgotten since the target's entry named another VM meanwhile.
def test_drain_is_known_after_the_entry_named_other_vms() -> None:
    directory = make_directory(DRAINING)
    write(directory, replace(READY, host=2), 21)
    write(directory, replace(READY, host=3, started_milliseconds=900), 22)
    assert not takes_new_flows(directory)
    write(directory, READY, 23)
    assert not takes_new_flows(directory)


# Guards against a drain that nobody learns of because the entry was written over at once.
def test_drain_counts_if_the_entry_was_written_over_in_the_same_batch() -> None:
    directory = make_directory(READY)
    moved = replace(READY, host=2)
    written = (DRAINING, moved, READY)
    changed = [replace(each, revision=rev(21 + n)) for n, each in enumerate(written)]
    directory.apply_changes(Changes(rev(23), changed=changed), 1.0)
    assert not takes_new_flows(directory)


# Guards against a drain that is forgotten since an earlier run was named meanwhile.
def test_drain_is_known_after_the_entry_named_an_earlier_run() -> None:
    directory = make_directory(DRAINING)
    write(directory, replace(DRAINING, started_milliseconds=400), 21)
    write(directory, replace(READY, host=2), 22)
    write(directory, READY, 23)
    assert not takes_new_flows(directory)


# Guards against a living target that is out of use since its entry named another VM meanwhile.
def test_drain_of_another_vm_does_not_bind_the_target() -> None:
    directory = make_directory(READY)
    write(directory, replace(DRAINING, host=2), 21)
    write(directory, replace(READY, sequence=9), 22)
    assert takes_new_flows(directory)


# Without a start, a restart under the same name can't be told from the run before.
def test_without_starts_the_later_write_counts() -> None:
    directory = make_directory(replace(DRAINING, started_milliseconds=0))
    write(directory, replace(READY, started_milliseconds=0), 21)
    assert takes_new_flows(directory)
