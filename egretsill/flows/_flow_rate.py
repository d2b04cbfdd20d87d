"""Rate limit for opening flows; handshakes take far more processor time than other packets."""

from __future__ import annotations

WINDOW_SECONDS = 1.0


class FlowRate:
    """Counts new flows in windows of one second.

    Args:
        flows_per_window: maximum number of flows opened in a window.
    """

    def __init__(self, flows_per_window: int) -> None:
        self._flows_per_window = flows_per_window
        self._window_ends_at = float("-inf")
        self._count = 0

    def admits(self, now: float) -> bool:
        """Return whether one more flow may be opened at `now` seconds."""
        if now >= self._window_ends_at:
            self._count = 0
            self._window_ends_at = now + WINDOW_SECONDS
        if self._count >= self._flows_per_window:
            return False
        self._count += 1
        return True
