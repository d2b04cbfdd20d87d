"""Detection of a target that does not answer what its agent delivers to it."""

from __future__ import annotations

SILENT_TARGET_SECONDS = 0.6  # ten times a usual answer; two copies of a SYN packet fit in
SILENCE_VALID_SECONDS = 2.0  # how long after the last delivered packet a silent target is avoided


class TargetSilence:
    """Tracks since when a target has answered nothing."""

    def __init__(self) -> None:
        self._unanswered_since: float | None = None
        self._delivered_at = float("-inf")

    def note_delivered(self, now: float) -> None:
        """Record that the target was sent a packet that requires an answer."""
        self._delivered_at = now
        if self._unanswered_since is None:
            self._unanswered_since = now

    def note_answer(self) -> None:
        """Record that the target sent a packet."""
        self._unanswered_since = None

    def has_been_silent(self, now: float) -> bool:
        """Return whether nothing came for longer than the limit, whatever was delivered lately."""
        since = self._unanswered_since
        return since is not None and now - since > SILENT_TARGET_SECONDS

    def is_silent(self, now: float) -> bool:
        """Return whether the target has left packets unanswered for longer than the limit."""
        # Only packets can show that the target has recovered, so after a while without any it
        # gets new flows again.
        is_current = now - self._delivered_at < SILENCE_VALID_SECONDS
        return is_current and self.has_been_silent(now)
