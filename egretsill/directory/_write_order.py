"""Which of two entries was written later.

Within an era of the store its revisions tell. Across eras they don't, since a copy brings old
writes back under revisions of the later era; there the order that writers give their entries tells.
"""

from __future__ import annotations

import enum
from dataclasses import replace

from ._model import Target


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
        return _order((entry.revision.number,), (known.revision.number,))
    if replace(entry, revision=known.revision) == known:
        return WriteOrder.SAME
    if entry.write_number == known.write_number:
        # The writer doesn't number its writes.
        return _order((entry.revision.era,), (known.revision.era,))
    return _order(entry.write_number, known.write_number)


def is_successor(target: Target, other: Target) -> bool:
    """Return whether a target got an address after another target that had it."""
    if target.revision.era == other.revision.era:
        return target.revision > other.revision
    if target.started_milliseconds == other.started_milliseconds:
        return target.revision > other.revision
    return target.started_milliseconds > other.started_milliseconds


def _order(one: tuple[int, ...], other: tuple[int, ...]) -> WriteOrder:
    if one == other:
        return WriteOrder.SAME
    return WriteOrder.LATER if one > other else WriteOrder.EARLIER
