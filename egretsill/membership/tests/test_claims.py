"""Precedence of claims about a member, and refutation of claims about the process itself."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Address
from .. import Effect, Member, MemberChanged, Membership, MemberState, Role, Send
from .._messages import (
    MAXIMUM_INCARNATION,
    Ack,
    Gossip,
    MemberRecord,
    MemberRecords,
    MemberUpdate,
    Ping,
)

ALIVE, LEAVING, SUSPECT, DEAD = (
    MemberState.ALIVE,
    MemberState.LEAVING,
    MemberState.SUSPECT,
    MemberState.DEAD,
)
SENDER = Address("10.0.0.9", 7003)


def member(number: int, name: str | None = None) -> Member:
    host = f"10.0.0.{number}"
    return Member(
        name or f"agent-{number}",
        Role.AGENT,
        number,
        Address(host, 7003),
        Address(host, 7001),
        Address(host, 7002),
        "domain-a",
    )


def membership(*known: Member, incarnation: int = 50, number: int = 1) -> Membership:
    own = Membership(member(number), 10, random.Random(1), 0.0)
    records = tuple(MemberRecord.of(each, incarnation, ALIVE.value) for each in known)
    own.on_message(MemberRecords(records), SENDER, 0.0)
    return own


def gossip(about: Member, incarnation: int, state: MemberState) -> Gossip:
    return Gossip((MemberUpdate(about.identifier, incarnation, state.value),))


def sent(effects: list[Effect]) -> list[Send]:
    return [each for each in effects if isinstance(each, Send)]


@pytest.mark.parametrize(
    ("known", "claim", "result"),
    [
        pytest.param((50, ALIVE), (50, SUSPECT), SUSPECT, id="suspicion of the same incarnation"),
        pytest.param((50, ALIVE), (49, DEAD), ALIVE, id="dead in an earlier incarnation"),
        pytest.param((50, SUSPECT), (50, ALIVE), SUSPECT, id="alive without a refutation"),
        pytest.param((50, SUSPECT), (51, ALIVE), ALIVE, id="refutation"),
        pytest.param((50, DEAD), (50, SUSPECT), DEAD, id="suspicion of a dead member"),
        pytest.param((50, DEAD), (51, ALIVE), ALIVE, id="alive in a later incarnation"),
        pytest.param((50, LEAVING), (50, ALIVE), LEAVING, id="leaving is not reverted"),
        pytest.param((50, LEAVING), (51, LEAVING), LEAVING, id="leaving in a later incarnation"),
        pytest.param((51, SUSPECT), (50, LEAVING), SUSPECT, id="leaving in an earlier incarnation"),
        pytest.param((50, ALIVE), (60, DEAD), DEAD, id="dead in a later incarnation"),
    ],
)
def test_newer_claim_wins(
    known: tuple[int, MemberState], claim: tuple[int, MemberState], result: MemberState
) -> None:
    other = member(2)
    own = membership(other)
    own.on_message(gossip(other, *known), SENDER, 1.0)
    own.on_message(gossip(other, *claim), SENDER, 2.0)
    assert own.state_of(other.name) is result


CLAIMS = st.tuples(st.integers(0, 4), st.sampled_from([ALIVE, LEAVING, SUSPECT, DEAD]))


@settings(derandomize=True, max_examples=150, deadline=None)
@given(claims=st.lists(CLAIMS, min_size=1, max_size=6), order=st.randoms(use_true_random=False))
def test_order_of_arrival_does_not_matter(
    claims: list[tuple[int, MemberState]], order: random.Random
) -> None:
    other = member(2)
    shuffled = list(claims)
    order.shuffle(shuffled)
    results = []
    for sequence in (claims, shuffled):
        own = membership(other, incarnation=0)
        for claim in sequence:
            own.on_message(gossip(other, *claim), SENDER, 1.0)
        results.append(own.state_of(other.name))
    assert results[0] is results[1] is max([*claims, (0, ALIVE)])[1]


@pytest.mark.parametrize(
    ("claim", "incarnation"),
    [
        pytest.param((10, SUSPECT), 11, id="suspected"),
        pytest.param((10, DEAD), 11, id="declared dead"),
        pytest.param((40, DEAD), 41, id="declared dead in a later incarnation"),
        pytest.param((9, DEAD), 10, id="old claim"),
        pytest.param((10, ALIVE), 10, id="known claim"),
        pytest.param((MAXIMUM_INCARNATION, DEAD), 10, id="greatest incarnation can't be refuted"),
    ],
)
def test_newer_claims_about_own_process_are_refuted(
    claim: tuple[int, MemberState], incarnation: int
) -> None:
    own = membership(member(2))
    effects = own.on_message(gossip(own.own, *claim), SENDER, 1.0)
    assert own.incarnation == incarnation
    refuted = incarnation != 10
    expected = Gossip((MemberUpdate(own.own.identifier, incarnation, ALIVE.value),))
    assert sent(effects) == ([Send(SENDER, expected)] if refuted else [])


def test_ack_carries_suspicion_and_suspect_refutes_it() -> None:
    suspect = membership(number=2)
    own = membership(suspect.own)
    own.on_message(gossip(suspect.own, 50, SUSPECT), SENDER, 1.0)
    answer = own.on_message(Ping(1, suspect.own.identifier, 50, own.own.identifier), SENDER, 1.1)
    ack = sent(answer)[0].message
    assert isinstance(ack, Ack)
    assert MemberUpdate(suspect.own.identifier, 50, SUSPECT) in ack.updates
    for effect in sent(suspect.on_message(ack, own.own.gossip, 1.2)):
        own.on_message(effect.message, suspect.own.gossip, 1.3)
    assert own.state_of(suspect.own.name) is ALIVE


def test_replaced_vm_is_declared_dead_at_once() -> None:
    former, successor = member(2), member(2, "agent-2-b")
    own = membership(former)
    record = MemberRecord.of(successor, 60, ALIVE.value)
    effects = own.on_message(MemberRecords((record,)), SENDER, 1.0)
    assert own.state_of(former.name) is DEAD
    assert own.state_of(successor.name) is ALIVE
    assert own.view.available == {2}
    assert own.view.dead == frozenset()
    assert MemberChanged(former, ALIVE, DEAD) in effects


def first_ping(own: Membership) -> tuple[Ping, float]:
    now = 0.0
    while True:
        now += 0.1
        for each in sent(own.tick(now)):
            if isinstance(each.message, Ping):
                return each.message, now


def test_ack_of_another_process_declares_probed_member_dead() -> None:
    former, successor = member(2), member(2, "agent-2-b")
    own = membership(former)
    ping, now = first_ping(own)
    ack = Ack(ping.sequence, successor.identifier, 60, True)
    own.on_message(ack, former.gossip, now + 0.01)
    assert own.state_of(former.name) is DEAD


def test_relayed_ack_of_another_process_is_ignored() -> None:
    """Guards against declaring a live member dead because a helper pings an outdated address."""
    moved, helper, other = member(2), member(3), member(4, "agent-4-b")
    own = membership(moved)
    ping, now = first_ping(own)
    own.on_message(Ack(ping.sequence, other.identifier, 60, True), helper.gossip, now)
    assert own.state_of(moved.name) is ALIVE
    own.on_message(Ack(ping.sequence, moved.identifier, 50, True), moved.gossip, now)
    own.tick(now + 2.0)
    assert own.state_of(moved.name) is ALIVE


def test_candidate_becomes_available_once_it_answers() -> None:
    listed, unlisted = member(2), member(3)
    own = membership(unlisted)
    own.on_vm_list([listed], 1.0)
    assert own.state_of(listed.name) is MemberState.CANDIDATE
    assert own.view.available == {3}
    assert own.view.unresponsive == {2}
    ping = Ping(1, listed.identifier, 70, own.own.identifier)
    own.on_message(ping, listed.gossip, 2.0)
    assert own.view.available == {2, 3}
    assert own.view.unresponsive == frozenset()
    own.on_vm_list([], 3.0)
    assert own.view.available == {2, 3}


@pytest.mark.parametrize(
    ("incarnation", "moved"),
    [
        pytest.param(60, True, id="later incarnation"),
        pytest.param(50, False, id="same incarnation"),
        pytest.param(40, False, id="earlier incarnation"),
    ],
)
def test_later_incarnation_updates_addresses(incarnation: int, moved: bool) -> None:
    former, later = member(2), replace(member(3), name="agent-2")
    own = membership(former)
    record = MemberRecord.of(later, incarnation, ALIVE.value)
    own.on_message(MemberRecords((record,)), SENDER, 1.0)
    assert own.view.alive == ((later,) if moved else (former,))


def test_dead_member_is_pinged_at_its_listed_address() -> None:
    former, later = member(2), replace(member(3), name="agent-2")
    own = membership(former)
    own.on_message(gossip(former, 50, DEAD), SENDER, 1.0)
    own.on_vm_list([later], 2.0)
    addresses = {each.address for each in sent(own.tick(2.1)) if isinstance(each.message, Ping)}
    assert addresses == {later.gossip}


def test_unlisted_candidate_is_removed() -> None:
    own = membership()
    own.on_vm_list([member(2)], 1.0)
    own.on_vm_list([], 2.0)
    assert own.state_of("agent-2") is None


def test_dead_members_are_removed_unless_listed() -> None:
    own = membership(member(2), member(3))
    own.on_vm_list([member(3)], 0.5)
    for number in (2, 3):
        own.on_message(gossip(member(number), 50, DEAD), SENDER, 1.0)
    for now in itertools.chain(range(1, 30), range(7_190, 7_230)):
        own.tick(float(now))
    assert own.state_of("agent-2") is None
    assert own.state_of("agent-3") is DEAD


def test_records_of_unknown_members_are_queried() -> None:
    peer, own = membership(member(2), member(3)), membership()
    own.on_message(gossip(member(3), 50, ALIVE), SENDER, 1.0)
    queries = sent(own.tick(1.1))
    answers = [
        answer
        for query in queries
        for answer in sent(peer.on_message(query.message, own.own.gossip, 1.2))
        if isinstance(answer.message, MemberRecords)
    ]
    for answer in answers:
        own.on_message(answer.message, SENDER, 1.3)
    assert own.view.available == {3}
    assert own.view.alive == (member(3),)
