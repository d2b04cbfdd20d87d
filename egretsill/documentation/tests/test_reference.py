"""The reference lists every settings key, metric and log line with its meaning."""

from __future__ import annotations

from collections.abc import Mapping

import pytest

from ...configuration.ini import Seconds, SectionModel
from ...observation import METRIC_DEFINITIONS, StateKind
from .. import make_reference
from .._attribute_docs import attribute_docs
from .._sections import DECLARATION_SECTIONS, SECTIONS, SectionReference
from .._settings_table import settings_table


class _Documented:
    """A class with documented attributes.

    Attributes:
        first: on one line.
        second: on two
            lines.

    Raises:
        Nothing: at all.
    """


class _Plain:
    """A class without documented attributes."""


class _Section(SectionModel):
    wait: Seconds = 0.25
    count: int = 3
    name: str


@pytest.mark.parametrize("section", [*SECTIONS, *DECLARATION_SECTIONS], ids=lambda each: each.name)
def test_every_key_has_a_meaning(section: SectionReference) -> None:
    missing = [key for key in section.model.model_fields if not section.meanings.get(key)]
    assert missing == []


def test_every_metric_and_log_line_is_listed() -> None:
    reference = make_reference()
    names = [each.name for each in METRIC_DEFINITIONS]
    names += [f"egretsill:{each.label}" for each in StateKind]
    assert [name for name in names if f"| `{name}` |" not in reference] == []


@pytest.mark.parametrize(
    ("documented", "expected"),
    [
        pytest.param(
            _Documented, {"first": "on one line.", "second": "on two lines."}, id="attributes"
        ),
        pytest.param(_Plain, {}, id="no attributes"),
    ],
)
def test_attribute_docs(documented: type, expected: Mapping[str, str]) -> None:
    assert attribute_docs(documented) == expected


def test_settings_table_shows_defaults_with_their_units() -> None:
    table = settings_table(_Section, {"wait": "how long", "count": "how many.", "name": "which."})
    assert table.splitlines()[2:] == [
        "| `wait` | `250 ms` | How long. |",
        "| `count` | `3` | How many. |",
        "| `name` | required | Which. |",
    ]
