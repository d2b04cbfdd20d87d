"""Queue of claims to disseminate, and the byte budget for sending them."""

from __future__ import annotations

import itertools
import math

from ._messages import MemberUpdate

TRANSMISSIONS_FACTOR = 1.0
TRANSMISSIONS_MINIMUM = 4
MAXIMUM_TRANSMISSIONS = 40
EXPECTED_TRANSMISSIONS = 4
GOSSIP_BYTES_PER_SECOND = 9_000.0
GOSSIP_BURST_BYTES = 9_000.0
SYNC_BYTES_PER_SECOND = 3_000.0
SYNC_BURST_BYTES = 6_000.0
UPDATE_BYTES = 21
HEADER_BYTES = 40


class Dissemination:
    """Claims ordered by how often they were sent, least often first."""

    def __init__(self) -> None:
        self._levels: list[dict[int, MemberUpdate]] = [{} for _ in range(MAXIMUM_TRANSMISSIONS)]
        self._level_of: dict[int, int] = {}
        self._limit = TRANSMISSIONS_MINIMUM

    def __len__(self) -> int:
        return len(self._level_of)

    def resize(self, members: int) -> None:
        """Set the fleet size, from which follows how often each claim is sent to reach everyone."""
        transmissions = math.ceil(TRANSMISSIONS_FACTOR * math.log2(members + 2))
        self._limit = min(max(transmissions, TRANSMISSIONS_MINIMUM), MAXIMUM_TRANSMISSIONS)
        for level in range(self._limit, MAXIMUM_TRANSMISSIONS):
            for identifier in list(self._levels[level]):
                self._remove(identifier)

    def add(self, update: MemberUpdate, expected: bool = False) -> None:
        """Queue a new claim, replacing any older one about the same member.

        A claim that is `expected` is one that the other members reach by themselves. It is sent
        with low priority and at most `EXPECTED_TRANSMISSIONS` times.
        """
        self._remove(update.identifier)
        self._insert(update, max(self._limit - EXPECTED_TRANSMISSIONS, 0) if expected else 0)

    def heard(self, update: MemberUpdate) -> None:
        """Count a claim received from another member as one transmission of it."""
        level = self._level_of.get(update.identifier)
        if level is not None and self._levels[level][update.identifier] == update:
            self._advance(update, level)

    def take(self, count: int) -> list[MemberUpdate]:
        """Return up to `count` claims to send now, and count their transmission."""
        taken: list[tuple[MemberUpdate, int]] = []
        for level in range(self._limit):
            remaining = count - len(taken)
            if remaining == 0:
                break
            updates = itertools.islice(self._levels[level].values(), remaining)
            taken.extend((update, level) for update in updates)
        for update, level in taken:
            self._advance(update, level)
        return [update for update, _ in taken]

    def _advance(self, update: MemberUpdate, level: int) -> None:
        del self._levels[level][update.identifier]
        if level + 1 < self._limit:
            self._insert(update, level + 1)
        else:
            del self._level_of[update.identifier]

    def _insert(self, update: MemberUpdate, level: int) -> None:
        self._levels[level][update.identifier] = update
        self._level_of[update.identifier] = level

    def _remove(self, identifier: int) -> None:
        level = self._level_of.pop(identifier, None)
        if level is not None:
            del self._levels[level][identifier]


class ByteBudget:
    """Token bucket that limits the bytes sent for claims."""

    def __init__(self, bytes_per_second: float, burst_bytes: float, now: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._bytes = burst_bytes
        self._refilled = now

    def spend(self, count: int, now: float) -> bool:
        """Spend the bytes of a datagram with `count` claims; return False if there are too few."""
        cost = HEADER_BYTES + UPDATE_BYTES * count
        self._refill(now)
        if self._bytes < cost:
            return False
        self._bytes -= cost
        return True

    def share(self, most: int, now: float) -> int:
        """Spend the bytes of up to `most` claims to piggyback on a message; return their number."""
        self._refill(now)
        count = min(most, int(self._bytes // UPDATE_BYTES))
        self._bytes -= count * UPDATE_BYTES
        return count

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled) * self._bytes_per_second
        self._bytes = min(self._bytes + gained, self._burst_bytes)
        self._refilled = now
