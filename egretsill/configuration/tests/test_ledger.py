from __future__ import annotations

import dataclasses
from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import Publication, compile_publication
from .._ledger import (
    EXTENSION_FACTOR,
    REQUIRED_SETTLED_PEERS,
    LedgerEffect,
    PutInForce,
    RevisionConflict,
    RevisionLedger,
)
from .fleets import make_history, make_services

START_SECONDS = 2.0
HISTORY = make_history(4)
CONFLICTING = compile_publication(make_services(2), 3)


def settled_ledger(publication: Publication) -> RevisionLedger:
    ledger = RevisionLedger(0.0, START_SECONDS)
    ledger.offer(publication, 0.0)
    assert ledger.settle(START_SECONDS) == [PutInForce(publication)]
    return ledger


def test_higher_revision_takes_force_and_lower_is_ignored() -> None:
    ledger = settled_ledger(HISTORY[1])
    assert ledger.offer(HISTORY[2], 3.0) == [PutInForce(HISTORY[2])]
    assert ledger.offer(HISTORY[0], 4.0) == []
    assert ledger.offer(HISTORY[2], 4.0) == []
    assert ledger.in_force is HISTORY[2]
    assert ledger.older_ignored == 1


def test_conflict_raises_one_alarm_and_higher_digest_wins() -> None:
    pair = sorted([HISTORY[2], CONFLICTING], key=lambda each: each.head.digest)
    alarm = RevisionConflict(3, pair[1].head.digest, pair[0].head.digest)
    up, down = settled_ledger(pair[0]), settled_ledger(pair[1])
    assert up.offer(pair[1], 3.0) == [alarm, PutInForce(pair[1])]
    assert down.offer(pair[0], 3.0) == [alarm]
    assert up.in_force is down.in_force is pair[1]
    assert down.note_announcement("peer", pair[0].head.rank, True, 4.0) == []
    assert (up.conflicts, down.conflicts) == (1, 1)


def test_new_process_holds_back_platform_revision() -> None:
    ledger = RevisionLedger(0.0, START_SECONDS)
    assert ledger.offer(HISTORY[0], 0.1) == []
    assert ledger.in_force is None
    assert ledger.held is HISTORY[0]
    assert ledger.offer(HISTORY[1], 0.2) == []
    assert ledger.settle(START_SECONDS) == [PutInForce(HISTORY[1])]


def test_enough_settled_peers_end_start_up_early() -> None:
    ledger = RevisionLedger(0.0, START_SECONDS)
    ledger.offer(HISTORY[1], 0.1)
    effects: list[LedgerEffect] = []
    for number in range(REQUIRED_SETTLED_PEERS):
        effects += ledger.note_announcement(f"peer-{number}", HISTORY[1].head.rank, True, 0.2)
    assert effects == [PutInForce(HISTORY[1])]


@pytest.mark.parametrize(
    ("senders", "settled"),
    [
        pytest.param(["a", "a", "a", "a"], True, id="one peer many times"),
        pytest.param(["a", "b", "c", "d"], False, id="peers that are new themselves"),
    ],
)
def test_repeated_or_unsettled_peers_do_not_end_start_up(
    senders: Sequence[str], settled: bool
) -> None:
    ledger = RevisionLedger(0.0, START_SECONDS)
    ledger.offer(HISTORY[1], 0.1)
    for sender in senders:
        assert ledger.note_announcement(sender, HISTORY[1].head.rank, settled, 0.2) == []


def test_start_up_wait_for_higher_revision_is_bounded() -> None:
    ledger = RevisionLedger(0.0, START_SECONDS)
    ledger.offer(HISTORY[0], 0.1)
    for number in range(REQUIRED_SETTLED_PEERS):
        ledger.note_announcement(f"peer-{number}", HISTORY[3].head.rank, True, 0.2)
    assert ledger.settle(START_SECONDS) == []
    assert ledger.settle(EXTENSION_FACTOR * START_SECONDS) == [PutInForce(HISTORY[0])]


def test_nothing_takes_force_without_publication() -> None:
    ledger = RevisionLedger(0.0, START_SECONDS)
    assert ledger.settle(100.0) == []
    assert ledger.offer(HISTORY[0], 101.0) == [PutInForce(HISTORY[0])]


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["offer", "announce", "settle"]),
            st.integers(0, 4),
            st.floats(0.0, 3.0),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_revision_in_force_never_decreases(
    steps: list[tuple[str, int, float, bool]],
) -> None:
    offers = [*HISTORY, CONFLICTING]
    ledger = RevisionLedger(0.0, START_SECONDS)
    now = 0.0
    offered: list[tuple[int, str]] = []
    in_force: list[tuple[int, str]] = []
    for kind, number, seconds, settled in steps:
        now += seconds
        publication = offers[number]
        match kind:
            case "offer":
                effects = ledger.offer(publication, now)
                offered.append(publication.head.rank)
            case "announce":
                rank = publication.head.rank
                effects = ledger.note_announcement(f"peer-{number}", rank, settled, now)
            case _:
                effects = ledger.settle(now)
        for effect in effects:
            if isinstance(effect, PutInForce):
                in_force.append(effect.publication.head.rank)
        assert ledger.in_force is None or ledger.in_force.head.rank == max(offered)
    assert in_force == sorted(set(in_force))


@settings(derandomize=True, max_examples=50, deadline=None)
@given(order=st.permutations(range(5)))
def test_offer_order_does_not_affect_result(order: list[int]) -> None:
    offers = [*HISTORY, CONFLICTING, dataclasses.replace(HISTORY[0])]
    ledger = RevisionLedger(0.0, START_SECONDS)
    for number in order:
        ledger.offer(offers[number], 3.0)
    assert ledger.in_force is HISTORY[3]
