"""Counts unexpected exceptions and writes them to the journal."""

from __future__ import annotations

from ..observation import Journal, Metrics
from ..supervision import Part, describe_failure


class JournalFailureLog:
    """Records the failures that a supervisor contained, and the one that ends the process."""

    def __init__(self, metrics: Metrics, journal: Journal) -> None:
        self._metrics = metrics
        self._journal = journal

    def record(self, part: Part, error: BaseException) -> None:
        """Count a contained failure and write a line; the parts have separate budgets of lines."""
        self._metrics.failures_contained.increment(part, type(error).__name__)
        budget = f"part-failed {part.value}"
        if self._journal.consume_budget(budget):
            self._journal.write("part-failed", _fields(part.value, error), budget)

    def record_end(self, error: BaseException) -> None:
        """Write the line about the failure that ends the process."""
        self._journal.record("failed", **_fields("process", error))


def _fields(part: str, error: BaseException) -> dict[str, str]:
    described = describe_failure(error)
    return {
        "part": part,
        "error": described.error,
        "detail": described.detail,
        "location": described.location,
    }
