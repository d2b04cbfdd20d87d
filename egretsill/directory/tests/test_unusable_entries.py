"""Tests of the names of entries that were passed over."""

from __future__ import annotations

from collections.abc import Sequence

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import UnusableEntry, describe_entries

BAD = UnusableEntry("servers/a", "zone")
KEYS = st.text(st.characters(exclude_categories=()) | st.just("\ud83d"), max_size=300)


@pytest.mark.parametrize(
    ("entries", "description"),
    [
        pytest.param([], "", id="none"),
        pytest.param([BAD], "servers/a: zone", id="one"),
        pytest.param([BAD] * 5, "; ".join(["servers/a: zone"] * 5), id="few"),
        pytest.param([BAD] * 12, "; ".join(["servers/a: zone"] * 5) + "; 7 more", id="many"),
        pytest.param([UnusableEntry("a\ud83d", "key")], "a\\ud83d: key", id="half of a pair"),
        pytest.param([UnusableEntry("\u0437", "key")], "\u0437: key", id="other letters"),
        pytest.param([UnusableEntry("", "key")], ": key", id="no key"),
        pytest.param([UnusableEntry("x" * 900_000, "key")], "x" * 80 + "...: key", id="long"),
    ],
)
def test_description(entries: Sequence[UnusableEntry], description: str) -> None:
    assert describe_entries(entries) == description


# Guards against a key that makes the line that reports it unwritable, or that fills the log.
@settings(derandomize=True, max_examples=200)
@given(st.lists(st.builds(UnusableEntry, KEYS, st.just("zone")), max_size=7))
def test_any_keys_can_be_logged(entries: Sequence[UnusableEntry]) -> None:
    assert len(orjson.dumps({"entries": describe_entries(entries)})) < 6_000
