"""Message data classes as table rows."""

from __future__ import annotations

from dataclasses import dataclass

from .._message_tables import message_table


@dataclass(frozen=True, slots=True)
class _Empty:
    """Says nothing.

    And has no fields.
    """


@dataclass(frozen=True, slots=True)
class _Full:
    """Says something."""

    first: int
    second: str


def test_table_is_sorted_by_tag() -> None:
    assert message_table({2: _Empty, 1: _Full}).splitlines()[2:] == [
        "| 1 | `_Full` | `first`, `second` | Says something. |",
        "| 2 | `_Empty` | none | Says nothing. |",
    ]
