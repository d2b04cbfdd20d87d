"""Relative speed of targets, estimated from the requester's own requests only."""

from __future__ import annotations

from collections.abc import Sequence

HALF_LIFE_SECONDS = 10.0
PRIOR_WEIGHT = 4.0


class SpeedEvidence:
    """Weight that a target served for this requester recently, and the slot time it took.

    Both decay with a half-life of `HALF_LIFE_SECONDS`. The slot time is the integral over time of
    the number of own requests running there, so no record for each request is needed.
    """

    def __init__(self) -> None:
        self._speed = 1.0
        self._running = 0
        self._accounted_at = 0.0
        self._slot_seconds = 0.0
        self._weight = 0.0

    @property
    def speed(self) -> float:
        """Return the target's speed as a multiple of the mean of all targets."""
        return self._speed

    @property
    def slot_seconds(self) -> float:
        """Return the recent slot time in seconds."""
        return self._slot_seconds

    @property
    def weight(self) -> float:
        """Return the recently served weight."""
        return self._weight

    def started(self, now: float) -> None:
        """Record that a request started to run."""
        self.decay_to(now)
        self._running += 1

    def ended(self, weight: float, now: float) -> None:
        """Record that a running request ended."""
        self.decay_to(now)
        if self._running > 0:
            self._running -= 1
            self._weight += weight

    def decay_to(self, now: float) -> None:
        """Update the slot time to `now` and decay older evidence."""
        elapsed = max(0.0, now - self._accounted_at)
        decay = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        self._slot_seconds = self._slot_seconds * decay + self._running * elapsed
        self._weight *= decay
        self._accounted_at = now

    def update_speed(self, mean_weight_per_second: float) -> None:
        """Set the speed from the evidence, with a prior of `PRIOR_WEIGHT` at the mean speed."""
        weight = self._weight + PRIOR_WEIGHT
        seconds = self._slot_seconds + PRIOR_WEIGHT / mean_weight_per_second
        self._speed = weight / seconds / mean_weight_per_second


def compare_speeds(evidence: Sequence[SpeedEvidence], now: float) -> None:
    """Set the speed of each target relative to the mean over all of them."""
    for each in evidence:
        each.decay_to(now)
    weight = sum(each.weight for each in evidence)
    seconds = sum(each.slot_seconds for each in evidence)
    if weight <= 0.0 or seconds <= 0.0:
        return
    for each in evidence:
        each.update_speed(weight / seconds)
