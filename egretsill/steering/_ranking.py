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
_UNKNOWN = 0xFFFF_FFFF


def bucket_of(key: bytes) -> int:
    """Return the bucket of a steering key."""
    return xxh3_64_intdigest(key) % BUCKETS


def rank(key: bytes, target_numbers: Iterable[int]) -> tuple[int, ...]:
    """Return the targets in the order in which they are to be asked to take a new flow."""
    bucket = bucket_of(key).to_bytes(_BUCKET_BYTES, "big")
    return tuple(sorted(target_numbers, key=lambda number: _score(bucket, number), reverse=True))


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
        self._target_numbers = tuple(target_numbers)
        self._winners = array("I", (_UNKNOWN,)) * (BUCKETS if self._target_numbers else 0)

    @property
    def target_numbers(self) -> tuple[int, ...]:
        """Return the targets that are ranked."""
        return self._target_numbers

    def winner(self, key: bytes) -> int | None:
        """Return the first of the rank for a steering key, or None if there are no targets."""
        if not self._target_numbers:
            return None
        bucket = xxh3_64_intdigest(key) % BUCKETS
        number = self._winners[bucket]
        if number != _UNKNOWN:
            return number
        return self._fill(bucket)

    def _fill(self, bucket: int) -> int:
        encoded = bucket.to_bytes(_BUCKET_BYTES, "big")
        number = max(self._target_numbers, key=lambda each: _score(encoded, each))
        self._winners[bucket] = number
        return number


def _score(bucket: bytes, target_number: int) -> tuple[int, int]:
    weight = xxh3_64_intdigest(bucket + target_number.to_bytes(_TARGET_NUMBER_BYTES, "big"))
    return weight, target_number
