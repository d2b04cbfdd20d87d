"""Which of two entries was written later.

Within an era of the store its revisions tell. Across eras they don't, since a copy brings old
writes back under revisions of the later era; there the order that writers give their entries tells.
"""

from __future__ import annotations

import enum
from dataclasses import replace

from ._model import Target, TargetPhase


class WriteOrder(enum.Enum):
    """How one write of an entry relates to a known one."""

    EARLIER = "earlier"
    SAME = "same"
    LATER = "later"


def compare_writes(entry: Target, known: Target) -> WriteOrder:
    """Compare a write of an entry with a known write of the entry of the same name.

    A write that is found again in a copy of the store is the same, whatever its revision.
    """
    if entry.revision.era == known.revision.era:
        return compare_revisions(entry, known)
    if replace(entry, revision=known.revision) == known:
        return WriteOrder.SAME
    if entry.write_number == known.write_number:
        # The writer doesn't number its writes.
        return compare_revisions(entry, known)
    return WriteOrder.LATER if entry.write_number > known.write_number else WriteOrder.EARLIER


def compare_revisions(entry: Target, known: Target) -> WriteOrder:
    """Compare two writes by the store's order alone."""
    if entry.revision == known.revision:
        return WriteOrder.SAME
    return WriteOrder.LATER if entry.revision > known.revision else WriteOrder.EARLIER


def is_successor(target: Target, other: Target) -> bool:
    """Return whether a target of a VM may have started there after another target.

    Each start has a start time of its own. Where no entry tells one, the store's order counts.
    """
    if target.started_milliseconds or other.started_milliseconds:
        return target.started_milliseconds > other.started_milliseconds
    return target.revision > other.revision


def is_same_run(entry: Target, known: Target) -> bool:
    """Return whether two entries of the same name tell of the same run of a target."""
    return entry.started_milliseconds == known.started_milliseconds and _is_same_place(entry, known)


def denies_drain(entry: Target, known: Target) -> bool:
    """Return whether an entry names a target ready that drains by its known entry of that name.

    A target that drains ends, so only its next start is ready. Where the known entry tells no
    start, the store's order counts.
    """
    if known.phase is not TargetPhase.DRAINING or entry.phase is TargetPhase.DRAINING:
        return False
    if not known.started_milliseconds or not _is_same_place(entry, known):
        return False
    return entry.started_milliseconds <= known.started_milliseconds


def _is_same_place(entry: Target, known: Target) -> bool:
    place = (entry.host, entry.port, entry.service)
    return place == (known.host, known.port, known.service)
