"""Tests of a directory while the store comes back from a copy of an earlier time."""

from __future__ import annotations

from dataclasses import dataclass, replace

import pytest

from .. import Changes, Directory, RouteTable, Snapshot, StoreReturn, Target, TargetPhase
from .._target_entries import COPY_SETTLING_SECONDS
from .._vm_claims import LAPSE_GRACE_SECONDS
from .._write_order import WriteOrder, compare_writes, is_successor
from .revisions import rev

TABLE = RouteTable(7, {}, 15.0)
# One run of a target on a VM, with its writes in order.
READY = Target("one", 1, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, 500, rev(11), 3)
DRAINING = replace(READY, phase=TargetPhase.DRAINING, revision=rev(16), sequence=8)
OTHER = replace(READY, name="two", host=2, revision=rev(12))
RETURNED_AT = 5.0


def copied(target: Target) -> Target:
    """Return an entry as a copy brings it back in the second era."""
    return replace(target, revision=rev(target.revision.number, era=2))


def make_directory(*targets: Target) -> Directory:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(20), TABLE, targets), RETURNED_AT - 0.5)
    return directory


def bring_back(directory: Directory, *targets: Target, number: int = 13) -> None:
    entries = [copied(each) for each in targets]
    directory.apply_snapshot(Snapshot(rev(number, era=2), TABLE, entries), RETURNED_AT)


def names(directory: Directory, now: float) -> set[str]:
    views = directory.targets_of("lookup")
    return {each.target.name for each in views if not each.has_departed(now)}


@dataclass(frozen=True)
class _Writes:
    entry: Target
    known: Target
    order: WriteOrder


@pytest.mark.parametrize(
    "row",
    [
        pytest.param(_Writes(DRAINING, READY, WriteOrder.LATER), id="later in one era"),
        pytest.param(_Writes(READY, DRAINING, WriteOrder.EARLIER), id="earlier in one era"),
        pytest.param(_Writes(copied(READY), DRAINING, WriteOrder.EARLIER), id="from a copy"),
        pytest.param(_Writes(copied(READY), READY, WriteOrder.SAME), id="same write in a copy"),
        pytest.param(
            _Writes(replace(DRAINING, revision=rev(9, era=2)), READY, WriteOrder.LATER),
            id="later write under a lower number",
        ),
        pytest.param(
            _Writes(
                replace(READY, started_milliseconds=600, sequence=1, revision=rev(9, era=2)),
                DRAINING,
                WriteOrder.LATER,
            ),
            id="later run with a lower sequence",
        ),
        pytest.param(
            _Writes(replace(copied(DRAINING), sequence=3), READY, WriteOrder.LATER),
            id="writes without numbers",
        ),
    ],
)
def test_order_of_writes(row: _Writes) -> None:
    assert compare_writes(row.entry, row.known) is row.order


# Guards against a target that is ready again through the copy's entry after its drain was known.
def test_copy_does_not_make_a_draining_target_ready() -> None:
    directory = make_directory(DRAINING)
    bring_back(directory, READY)
    assert [each.phase for each in directory.targets] == [TargetPhase.DRAINING]
    assert directory.content_revision == rev(13, era=2)
    assert directory.outdated_entries == 1


# Guards against a target that is gone at once because the copy lacks it, or stays for ever.
@pytest.mark.parametrize("target", [READY, DRAINING], ids=["ready", "draining"])
def test_target_that_the_copy_lacks_is_awaited(target: Target) -> None:
    directory = make_directory(target, OTHER)
    bring_back(directory, OTHER)
    assert names(directory, RETURNED_AT + 1.0) == {"one", "two"}
    later = RETURNED_AT + LAPSE_GRACE_SECONDS
    assert names(directory, later) == {"two"}
    directory.tick(later)
    assert names(directory, later) == {"two"}


def test_target_that_writes_again_is_no_longer_awaited() -> None:
    directory = make_directory(READY, OTHER)
    bring_back(directory, OTHER)
    again = replace(READY, revision=rev(14, era=2), sequence=9)
    directory.apply_changes(Changes(rev(14, era=2), changed=(again,)), RETURNED_AT + 1.0)
    assert names(directory, RETURNED_AT + 60.0) == {"one", "two"}


