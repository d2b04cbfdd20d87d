"""One measured value with its target."""

from __future__ import annotations

import dataclasses
import json


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """One line of a measure's result.

    Attributes:
        measure: which decision was measured.
        case: under which load, fault or policy.
        value: what was measured.
        target: the stated bound.
        baseline: the same value under the baseline policy, or None.
        holds: whether the value is within the bound.
    """

    measure: str
    case: str
    value: float
    target: float
    baseline: float | None
    holds: bool

    def to_json(self) -> str:
        """Return the measurement as one line of JSON."""
        return json.dumps(dataclasses.asdict(self))
