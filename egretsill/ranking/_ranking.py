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
_LARGEST_UNKEPT_TARGETS = 4
_LARGEST_SMALL_TARGETS = 0xFF
_SMALL_PLACES = "B"
_LARGE_PLACES = "H"


def bucket_of(key: bytes) -> int:
    """Return the bucket of a steering key."""
    return xxh3_64_intdigest(key) % BUCKETS


def rank(key: bytes, target_numbers: Iterable[int]) -> tuple[int, ...]:
    """Return the targets in the order in which they are to be asked to take a new flow."""
    bucket = bucket_of(key)
    in_order = sorted(target_numbers)
    in_order.sort(key=lambda each: xxh3_64_intdigest(_encoded(each), bucket), reverse=True)
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
    """The first of the rank for every bucket, worked out when it is first asked for.

    A fleet may have thousands of services, nearly all of them small. So a few targets are ranked
    anew each time, up to 255 cost a byte a bucket and more cost two.
    """

    def __init__(self, target_numbers: Iterable[int]) -> None:
        self._target_numbers = tuple(sorted(target_numbers))
        self._encoded = tuple(_encoded(each) for each in self._target_numbers)
        self._keeps_places = len(self._target_numbers) > _LARGEST_UNKEPT_TARGETS
        is_small = len(self._target_numbers) <= _LARGEST_SMALL_TARGETS
        self._places = array(_SMALL_PLACES if is_small else _LARGE_PLACES)
        self._unknown = (1 << 8 * self._places.itemsize) - 1

    @property
    def target_numbers(self) -> tuple[int, ...]:
        """Return the targets that are ranked, in order of number."""
        return self._target_numbers

    def winner(self, key: bytes) -> int | None:
        """Return the first of the rank for a steering key, or None if there are no targets."""
        bucket = xxh3_64_intdigest(key) % BUCKETS
        if not self._places:
            return self._winner_without_places(bucket)
        place = self._places[bucket]
        if place == self._unknown:
            place = self._first_place(bucket)
            self._places[bucket] = place
        return self._target_numbers[place]

    def _winner_without_places(self, bucket: int) -> int | None:
        """Make the table when it is first asked, since many services see few first packets."""
        if not self._target_numbers:
            return None
        if self._keeps_places:
            self._places = array(self._places.typecode, (self._unknown,)) * BUCKETS
        return self._target_numbers[self._first_place(bucket)]

    def _first_place(self, bucket: int) -> int:
        """Return the place of the target with the greatest weight, the first of equal ones."""
        greatest, first = -1, 0
        for place, encoded in enumerate(self._encoded):
            weight = xxh3_64_intdigest(encoded, bucket)
            if weight > greatest:
                greatest, first = weight, place
        return first


def _encoded(target_number: int) -> bytes:
    return target_number.to_bytes(_TARGET_NUMBER_BYTES, "big")
