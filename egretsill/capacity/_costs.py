"""Measured costs, read from benchmark results."""

from __future__ import annotations

import json
import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path


class CostMissing(Exception):
    """A result is missing from the benchmark results.

    Attributes:
        benchmark: benchmark that measures it.
        case: missing case of the benchmark.
    """

    def __init__(self, benchmark: str, case: str) -> None:
        super().__init__(f"no result of benchmark {benchmark} for case: {case}")
        self.benchmark = benchmark
        self.case = case


@dataclass(frozen=True, slots=True)
class Costs:
    """Measured costs by benchmark and case.

    Attributes:
        date: date of the benchmark run.
        points: pairs of size and value in the order of sizes; the size is 0 if a result has none.
    """

    date: str
    points: dict[tuple[str, str], tuple[tuple[int, float], ...]]

    def value(self, benchmark: str, case: str) -> float:
        """Return the value of a case, at the largest size if there are several.

        Raises:
            CostMissing: if there is none.
        """
        return self._points(benchmark, case)[-1][1]

    def at(self, benchmark: str, case: str, size: float) -> float:
        """Return the value at `size` of the least-squares line over all sizes, at least 0.

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
    """Return the costs in a file of benchmark results.

    Raises:
        OSError: if the file can't be read.
        ValueError: if the file is malformed.
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
