from __future__ import annotations

from random import Random

from .. import Address, Announcement, DistributionTimes, Peer
from .._core import BACKLOG_SECONDS, COMPARISONS_AFTER_JUMP, DistributionCore
from .._exchange import Announce
from .._ledger import PutInForce
from .fleets import DOMAINS, make_history

OWN = Address("10.0.0.1", 2)
PEERS = [
    Peer(f"vm-{number}", DOMAINS[number % 3], Address("10.0.1.1", number + 1), OWN)
    for number in range(10)
]


def make_core() -> DistributionCore:
    return DistributionCore(
        name="vm-0",
        failure_domain=DOMAINS[0],
        relay=OWN,
        seeds=[PEERS[3].gossip],
        random=Random(1),
        now=0.0,
        times=DistributionTimes(),
    )


def announcement_with_age(age_ms: int) -> Announcement:
    return Announcement("vm-1", 0, "", False, age_ms, Address("10.0.0.2", 2), False)


def test_pause_triggers_comparisons_and_ignores_queued_ages() -> None:
    core = make_core()
    core.receive(announcement_with_age(0), PEERS[1].gossip, 1.0)
    effects = core.compare_after_pause(100.0, PEERS)
    assert len(effects) == COMPARISONS_AFTER_JUMP
    assert all(isinstance(each, Announce) and each.message.answer_wanted for each in effects)
    core.receive(announcement_with_age(0), PEERS[1].gossip, 100.0)
    assert core.read_scheduler.last_contact_at == 1.0
    core.receive(announcement_with_age(0), PEERS[1].gossip, 100.0 + BACKLOG_SECONDS)
    assert core.read_scheduler.last_contact_at == 100.0 + BACKLOG_SECONDS


def test_seeds_are_contacted_while_no_peer_is_known() -> None:
    effects = make_core().tick(0.0, lambda: [])
    assert [each.to for each in effects if isinstance(each, Announce)] == [PEERS[3].gossip]


def test_new_revision_is_pushed_once() -> None:
    core = make_core()
    history = make_history(2)
    core.tick(10.0, lambda: PEERS)
    effects = core.offer(history[0], 10.0, PEERS)
    assert PutInForce(history[0]) in effects
    assert sum(isinstance(each, Announce) for each in effects) == 4
    assert core.offer(history[0], 10.1, PEERS) == []


def test_older_platform_revision_is_counted_and_ignored() -> None:
    core = make_core()
    history = make_history(2)
    core.offer(history[1], 10.0, PEERS)
    assert core.note_platform_rank(history[0].head.rank, 11.0) == []
    assert core.ledger.older_ignored == 1
    assert core.ledger.in_force is history[1]
