"""The committed contracts list the messages as the code has them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

from .._message_tables import PROTOCOLS, message_table

CONTRACTS = Path(__file__).parents[3] / "docs" / "CONTRACTS.md"


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


@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_contracts_hold_exactly_the_table(protocol: str) -> None:
    table = message_table(PROTOCOLS[protocol])
    assert f"\n\n{table}\n" in CONTRACTS.read_text(encoding="utf-8")


def test_table_is_in_the_order_of_tags() -> None:
    assert message_table({2: _Empty, 1: _Full}).splitlines()[2:] == [
        "| 1 | `_Full` | `first`, `second` | Says something. |",
        "| 2 | `_Empty` | none | Says nothing. |",
    ]
