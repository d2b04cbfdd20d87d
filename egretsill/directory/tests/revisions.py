"""Revisions of the store for tests."""

from __future__ import annotations

from .. import StoreRevision


def rev(number: int, era: int = 1) -> StoreRevision:
    """Return a revision, of the store's first era if none is given."""
    return StoreRevision(era, number)
