"""Which targets of a large service one asker uses, and so who needs a target's reports.

Targets stand on a ring in the order of a hash, and an asker uses those that follow its own place.
Each target is then used by exactly as many askers as any other, which independent picks, as by
rendezvous hash, don't give; and a target that joins or leaves changes few subsets.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from ..configuration import Service

SUBSET_SIZE = 16


def used_targets(
    service: Service, own_target: int | None, size: int = SUBSET_SIZE
) -> Sequence[int]:
    """Return the numbers of the targets that an asker chooses among.

    Args:
        service: the service asked.
        own_target: number of the asker's own target, which comes first, or None.
        size: most targets used.
    """
    ring = _ring(service)
    start = ring.index(own_target) if own_target in ring else 0
    return _arc(ring, start, size)


def using_targets(service: Service, own_target: int, size: int = SUBSET_SIZE) -> Sequence[int]:
    """Return the numbers of the other targets whose agents choose `own_target` among others."""
    ring = _ring(service)
    if own_target not in ring:
        return ()
    backwards = list(reversed(ring))
    return _arc(backwards, backwards.index(own_target), size)[1:]


def _ring(service: Service) -> list[int]:
    return sorted((each.number for each in service.targets), key=_hash)


def _arc(ring: Sequence[int], start: int, size: int) -> Sequence[int]:
    return tuple(ring[(start + step) % len(ring)] for step in range(min(size, len(ring))))


def _hash(number: int) -> int:
    return xxhash.xxh64_intdigest(number.to_bytes(8, "big"))
