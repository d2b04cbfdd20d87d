"""Tests of the changes that peers with an earlier revision receive."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import msgpack
import pytest

from .. import (
    Changes,
    ContentUpdate,
    Directory,
    MalformedContent,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    Target,
    TargetPhase,
    WarmUpTerms,
    pack_changes,
    pack_table,
    pack_targets,
    unpack_changes,
)
from .._change_log import MAXIMUM_STEPS
from .revisions import rev
from .unusable import reject

ONE = Target("one", 1, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, 5, rev(11))


def make_table(version: int, ports: range = range(443, 446), pace: int = 0) -> RouteTable:
    routes = [Route(f"r{port}", 9, port, (ServiceShare("lookup", 1),)) for port in ports]
    warm_up = {"lookup": WarmUpTerms(2.0, pace)} if pace else {}
    return RouteTable(version, {(each.host, each.port): each for each in routes}, 15.0, warm_up)


def make_directory(at: int = 20) -> Directory:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(at), make_table(7), (ONE,)), 0.0)
    return directory


def copy_changes(sender: Directory, receiver: Directory, now: float = 1.0) -> bool | None:
    """Apply the sender's changes since the receiver's revision, packed and unpacked."""
    changes = sender.changes_since(receiver.content_revision)
    assert changes is not None
    return receiver.apply_peer_changes(unpack_changes(pack_changes(changes, 0), reject), 0.0, now)


def state(directory: Directory) -> object:
    targets = {each.name: each for each in directory.targets}
    return directory.content_revision, directory.version, directory.table, targets


def test_peer_receives_changes_since_its_revision() -> None:
    ahead, behind = make_directory(), make_directory()
    two = replace(ONE, name="two", host=2, revision=rev(21))
    ahead.apply_changes(Changes(rev(21), None, (two,)), 1.0)
    ahead.apply_changes(Changes(rev(25), make_table(9, range(444, 448)), (), ("one",)), 1.0)
    assert copy_changes(ahead, behind) is True
    assert state(behind) == state(ahead)
    assert has_nothing_to_send(ahead, behind)


def has_nothing_to_send(sender: Directory, receiver: Directory) -> bool:
    return sender.changes_since(receiver.content_revision) is None


def test_changes_of_large_content_are_small() -> None:
    """A release changes one entry at a time, here of 136 targets and 1,400 routes."""
    targets = [
        replace(ONE, name=f"target-{each}", host=0x0A000000 + each, revision=rev(each + 1))
        for each in range(136)
    ]
    routes = make_table(7, range(1_000, 2_400))
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(500), routes, targets), 0.0)
    changed = replace(targets[5], phase=TargetPhase.DRAINING, revision=rev(501))
    directory.apply_changes(Changes(rev(501), None, (changed,)), 1.0)
    changes = directory.changes_since(rev(500))
    assert changes is not None
    message = pack_changes(changes, 0)
    complete = (pack_table(routes), pack_targets(directory.targets))
    assert len(msgpack.packb(message.targets)) < 200
    assert len(msgpack.packb(complete)) > 50 * 1_200


def test_applying_changes_gives_the_same_state_as_the_history() -> None:
    for seed in range(60):
        source = Random(seed)
        ahead, behind = make_directory(), make_directory()
        revision, version = 20, 7
        for _ in range(source.randrange(1, 40)):
            revision += source.randrange(1, 4)
            name = f"t{source.randrange(6)}"
            if source.random() < 0.3:
                changes = Changes(rev(revision), removed=(name,))
            elif source.random() < 0.3:
                version += 1
                first = source.randrange(440, 446)
                ports, pace = range(first, first + 3), source.randrange(0, 3)
                changes = Changes(rev(revision), make_table(version, ports, pace))
            else:
                host = source.randrange(1, 5)
                changes = Changes(
                    rev(revision),
                    changed=(replace(ONE, name=name, host=host, revision=rev(revision)),),
                )
            ahead.apply_changes(changes, 1.0)
            if source.random() < 0.2 and ahead.content_revision > behind.content_revision:
                copy_changes(ahead, behind)
        if ahead.content_revision > behind.content_revision:
            copy_changes(ahead, behind)
        assert state(behind) == state(ahead), seed


@pytest.mark.parametrize("lag", [MAXIMUM_STEPS - 1, MAXIMUM_STEPS + 1], ids=["kept", "forgotten"])
def test_change_log_is_bounded(lag: int) -> None:
    directory = make_directory()
    for step in range(1, MAXIMUM_STEPS + 5):
        changed = replace(ONE, warmup_seconds=float(step), revision=rev(20 + step))
        directory.apply_changes(Changes(rev(20 + step), None, (changed,)), 1.0)
    changes = directory.changes_since(rev(directory.content_revision.number - lag))
    assert (changes is not None) is (lag < MAXIMUM_STEPS)


def test_changes_on_an_unknown_base_are_not_applied() -> None:
    ahead, behind = make_directory(30), make_directory(20)
    ahead.apply_changes(Changes(rev(31), None, (replace(ONE, revision=rev(31)),)), 1.0)
    changes = ahead.changes_since(rev(30))
    assert changes is not None
    before = state(behind)
    assert behind.apply_peer_changes(changes, 0.0, 1.0) is None
    assert Directory().apply_peer_changes(changes, 0.0, 1.0) is None
    assert state(behind) == before


def test_late_changes_do_not_restore_a_withdrawn_route() -> None:
    ahead, behind = make_directory(), make_directory()
    ahead.apply_changes(Changes(rev(21), make_table(8, range(443, 446))), 1.0)
    early = ahead.changes_since(rev(20))
    ahead.apply_changes(Changes(rev(22), make_table(9, range(444, 446))), 1.0)
    copy_changes(ahead, behind)
    assert early is not None
    assert behind.apply_peer_changes(early, 0.0, 2.0) is False
    assert behind.route(9, 443) is None
    assert behind.version == 9


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(ContentUpdate((1, 21), 0, (1, 20), ((1,), 2), (), ()), id="routes cut"),
        pytest.param(
            ContentUpdate((1, 21), 0, (1, 20), (("a",), 2, 1.0, (), (), ()), (), ()), id="version"
        ),
        pytest.param(
            ContentUpdate(
                (1, 21), 0, (1, 20), ((1,), 2, 1.0, (("r", 1, 2, (), 0.0, 0.0, 0),), (), ()), (), ()
            ),
            id="no service",
        ),
        pytest.param(ContentUpdate((1, 21), 0, (1, 20), None, ((1,),), ()), id="targets"),
        pytest.param(ContentUpdate((1, 21), 0, (1, 20), None, (), (7,)), id="removed"),  # type: ignore[arg-type]
    ],
)
def test_malformed_changes_raise(message: ContentUpdate) -> None:
    with pytest.raises(MalformedContent):
        unpack_changes(message, reject)
