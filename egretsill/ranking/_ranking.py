"""Order in which the targets of a service are tried for a new flow.

The order is computed by highest-random-weight (rendezvous) hashing with equal weights. A steering
key is first hashed into one of a fixed number of buckets, and the targets are ranked for the
bucket. All processes that know the same targets therefore compute the same order, a change moves
only the share of the target that changed, and the winners of all buckets fit in a small table.
"""

from __future__ import annotations

from array import array
from collections.abc import Collection, Iterable, Sequence

from xxhash import xxh3_64_intdigest

BUCKETS = 16_384

_TARGET_NUMBER_BYTES = 4
_MAXIMUM_UNCACHED_TARGETS = 4
_MAXIMUM_ONE_BYTE_TARGETS = 0xFF
_ONE_BYTE_TYPECODE = "B"
_TWO_BYTE_TYPECODE = "H"


def bucket_of(key: bytes) -> int:
    """Return the bucket of a steering key."""
    return xxh3_64_intdigest(key) % BUCKETS


def rank(key: bytes, target_numbers: Iterable[int]) -> tuple[int, ...]:
    """Return the targets in the order in which they are tried for a new flow."""
    bucket = bucket_of(key)
    in_order = sorted(target_numbers)
    in_order.sort(key=lambda each: xxh3_64_intdigest(_encoded(each), bucket), reverse=True)
    return tuple(in_order)


def first_not_avoided(ranked: Iterable[int], avoidance: Sequence[Collection[int]]) -> int | None:
    """Return the first target in rank outside an avoided set, relaxing the sets in order.

    Args:
        ranked: targets in the order in which they are tried.
        avoidance: sets of targets to avoid, the strictest first; a later set is used only if the
            earlier ones contain every target.

    Returns:
        None if every set contains every target.
    """
    order = tuple(ranked)
    for avoided in avoidance:
        for target_number in order:
            if target_number not in avoided:
                return target_number
    return None


class WinnerTable:
    """The first target in rank for each bucket, computed on first use.

    A fleet may have thousands of services, nearly all of them small. To save memory, the winners
    among up to 4 targets are not cached, up to 255 targets take one byte per bucket, and more take
    two.
    """

    def __init__(self, target_numbers: Iterable[int]) -> None:
        self._target_numbers = tuple(sorted(target_numbers))
        self._encoded = tuple(_encoded(each) for each in self._target_numbers)
        self._is_cached = len(self._target_numbers) > _MAXIMUM_UNCACHED_TARGETS
        fits_one_byte = len(self._target_numbers) <= _MAXIMUM_ONE_BYTE_TARGETS
        self._winner_indices = array(_ONE_BYTE_TYPECODE if fits_one_byte else _TWO_BYTE_TYPECODE)
        self._unset_index = (1 << 8 * self._winner_indices.itemsize) - 1

    @property
    def target_numbers(self) -> tuple[int, ...]:
        """Return the ranked targets, sorted by number."""
        return self._target_numbers

    def winner(self, key: bytes) -> int | None:
        """Return the first target in rank for a steering key, or None if there are no targets."""
        bucket = xxh3_64_intdigest(key) % BUCKETS
        if not self._winner_indices:
            return self._winner_before_caching(bucket)
        index = self._winner_indices[bucket]
        if index == self._unset_index:
            index = self._winner_index(bucket)
            self._winner_indices[bucket] = index
        return self._target_numbers[index]

    def _winner_before_caching(self, bucket: int) -> int | None:
        """Return the winner; allocate the cache now, because many services see few new flows."""
        if not self._target_numbers:
            return None
        if self._is_cached:
            self._winner_indices = (
                array(self._winner_indices.typecode, (self._unset_index,)) * BUCKETS
            )
        return self._target_numbers[self._winner_index(bucket)]

    def _winner_index(self, bucket: int) -> int:
        """Return the index of the target with the greatest weight, the first of equal ones."""
        greatest, first = -1, 0
        for index, encoded in enumerate(self._encoded):
            weight = xxh3_64_intdigest(encoded, bucket)
            if weight > greatest:
                greatest, first = weight, index
        return first


def _encoded(target_number: int) -> bytes:
    return target_number.to_bytes(_TARGET_NUMBER_BYTES, "big")
