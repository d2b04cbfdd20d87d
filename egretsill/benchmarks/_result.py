"""One result of a benchmark with its goal."""

from __future__ import annotations

import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class BenchmarkResult:
    """One measured value of a benchmark.

    Attributes:
        benchmark: name of the benchmark.
        case: quantity and load that were measured.
        value: measured value, in `unit`.
        unit: unit of the value and the goal.
        size: value of the parameter that the case varies, or None.
        goal: bound on the value, or None if there is none.
        holds: whether the value meets the goal, or None if there is no goal.
    """

    benchmark: str
    case: str
    value: float
    unit: str
    size: int | None = None
    goal: float | None = None
    holds: bool | None = None

    def to_json(self) -> str:
        """Return the result as one line of JSON."""
        return json.dumps(dataclasses.asdict(self))
