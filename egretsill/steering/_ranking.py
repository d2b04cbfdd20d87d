"""The order in which a service's targets are asked to take a new flow.

Highest-random-weight (rendezvous) hashing with equal weights. A steering key is first hashed into
one of a fixed number of buckets, and the targets are ranked for the bucket. So everyone who knows
the same targets agrees, a change moves only the share of the target that changed, and the winner
of a bucket can be kept in a small table.
"""

from __future__ import annotations

from array import array
from collections.abc import Collection, Iterable, Sequence

from xxhash import xxh3_64_intdigest

BUCKETS = 16_384

_TARGET_NUMBER_BYTES = 4
_BUCKET_BYTES = 2
_UNKNOWN = 0xFFFF


def bucket_of(key: bytes) -> int:
    """Return the bucket of a steering key."""
    return xxh3_64_intdigest(key) % BUCKETS


def rank(key: bytes, target_numbers: Iterable[int]) -> tuple[int, ...]:
    """Return the targets in the order in which they are to be asked to take a new flow."""
    bucket = bucket_of(key).to_bytes(_BUCKET_BYTES, "big")
    in_order = sorted(target_numbers)
    in_order.sort(key=lambda each: xxh3_64_intdigest(bucket + _encoded(each)), reverse=True)
    return tuple(in_order)


def first_unavoided(ranked: Iterable[int], avoidance: Sequence[Collection[int]]) -> int | None:
    """Return the first in rank that the strictest possible of several sets does not hold.

    Args:
        ranked: targets in the order in which they are to be asked.
        avoidance: targets to keep away from, the strictest set first.

    Returns:
        None if every target is in every set.
    """
    order = tuple(ranked)
    for avoided in avoidance:
        for target_number in order:
            if target_number not in avoided:
                return target_number
    return None


class WinnerTable:
    """The first of the rank for every bucket, worked out when it is first asked for."""

    def __init__(self, target_numbers: Iterable[int]) -> None:
        self._target_numbers = tuple(sorted(target_numbers))
        self._encoded = tuple(_encoded(each) for each in self._target_numbers)
        self._places = array("H")

    @property
    def target_numbers(self) -> tuple[int, ...]:
        """Return the targets that are ranked, in order of number."""
        return self._target_numbers

    def winner(self, key: bytes) -> int | None:
        """Return the first of the rank for a steering key, or None if there are no targets."""
        if not self._places:
            return self._begin(key)
        bucket = xxh3_64_intdigest(key) % BUCKETS
        place = self._places[bucket]
        if place == _UNKNOWN:
            place = self._fill(bucket)
        return self._target_numbers[place]

    def _begin(self, key: bytes) -> int | None:
        """Make the table when it is first asked, since many services see few first packets."""
        if not self._target_numbers:
            return None
        self._places = array("H", (_UNKNOWN,)) * BUCKETS
        return self.winner(key)

    def _fill(self, bucket: int) -> int:
        prefix = bucket.to_bytes(_BUCKET_BYTES, "big")
        weights = [xxh3_64_intdigest(prefix + encoded) for encoded in self._encoded]
        # Equal weights leave the lower number first, as the stable sort of `rank` does.
        place = weights.index(max(weights))
        self._places[bucket] = place
        return place


def _encoded(target_number: int) -> bytes:
    return target_number.to_bytes(_TARGET_NUMBER_BYTES, "big")
