"""Decision when a process that is shutting down ends."""

from __future__ import annotations

from collections.abc import Mapping
from typing import ClassVar


class ShutdownPlan:
    """Keeps a process running until routers have taken it out of rotation.

    Args:
        grace_seconds: time between the signal and a forced end.
    """

    POLL_SECONDS: ClassVar[float] = 0.1
    IDLE_SECONDS: ClassVar[float] = 0.3  # several times the usual gap between packets
    ROTATION_SECONDS: ClassVar[float] = 1.6  # two probes half a second apart, plus slack
    RESERVE_SECONDS: ClassVar[float] = 1.0  # part of the grace period left unused for slow VMs

    def __init__(self, grace_seconds: float) -> None:
        self._grace_seconds = grace_seconds
        self._signalled_at: float | None = None
        self._seconds_leaving = 0.0

    @property
    def is_leaving(self) -> bool:
        """Return whether the process was signalled to stop."""
        return self._signalled_at is not None

    @property
    def outcome(self) -> Mapping[str, float]:
        """Return the log fields that say how long the process was leaving."""
        return {"seconds_leaving": round(self._seconds_leaving, 3)}

    def begin(self, now: float) -> None:
        """Record the signal to stop."""
        self._signalled_at = now

    def should_end(self, now: float, is_idle: bool) -> bool:
        """Return whether the process is to end now.

        Args:
            now: local time.
            is_idle: whether the process has no work.
        """
        if self._signalled_at is None:
            return False
        elapsed = now - self._signalled_at
        self._seconds_leaving = elapsed
        if elapsed >= self._grace_seconds - self.RESERVE_SECONDS:
            return True
        return is_idle and elapsed >= self.ROTATION_SECONDS
