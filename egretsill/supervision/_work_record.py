"""Evidence of whether the pieces of work of a part succeed."""

from __future__ import annotations

from collections.abc import Callable

FAILING_SECONDS = 1.0  # a part with nothing but failures for this long doesn't work
TRIAL_SECONDS = 10.0  # after this long without a failure the part gets work again


class WorkRecord:
    """Knows whether a part has done nothing but fail for a while.

    Args:
        now: returns the local time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._failing_since: float | None = None
        self._failed_at = float("-inf")

    @property
    def is_failing(self) -> bool:
        """Return whether the part has only failed for `FAILING_SECONDS`, and failed lately."""
        since = self._failing_since
        if since is None or self._failed_at - since < FAILING_SECONDS:
            return False
        return self._now() - self._failed_at < TRIAL_SECONDS

    def note_success(self) -> None:
        """Record that a piece of work succeeded."""
        self._failing_since = None

    def note_failure(self) -> None:
        """Record that all pieces of work at this time failed."""
        self._failed_at = self._now()
        if self._failing_since is None:
            self._failing_since = self._failed_at
