"""A merge that fails leaves the directory as it was, so that the next one can make up for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from .. import Changes, ContentChanges, Directory, Route, RouteTable, ServiceShare, Snapshot
from .. import _directory as directory_module
from .. import _target_entries as entries_module
from .._change_log import RouteChanges
from .._target_index import TargetIndex
from .revisions import rev
from .test_directory import ONE, TWO, make_directory, make_table, names

ONE_LATER = replace(ONE, capacity=8, sequence=2, revision=rev(31))
TWO_LATER = replace(TWO, capacity=8, sequence=2, revision=rev(32))
THREE = replace(ONE, name="three", host=3, revision=rev(33))
TARGETS = (ONE_LATER, TWO_LATER, THREE)
ROUTE = Route("r2", 9, 444, (ServiceShare("intake", 1),))
TABLE = RouteTable(8, {(9, 444): ROUTE}, 15.0)
ROUTE_CHANGES = RouteChanges((7,), 8, 15.0, (ROUTE,), ((9, 443),))

Merge = Callable[[Directory], bool | None]


class UnexpectedError(Exception):
    """An exception that no part of the system expects."""


def fail_at_call(monkeypatch: pytest.MonkeyPatch, owner: object, name: str, number: int) -> None:
    """Let one call of a function fail."""
    original = getattr(owner, name)
    calls = 0

    def fail_or_call(*arguments: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls == number:
            raise UnexpectedError
        return original(*arguments)

    monkeypatch.setattr(owner, name, fail_or_call)


def merge_snapshot(directory: Directory) -> bool:
    return directory.apply_snapshot(Snapshot(rev(40), TABLE, TARGETS), 1.0)


def merge_changes(directory: Directory) -> bool:
    return directory.apply_changes(Changes(rev(40), TABLE, TARGETS), 1.0)


def merge_peer_content(directory: Directory) -> bool:
    return directory.apply_peer_content(rev(40), TABLE, TARGETS, 0.0, 1.0)


def merge_peer_changes(directory: Directory) -> bool | None:
    changes = ContentChanges(rev(20), rev(40), ROUTE_CHANGES, TARGETS, ())
    return directory.apply_peer_changes(changes, 0.0, 1.0)


MERGES = [
    pytest.param(merge_snapshot, id="snapshot"),
    pytest.param(merge_changes, id="changes"),
    pytest.param(merge_peer_content, id="content of a peer"),
    pytest.param(merge_peer_changes, id="changes of a peer"),
]
STEPS = [
    pytest.param(entries_module, "compare_writes", 1, id="first entry"),
    pytest.param(entries_module, "compare_writes", 2, id="second entry"),
    pytest.param(entries_module, "TargetView", 3, id="view of the last entry"),
    pytest.param(directory_module, "route_changes", 1, id="routes"),
]


# Guards against entries that are in force after a merge that failed half-way, while the revision,
# the generation and the changes for peers don't tell of them.
@pytest.mark.parametrize("merge", MERGES)
@pytest.mark.parametrize(("owner", "step", "number"), STEPS)
def test_failed_merge_changes_nothing_and_can_be_repeated(
    merge: Merge, owner: object, step: str, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    directory, peer = make_directory(), make_directory()
    generation = directory.generation
    fail_at_call(monkeypatch, owner, step, number)
    with pytest.raises(UnexpectedError):
        merge(directory)
    assert directory.targets == [ONE, TWO]
    assert (directory.version, directory.content_revision) == (7, rev(20))
    assert (directory.generation, directory.confirmed_at) == (generation, 0.0)
    assert directory.changes_since(rev(20)) is None
    assert directory.route(9, 443) is not None
    assert merge(directory)
    assert names(directory) == {"one", "two", "three"}
    assert (directory.version, directory.content_revision) == (8, rev(40))
    changes = directory.changes_since(rev(20))
    assert changes is not None
    assert peer.apply_peer_changes(changes, 0.0, 2.0)
    assert sorted(peer.targets, key=str) == sorted(directory.targets, key=str)
    assert peer.version == 8


# Guards against a process that takes itself for up to date with content that it failed to merge.
@pytest.mark.parametrize("merge", [merge_snapshot, merge_peer_content], ids=["store", "peer"])
def test_failed_first_merge_leaves_the_content_unknown(
    merge: Merge, monkeypatch: pytest.MonkeyPatch
) -> None:
    directory = Directory()
    fail_at_call(monkeypatch, entries_module, "TargetView", 2)
    with pytest.raises(UnexpectedError):
        merge(directory)
    assert (directory.has_content, directory.is_known, directory.targets) == (False, False, [])
    assert directory.lacks(rev(40), 8)
    assert merge(directory)
    assert (directory.is_known, names(directory)) == (True, {"one", "two", "three"})


# Guards against a merge of the store's next era that failed and counts as done.
def test_failed_merge_of_a_later_era_is_repeated(monkeypatch: pytest.MonkeyPatch) -> None:
    directory = make_directory()
    snapshot = Snapshot(rev(15, era=2), make_table(7), (replace(ONE, revision=rev(11, era=2)),))
    fail_at_call(monkeypatch, entries_module, "compare_writes", 1)
    with pytest.raises(UnexpectedError):
        directory.apply_snapshot(snapshot, 1.0)
    assert (directory.content_revision, directory.last_return) == (rev(20), None)
    assert directory.apply_snapshot(snapshot, 1.0)
    assert directory.content_revision == rev(15, era=2)
    assert directory.last_return is not None


# Guards against an index of earlier targets that is used after its rebuild failed.
def test_index_is_rebuilt_again_after_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    directory = make_directory()
    assert [each.target for each in directory.targets_of("lookup")] == [ONE, TWO]
    fail_at_call(monkeypatch, TargetIndex, "rebuild", 1)
    merge_changes(directory)
    with pytest.raises(UnexpectedError):
        directory.targets_of("lookup")
    assert {each.target for each in directory.targets_of("lookup")} == set(TARGETS)
