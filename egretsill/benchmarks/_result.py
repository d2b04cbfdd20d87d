"""One figure of a benchmark beside its goal."""

from __future__ import annotations

import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class BenchmarkResult:
    """One line of a benchmark's result.

    Attributes:
        benchmark: what was measured.
        case: under which load.
        value: what was measured, in `unit`.
        unit: of the value and the goal.
        size: how many of what the case varies, or None.
        goal: the stated bound, or None if there is none.
        holds: whether the value keeps the goal, or None if there is none.
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
