"""Names of entries that were passed over, by which an operator finds their writer."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAXIMUM_DESCRIBED = 5  # entries in one description
MAXIMUM_KEY_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class UnusableEntry:
    """An item of the store that was passed over.

    Attributes:
        key: its key, any text; empty if it has none.
        part: the part that is missing or can't be used.
    """

    key: str
    part: str

    def __str__(self) -> str:
        key = self.key[:MAXIMUM_KEY_CHARACTERS]
        mark = "..." if len(self.key) > MAXIMUM_KEY_CHARACTERS else ""
        # Half of a surrogate pair can't be encoded.
        return f"{key.encode(errors='backslashreplace').decode()}{mark}: {self.part}"


def describe_entries(entries: Sequence[UnusableEntry]) -> str:
    """Return the keys and parts of a few entries as one text that can be encoded and logged."""
    described = [str(each) for each in entries[:MAXIMUM_DESCRIBED]]
    if len(entries) > MAXIMUM_DESCRIBED:
        described.append(f"{len(entries) - MAXIMUM_DESCRIBED} more")
    return "; ".join(described)
