"""What a process learned when the store came back from a copy."""

from __future__ import annotations

from dataclasses import dataclass

from ._revision import StoreRevision


@dataclass(frozen=True, slots=True)
class StoreReturn:
    """The store's return from a copy, as this process learned of it.

    Attributes:
        before: revision of the content in force until then.
        after: revision of the first complete content of the new era.
        version_read: configuration version of that content; 0 if it came without one.
        lacking: number of known entries that it lacks.
        outdated: number of its entries of which a later write is known.
    """

    before: StoreRevision
    after: StoreRevision
    version_read: int
    lacking: int
    outdated: int