# Guards against an address that goes back to the service that had it before the copy was made.
@pytest.mark.parametrize("is_former_known", [True, False])
def test_used_address_does_not_go_back_to_the_former_service(is_former_known: bool) -> None:
    former = READY
    user = replace(
        READY, name="new", service="intake", started_milliseconds=900, revision=rev(16), sequence=1
    )
    directory = make_directory(former, user) if is_former_known else make_directory(user)
    bring_back(directory, former)
    current, replaced = (directory.target_at(1, each) for each in ("intake", "lookup"))
    assert current is not None
    assert not current.has_departed(RETURNED_AT + 1.0)
    assert replaced is not None
    assert replaced.has_departed(RETURNED_AT + 1.0)
    assert replaced.superseded_by == "new"
    no_longer_awaited_at = RETURNED_AT + LAPSE_GRACE_SECONDS
    directory.tick(no_longer_awaited_at)
    replaced = directory.target_at(1, "lookup")
    assert replaced is not None
    assert replaced.has_departed(no_longer_awaited_at), "the next target's entry may be late"
    again = replace(user, revision=rev(14, era=2), sequence=4)
    directory.apply_changes(Changes(rev(14, era=2), changed=(again,)), RETURNED_AT + 3.0)
    current, replaced = (directory.target_at(1, each) for each in ("intake", "lookup"))
    assert current is not None
    assert current.missing_since is None
    assert replaced is not None
    assert replaced.has_departed(RETURNED_AT + 3.0)
    assert is_successor(again, former)


# Guards against a live target that stays unused because its entry in the copy looks old.
def test_outdated_entry_is_taken_once_the_copy_has_settled() -> None:
    directory = make_directory(READY, OTHER)
    directory.apply_changes(Changes(rev(21), removed=("one",)), RETURNED_AT - 0.2)
    bring_back(directory, READY, OTHER)
    assert names(directory, RETURNED_AT) == {"two"}
    assert not directory.needs_complete_read(RETURNED_AT + 1.0)
    settled_at = RETURNED_AT + COPY_SETTLING_SECONDS
    assert directory.needs_complete_read(settled_at)
    entries = [copied(READY), copied(OTHER)]
    directory.apply_snapshot(Snapshot(rev(13, era=2), TABLE, entries), settled_at)
    assert names(directory, settled_at) == {"one", "two"}
    assert not directory.needs_complete_read(settled_at)


# Guards against a configuration that was confirmed and that a process lacks since it started
# between the return and the moment at which it was written again.
def test_configuration_that_the_copy_lacks_comes_from_a_peer_of_the_earlier_era() -> None:
    directory = Directory()
    bring_back(directory, READY)
    newer = replace(TABLE, version=9)
    assert directory.lacks(rev(20), 9)
    assert directory.apply_peer_content(rev(20), newer, (), 0.0, RETURNED_AT)
    assert (directory.version, names(directory, RETURNED_AT)) == (9, {"one"})
    assert not directory.lacks(rev(20), 9)


# Guards against an answer of the earlier era that arrives late.
def test_content_of_an_earlier_era_is_ignored() -> None:
    directory = make_directory(READY)
    bring_back(directory, READY)
    assert not directory.apply_snapshot(Snapshot(rev(30), TABLE, ()), RETURNED_AT + 1.0)
    assert not directory.apply_changes(Changes(rev(30), removed=("one",)), RETURNED_AT + 1.0)
    assert not directory.apply_peer_content(rev(30), TABLE, (), 0.0, RETURNED_AT + 1.0)
    directory.confirm(rev(30), 0.0, RETURNED_AT + 1.0)
    assert (names(directory, RETURNED_AT), directory.confirmed_at) == ({"one"}, RETURNED_AT)


# Guards against changes of an era of which the process has no complete content.
def test_changes_of_a_later_era_are_not_merged() -> None:
    directory = make_directory(READY)
    removal = Changes(rev(30, era=2), removed=("one",))
    assert not directory.apply_changes(removal, RETURNED_AT)
    assert directory.content_revision == rev(20)


# Guards against peers that keep an earlier era's content since its changes seem to continue it.
def test_changes_are_not_listed_across_a_return() -> None:
    directory = make_directory(READY)
    bring_back(directory, READY, number=25)
    assert directory.changes_since(rev(20)) is None
    again = replace(DRAINING, revision=rev(26, era=2), sequence=9)
    directory.apply_changes(Changes(rev(26, era=2), changed=(again,)), RETURNED_AT + 1.0)
    assert directory.changes_since(rev(20)) is None
    changes = directory.changes_since(rev(25, era=2))
    assert changes is not None
    assert changes.targets == (again,)


def test_return_is_described() -> None:
    directory = make_directory(DRAINING, OTHER)
    assert directory.last_return is None
    bring_back(directory, READY)
    expected = StoreReturn(rev(20), rev(13, era=2), version_read=7, lacking=1, outdated=1)
    assert directory.last_return == expected
