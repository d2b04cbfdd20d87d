"""Order and number of transmissions of claims, and the byte budget."""

from __future__ import annotations

from .._dissemination import (
    GOSSIP_BURST_BYTES,
    GOSSIP_BYTES_PER_SECOND,
    HEADER_BYTES,
    TRANSMISSIONS_MINIMUM,
    UPDATE_BYTES,
    ByteBudget,
    Dissemination,
)
from .._messages import MemberUpdate


def _update(identifier: int, incarnation: int = 1) -> MemberUpdate:
    return MemberUpdate(identifier, incarnation, 0)


def test_least_transmitted_claim_is_taken_first() -> None:
    queue = Dissemination()
    queue.add(_update(1))
    assert queue.take(5) == [_update(1)]
    queue.add(_update(2))
    assert queue.take(1) == [_update(2)]
    taken = [each for _ in range(20) for each in queue.take(5)]
    assert taken.count(_update(1)) == taken.count(_update(2)) == TRANSMISSIONS_MINIMUM - 1
    assert len(queue) == 0


def test_newer_claim_replaces_older_one() -> None:
    queue = Dissemination()
    queue.add(_update(1))
    queue.take(1)
    queue.add(_update(1, 2))
    assert queue.take(5) == [_update(1, 2)]


def test_claim_known_to_others_is_sent_less_often() -> None:
    queue = Dissemination()
    queue.add(_update(1))
    for _ in range(TRANSMISSIONS_MINIMUM):
        queue.heard(_update(1))
    queue.heard(_update(7))
    assert len(queue) == 0


def test_shrinking_fleet_drops_excess_claims() -> None:
    queue = Dissemination()
    queue.resize(5_000)
    queue.add(_update(1))
    for _ in range(10):
        queue.take(1)
    assert len(queue) == 1
    queue.resize(1)
    assert len(queue) == 0


def test_budget_bounds_bytes_over_time() -> None:
    budget = ByteBudget(GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES, 0.0)
    seconds = 100
    sent = 0.0
    for tick in range(seconds * 10):
        now = tick / 10
        for _ in range(30):
            sent += HEADER_BYTES + 50 * UPDATE_BYTES if budget.spend(50, now) else 0
        sent += budget.share(12, now) * UPDATE_BYTES
    assert sent <= GOSSIP_BURST_BYTES + seconds * GOSSIP_BYTES_PER_SECOND
    assert sent >= 0.9 * seconds * GOSSIP_BYTES_PER_SECOND
