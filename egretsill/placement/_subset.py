"""The targets of a service that a requester uses, and the recipients of a target's reports.

Targets are ordered on a ring by hash, and a requester uses those that follow its own position. So
each target is used by exactly the same number of requesters, which independent choices, such as
rendezvous hashing, do not ensure, and a target that joins or leaves changes few subsets.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from ..configuration import Service

SUBSET_SIZE = 16


def subset_targets(
    service: Service, own_target: int | None, size: int = SUBSET_SIZE
) -> Sequence[int]:
    """Return the numbers of the targets that a requester chooses among.

    Args:
        service: the service whose targets are chosen among.
        own_target: number of the requester's own target, which comes first, or None.
        size: maximum number of targets.
    """
    ring = _ring(service)
    start = ring.index(own_target) if own_target in ring else 0
    return _arc(ring, start, size)


def report_recipients(service: Service, own_target: int, size: int = SUBSET_SIZE) -> Sequence[int]:
    """Return the numbers of the other targets whose agents have `own_target` in their subset."""
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
