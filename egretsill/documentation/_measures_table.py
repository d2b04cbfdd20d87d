"""The recorded run of all measures as a Markdown table."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path

from ..measurements import Measurement

RECORDED_RUN = Path(__file__).resolve().parents[2] / "measured" / "measures.json"
HEADER = (
    "| Measure | Case | Value | Target | Baseline | Holds |\n"
    "| --- | --- | --- | --- | --- | --- |\n"
)
DECIMALS = 3


def read_measures(path: Path) -> Sequence[Measurement]:
    """Return the measurements in a file with one JSON object per line."""
    lines = path.read_text(encoding="utf-8").splitlines()
    return [Measurement(**json.loads(line)) for line in lines]


def measures_table(measures: Sequence[Measurement]) -> str:
    """Return the number of measurements that hold, and a table row for each measurement."""
    holding = sum(each.holds for each in measures)
    rows = "".join(_row(each) for each in measures)
    return f"{holding} of {len(measures)} lines hold.\n\n{HEADER}{rows}"


def _row(each: Measurement) -> str:
    holds = "yes" if each.holds else "**no**"
    numbers = " | ".join(map(_number, (each.value, each.target, each.baseline)))
    return f"| {each.measure} | {each.case} | {numbers} | {holds} |\n"


def _number(value: float | None) -> str:
    return "" if value is None else f"{round(value, DECIMALS):,}"
