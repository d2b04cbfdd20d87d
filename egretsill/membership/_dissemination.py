"""Which claims still have to be passed on, and how many bytes may be spent on it."""

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
    """Claims in the order of how often they were passed on, least often first."""

    def __init__(self) -> None:
        self._levels: list[dict[int, MemberUpdate]] = [{} for _ in range(MAXIMUM_TRANSMISSIONS)]
        self._level_of: dict[int, int] = {}
        self._limit = TRANSMISSIONS_MINIMUM

    def __len__(self) -> int:
        return len(self._level_of)

    def resize(self, members: int) -> None:
        """Set the size of the fleet; each claim is passed on so often that all hear it."""
        wanted = math.ceil(TRANSMISSIONS_FACTOR * math.log2(members + 2))
        self._limit = min(max(wanted, TRANSMISSIONS_MINIMUM), MAXIMUM_TRANSMISSIONS)
        for level in range(self._limit, MAXIMUM_TRANSMISSIONS):
            for identifier in list(self._levels[level]):
                self._take_out(identifier)

    def add(self, update: MemberUpdate, expected: bool = False) -> None:
        """Pass on a new claim in place of any older one about the same member.

        A claim that the others come to by themselves is passed on after all else, and seldom.
        """
        self._take_out(update.identifier)
        self._put(update, max(self._limit - EXPECTED_TRANSMISSIONS, 0) if expected else 0)

    def heard(self, update: MemberUpdate) -> None:
        """Note that another member knows a claim already, so it needs less passing on."""
        level = self._level_of.get(update.identifier)
        if level is not None and self._levels[level][update.identifier] == update:
            self._advance(update, level)

    def take(self, count: int) -> list[MemberUpdate]:
        """Return up to `count` claims to pass on now."""
        taken: list[tuple[MemberUpdate, int]] = []
        for level in range(self._limit):
            wanted = count - len(taken)
            if wanted == 0:
                break
            updates = itertools.islice(self._levels[level].values(), wanted)
            taken.extend((update, level) for update in updates)
        for update, level in taken:
            self._advance(update, level)
        return [update for update, _ in taken]

    def _advance(self, update: MemberUpdate, level: int) -> None:
        del self._levels[level][update.identifier]
        if level + 1 < self._limit:
            self._put(update, level + 1)
        else:
            del self._level_of[update.identifier]

    def _put(self, update: MemberUpdate, level: int) -> None:
        self._levels[level][update.identifier] = update
        self._level_of[update.identifier] = level

    def _take_out(self, identifier: int) -> None:
        level = self._level_of.pop(identifier, None)
        if level is not None:
            del self._levels[level][identifier]


class ByteBudget:
    """A token bucket for the bytes of claims."""

    def __init__(self, bytes_per_second: float, burst_bytes: float, now: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._bytes = burst_bytes
        self._refilled = now

    def spend(self, count: int, now: float) -> bool:
        """Pay for a datagram with so many claims, and return whether it may be sent."""
        cost = HEADER_BYTES + UPDATE_BYTES * count
        self._refill(now)
        if self._bytes < cost:
            return False
        self._bytes -= cost
        return True

    def share(self, most: int, now: float) -> int:
        """Return how many claims, up to `most`, may go along with a message, and pay for them."""
        self._refill(now)
        count = min(most, int(self._bytes // UPDATE_BYTES))
        self._bytes -= count * UPDATE_BYTES
        return count

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled) * self._bytes_per_second
        self._bytes = min(self._bytes + gained, self._burst_bytes)
        self._refilled = now
