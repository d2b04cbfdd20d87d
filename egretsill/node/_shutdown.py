"""When a process that was told to stop ends."""

from __future__ import annotations

from collections.abc import Mapping
from typing import ClassVar


class ShutdownPlan:
    """Lets a process leave the rotation before it ends.

    Args:
        grace_seconds: time between the signal and a forced end.
    """

    POLL_SECONDS: ClassVar[float] = 0.1
    QUIET_SECONDS: ClassVar[float] = 0.3  # several times the usual gap between packets
    ROTATION_SECONDS: ClassVar[float] = 1.6  # two probes half a second apart, and their slack
    RESERVE_SECONDS: ClassVar[float] = 1.0  # of the grace period, for a slow VM

    def __init__(self, grace_seconds: float) -> None:
        self._grace_seconds = grace_seconds
        self._began_at: float | None = None
        self._ended_after = 0.0

    @property
    def is_leaving(self) -> bool:
        """Return whether the process was told to stop."""
        return self._began_at is not None

    @property
    def outcome(self) -> Mapping[str, float]:
        """Return how long leaving took, for the log."""
        return {"seconds_leaving": round(self._ended_after, 3)}

    def begin(self, now: float) -> None:
        """Note the signal."""
        self._began_at = now

    def is_over(self, now: float, is_quiet: bool) -> bool:
        """Return whether the process ends now.

        Args:
            now: local time.
            is_quiet: whether it has nothing to do.
        """
        if self._began_at is None:
            return False
        elapsed = now - self._began_at
        self._ended_after = elapsed
        if elapsed >= self._grace_seconds - self.RESERVE_SECONDS:
            return True
        return is_quiet and elapsed >= self.ROTATION_SECONDS
