"""Whether a target answers what its agent hands to it."""

from __future__ import annotations

SILENT_TARGET_SECONDS = 0.6  # a usual answer takes a tenth; two copies of an opening packet fit in
SILENCE_MEMORY_SECONDS = 2.0  # for how long after the last packet a silent target is avoided


class TargetSilence:
    """Since when a target has answered nothing."""

    def __init__(self) -> None:
        self._unanswered_since: float | None = None
        self._handed_at = float("-inf")

    def note_handed(self, now: float) -> None:
        """Note that the target was sent something that it answers."""
        self._handed_at = now
        if self._unanswered_since is None:
            self._unanswered_since = now

    def note_answer(self) -> None:
        """Note that the target sent something."""
        self._unanswered_since = None

    def is_silent(self, now: float) -> bool:
        """Return whether the target has answered nothing for a while though it was sent work."""
        if self._unanswered_since is None:
            return False
        # Without packets nothing can show that it is back, so it gets new flows again then.
        is_current = now - self._handed_at < SILENCE_MEMORY_SECONDS
        return is_current and now - self._unanswered_since > SILENT_TARGET_SECONDS
