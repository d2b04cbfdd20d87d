"""The order of the store's content, which holds across its returns from a copy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StoreRevision:
    """A point in the store's history; ordered by era, then by number.

    A store that comes back from a copy begins the next era and gives out again the numbers that
    follow the copy's, so numbers of different eras must not be compared.

    Attributes:
        era: rises each time that the store comes back from a copy; 0 if the store states none.
        number: the store's revision within the era.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.era}:{self.number}"


NO_REVISION = StoreRevision(0, 0)  # before any content was read
