"""The operators' reference lists all metrics and log lines."""

from __future__ import annotations

import pytest

from .. import (
    METRIC_DEFINITIONS,
    Metrics,
    StateKind,
    log_reference,
    metric_reference,
)


def test_every_metric_on_the_page_is_in_the_reference() -> None:
    page = Metrics().render()[0].decode()
    exposed = [line.split()[2] for line in page.splitlines() if line.startswith("# TYPE")]
    reference = metric_reference()
    assert len(exposed) == len(METRIC_DEFINITIONS)
    assert [each for each in exposed if f"| `{each}` |" not in reference] == []


@pytest.mark.parametrize("kind", list(StateKind))
def test_every_log_line_is_in_the_reference(kind: StateKind) -> None:
    row = f"| `egretsill:{kind.label}` | {kind.meaning} | {kind.action} |\n"
    assert row in log_reference()


def test_rows_have_as_many_cells_as_the_heading() -> None:
    for table in (metric_reference(), log_reference()):
        assert len({line.count(" | ") for line in table.splitlines()}) == 1
