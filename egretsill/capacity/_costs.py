"""Measured costs from the lines that the benchmarks print."""

from __future__ import annotations

import json
import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path


class CostMissing(Exception):
    """The benchmarks' lines lack a figure.

    Attributes:
        benchmark: which should have measured it.
        case: under which load.
    """

    def __init__(self, benchmark: str, case: str) -> None:
        super().__init__(f"no figure of {benchmark}: {case}")
        self.benchmark = benchmark
        self.case = case


@dataclass(frozen=True, slots=True)
class Costs:
    """Figures by benchmark and case.

    Attributes:
        date: of the run.
        points: pairs of size and value in the order of sizes; size 0 if there is none.
    """

    date: str
    points: dict[tuple[str, str], tuple[tuple[int, float], ...]]

    def value(self, benchmark: str, case: str) -> float:
        """Return the one figure of a case.

        Raises:
            CostMissing: if there is none.
        """
        return self._points(benchmark, case)[-1][1]

    def at(self, benchmark: str, case: str, size: float) -> float:
        """Return the value that the least-squares line over all sizes has at `size`.

        It is never below 0.

        Raises:
            CostMissing: if there are fewer than two sizes.
        """
        points = self._points(benchmark, case)
        if len(points) < 2:
            raise CostMissing(benchmark, case)
        slope, base = statistics.linear_regression(*zip(*points, strict=True))
        return max(0.0, base + slope * size)

    def _points(self, benchmark: str, case: str) -> tuple[tuple[int, float], ...]:
        points = self.points.get((benchmark, case))
        if points is None:
            raise CostMissing(benchmark, case)
        return points


def read_costs(path: Path) -> Costs:
    """Return the costs that a file of the benchmarks' lines holds.

    Raises:
        OSError: if it can't be read.
        ValueError: if it doesn't hold such lines.
    """
    return _costs(json.loads(line) for line in path.read_text().splitlines() if line)


def _costs(lines: Iterable[dict[str, object]]) -> Costs:
    date = ""
    points: dict[tuple[str, str], tuple[tuple[int, float], ...]] = {}
    for line in lines:
        if "date" in line:
            date = str(line["date"])
            continue
        key = (str(line["benchmark"]), str(line["case"]))
        point = (int(str(line["size"] or 0)), float(str(line["value"])))
        points[key] = (*points.get(key, ()), point)
    return Costs(date, points)
