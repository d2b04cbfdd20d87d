"""Counts unexpected exceptions and logs them."""

from __future__ import annotations

from collections.abc import Callable

from ..observation import Metrics, StateChange, StateKind, StateLog
from ..supervision import Part, describe_failure

LINE_SECONDS = 1.0  # shortest time between two lines about failures of one part
PROCESS = "process"  # subject of the failure that ends the process


class StateFailureLog:
    """Records the failures that a supervisor contained, and the one that ends the process.

    Args:
        now: returns the local time in seconds.
    """

    def __init__(self, metrics: Metrics, state_log: StateLog, now: Callable[[], float]) -> None:
        self._metrics = metrics
        self._state_log = state_log
        self._now = now
        self._written_at: dict[Part, float] = {}

    def record(self, part: Part, error: BaseException) -> None:
        """Count a contained failure; write a line if it differs from the part's last one."""
        self._metrics.failures_contained.increment(part, type(error).__name__)
        now = self._now()
        if now - self._written_at.get(part, float("-inf")) >= LINE_SECONDS:
            self._written_at[part] = now
            self._write(part.value, error)

    def record_end(self, error: BaseException) -> None:
        """Write the line about the failure that ends the process."""
        self._write(PROCESS, error)

    def _write(self, subject: str, error: BaseException) -> None:
        described = describe_failure(error)
        state = f"{described.error} at {described.location}"
        self._state_log.record(
            StateChange(StateKind.FAILURE, subject, state, {"detail": described.detail})
        )
