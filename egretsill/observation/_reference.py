"""Operators' reference of metrics and log lines, generated as Markdown from their definitions."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ._definitions import METRIC_DEFINITIONS
from ._logging import StateKind

_METRIC_HEADINGS = ("Metric", "Kind", "Labels", "Meaning", "What to do")
_LOG_HEADINGS = ("Line", "Meaning", "What to do")


def metric_reference() -> str:
    """Return a Markdown table of every metric."""
    rows = [
        (
            f"`{each.name}`",
            each.kind.value,
            ", ".join(f"`{label}`" for label in each.labels),
            each.meaning,
            each.action,
        )
        for each in METRIC_DEFINITIONS
    ]
    return _table(_METRIC_HEADINGS, rows)


def log_reference() -> str:
    """Return a Markdown table of every kind of log line."""
    rows = [(f"`egretsill:{each.label}`", each.meaning, each.action) for each in StateKind]
    return _table(_LOG_HEADINGS, rows)


def _table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [headings, ["---"] * len(headings), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)
