"""How fast targets serve, compared with each other, learned from own requests alone."""

from __future__ import annotations

from collections.abc import Sequence

HALF_LIFE_SECONDS = 10.0
PRIOR_WEIGHT = 4.0


class SpeedEvidence:
    """Weight that a target served for this asker lately, and the slot time that this took.

    The slot time is the integral over time of the own requests that run there, so no request needs
    a record of its own.
    """

    def __init__(self) -> None:
        self._speed = 1.0
        self._running = 0
        self._accounted_at = 0.0
        self._slot_seconds = 0.0
        self._weight = 0.0

    @property
    def speed(self) -> float:
        """Return its speed as a multiple of the mean of the targets."""
        return self._speed

    @property
    def slot_seconds(self) -> float:
        """Return the slot time taken lately, in seconds."""
        return self._slot_seconds

    @property
    def weight(self) -> float:
        """Return the weight served lately."""
        return self._weight

    def began(self, now: float) -> None:
        """Count a request that began to run."""
        self.account(now)
        self._running += 1

    def ended(self, weight: float, now: float) -> None:
        """Count a request that ran to its end."""
        self.account(now)
        if self._running > 0:
            self._running -= 1
            self._weight += weight

    def account(self, now: float) -> None:
        """Bring the slot time up to `now`, and let what is old fade."""
        elapsed = max(0.0, now - self._accounted_at)
        fading = 0.5 ** (elapsed / HALF_LIFE_SECONDS)
        self._slot_seconds = self._slot_seconds * fading + self._running * elapsed
        self._weight *= fading
        self._accounted_at = now

    def compare(self, mean_weight_per_second: float) -> None:
        """Set the speed from the evidence, taking the mean for what isn't known."""
        weight = self._weight + PRIOR_WEIGHT
        seconds = self._slot_seconds + PRIOR_WEIGHT / mean_weight_per_second
        self._speed = weight / seconds / mean_weight_per_second


def compare_speeds(evidence: Sequence[SpeedEvidence], now: float) -> None:
    """Set the speed of each target from what all of them showed."""
    for each in evidence:
        each.account(now)
    weight = sum(each.weight for each in evidence)
    seconds = sum(each.slot_seconds for each in evidence)
    if weight <= 0.0 or seconds <= 0.0:
        return
    for each in evidence:
        each.compare(weight / seconds)
