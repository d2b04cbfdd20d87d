"""Tests of what a later entry under the name of a draining target says of it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from .. import Changes, Directory, RouteTable, Snapshot, Target, TargetPhase
from .._vm_claims import CLAIM_SECONDS
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


def make_reader(*, is_one_batch: bool) -> Directory:
    """Return what a process knows that read a drain and then a write over it."""
    reader = make_directory(READY)
    drained, written = replace(DRAINING, revision=rev(21)), replace(READY, revision=rev(22))
    for each in ((drained, written),) if is_one_batch else ((drained,), (written,)):
        reader.apply_changes(Changes(each[-1].revision, changed=each), 1.0)
    return reader


# Guards against peers of the process that read a drain, which don't learn of it as the entry was
# written over before they were told.
@pytest.mark.parametrize("is_one_batch", [True, False], ids=["one batch", "two batches"])
@pytest.mark.parametrize("is_complete", [True, False], ids=["complete content", "changes"])
def test_peers_learn_of_a_drain_that_was_written_over(
    is_one_batch: bool, is_complete: bool
) -> None:
    reader, peer = make_reader(is_one_batch=is_one_batch), make_directory(READY)
    if is_complete:
        told = reader.targets_for_peers
        peer.apply_peer_content(reader.content_revision, reader.table, told, 0.0, 1.0)
    else:
        changes = reader.changes_since(peer.content_revision)
        assert changes is not None
        assert peer.apply_peer_changes(changes, 0.0, 1.0)
    assert not takes_new_flows(peer)
    assert peer.targets == reader.targets


# Guards against a drain that peers pass on to each other for good.
def test_peers_are_told_of_a_denied_drain_for_a_while_only() -> None:
    reader = make_reader(is_one_batch=True)
    assert len(reader.targets_for_peers) == 2
    reader.confirm(reader.content_revision, 0.0, 1.0 + CLAIM_SECONDS)
    assert reader.targets_for_peers == reader.targets
