"""Tests of how a process comes to know which failure domains are evacuated."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from .. import (
    Changes,
    Directory,
    Evacuation,
    RouteTable,
    Snapshot,
    pack_changes,
    pack_evacuations,
    unpack_changes,
    unpack_evacuations,
)
from .._target_entries import COPY_SETTLING_SECONDS
from .revisions import rev
from .unusable import reject

TABLE = RouteTable(7, {}, 15.0)
ORDER = Evacuation("a", rev(21))
OTHER = Evacuation("b", rev(22))
RETURNED_AT = 5.0


def make_directory(*evacuations: Evacuation, at: int = 20) -> Directory:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(at), TABLE, (), evacuations=evacuations), 0.0)
    return directory


def evacuated(directory: Directory) -> set[str]:
    domains = {each.evacuation.failure_domain for each in directory.evacuations}
    assert domains == {each for each in "abc" if directory.is_evacuated(each)}
    return domains


def order(directory: Directory, *evacuations: Evacuation, at: int = 22, era: int = 1) -> bool:
    return directory.apply_changes(Changes(rev(at, era), evacuations=evacuations), 1.0)


def take_back(directory: Directory, *domains: str, at: int = 23, era: int = 1) -> bool:
    return directory.apply_changes(Changes(rev(at, era), restored=domains), 2.0)


def read_again(
    directory: Directory, *evacuations: Evacuation, at: int = 30, era: int = 1, now: float = 3.0
) -> bool:
    snapshot = Snapshot(rev(at, era), TABLE, (), evacuations=evacuations)
    return directory.apply_snapshot(snapshot, now)


@dataclass(frozen=True)
class _Case:
    steps: list[Callable[[Directory], object]]
    expected: set[str] = field(default_factory=set)


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(_Case([lambda d: order(d, ORDER)], {"a"}), id="ordered"),
        pytest.param(
            _Case([lambda d: order(d, ORDER, OTHER), lambda d: take_back(d, "a")], {"b"}),
            id="one of two taken back",
        ),
        pytest.param(
            _Case([lambda d: order(d, ORDER), lambda d: read_again(d)]),
            id="taken back while the history was lost",
        ),
        pytest.param(
            _Case([lambda d: order(d, ORDER), lambda d: read_again(d, ORDER)], {"a"}),
            id="read again",
        ),
        pytest.param(
            _Case([lambda d: order(d, ORDER), lambda d: read_again(d, at=20)], {"a"}),
            id="an older read comes late",
        ),
        pytest.param(
            _Case(
                [
                    lambda d: read_again(d, Evacuation("a", rev(32)), at=30),
                    lambda d: take_back(d, "a", at=31),
                ],
                {"a"},
            ),
            id="ordered anew in a read whose first page is older",
        ),
        pytest.param(
            _Case([lambda d: order(d, ORDER, OTHER), lambda d: take_back(d, "a", "a")], {"b"}),
            id="taken back twice in one message",
        ),
        pytest.param(
            _Case([lambda d: order(d, ORDER), lambda d: take_back(d, "c")], {"a"}),
            id="another domain is taken back",
        ),
    ],
)
def test_orders_are_in_force_until_they_are_taken_back(case: _Case) -> None:
    directory = make_directory()
    for step in case.steps:
        step(directory)
    assert evacuated(directory) == case.expected


# Guards against ranks and readers of an earlier view that stay in use.
def test_order_and_removal_are_changes_once() -> None:
    directory = make_directory()
    generations = [directory.generation]
    assert order(directory, ORDER)
    generations.append(directory.generation)
    assert directory.content_revision == rev(22)
    assert not order(directory, ORDER, at=24)
    assert take_back(directory, "a", at=25)
    generations.append(directory.generation)
    assert generations == sorted(set(generations))


# Guards against a reader's watch that hears of the order alone.
def test_peer_receives_order_and_removal_as_changes() -> None:
    ahead, behind = make_directory(), make_directory()
    order(ahead, ORDER, OTHER)
    take_back(ahead, "a")
    for expected in ({"b"}, set[str]()):
        changes = ahead.changes_since(behind.content_revision)
        assert changes is not None
        sent = unpack_changes(pack_changes(changes, 0), reject)
        assert behind.apply_peer_changes(sent, 0.0, 1.0)
        assert evacuated(behind) == expected
        assert behind.content_revision == ahead.content_revision
        take_back(ahead, "b", at=24)


# Guards against a restarted agent that reaches peers only, and evacuates nothing.
def test_newcomer_receives_orders_as_complete_content() -> None:
    ahead, behind = make_directory(OTHER), Directory()
    order(ahead, ORDER, at=23)
    sent = unpack_evacuations(pack_evacuations(ahead.evacuations_in_store))
    assert behind.apply_peer_content(ahead.content_revision, TABLE, (), 0.1, 1.0, sent)
    assert evacuated(behind) == {"a", "b"}
    take_back(ahead, "a", "b", at=24)
    assert behind.apply_peer_content(ahead.content_revision, TABLE, (), 0.1, 1.0)
    assert evacuated(behind) == set()


# Guards against an order that lapses with the store's confirmations.
def test_order_holds_while_the_store_is_down() -> None:
    directory = make_directory(ORDER)
    for now in (10.0, 100.0, 1000.0):
        directory.tick(now)
    assert evacuated(directory) == {"a"}
    read_again(directory, at=30, now=1001.0)
    assert evacuated(directory) == set()


# Guards against a failure domain that is in use again because a copy of the store lacks the order.
def test_order_that_a_copy_lacks_is_awaited_for_the_settling_time() -> None:
    directory = make_directory(ORDER)
    read_again(directory, at=13, era=2, now=RETURNED_AT)
    read_again(directory, at=14, era=2, now=RETURNED_AT + 1.0)
    directory.tick(RETURNED_AT + COPY_SETTLING_SECONDS - 0.1)
    assert evacuated(directory) == {"a"}
    assert directory.evacuations_in_store == [], "peers await it by themselves"
    generation = directory.generation
    assert directory.tick(RETURNED_AT + COPY_SETTLING_SECONDS)
    assert (evacuated(directory), directory.generation > generation) == (set(), True)


def test_order_that_is_written_again_is_in_force_after_the_settling_time() -> None:
    directory = make_directory(ORDER)
    read_again(directory, at=13, era=2, now=RETURNED_AT)
    assert order(directory, Evacuation("a", rev(14, era=2)), at=14, era=2)
    directory.tick(RETURNED_AT + COPY_SETTLING_SECONDS)
    assert evacuated(directory) == {"a"}
    assert directory.evacuations[0].known_since == 0.0, "it was evacuated all the while"


@pytest.mark.parametrize("is_written_again", [True, False], ids=["written again", "awaited"])
def test_removal_after_a_return_ends_the_order_at_once(is_written_again: bool) -> None:
    directory = make_directory(ORDER)
    read_again(directory, at=13, era=2, now=RETURNED_AT)
    if is_written_again:
        order(directory, Evacuation("a", rev(14, era=2)), at=14, era=2)
    assert take_back(directory, "a", at=15, era=2)
    assert evacuated(directory) == set()


def test_copy_brings_an_order_back_until_it_is_removed_again() -> None:
    directory = make_directory()
    read_again(directory, Evacuation("a", rev(13, era=2)), at=13, era=2, now=RETURNED_AT)
    assert evacuated(directory) == {"a"}
    read_again(directory, at=15, era=2, now=RETURNED_AT + 1.0)
    assert evacuated(directory) == set()
