"""Estimates of how long requests of each class run, from completed requests."""

from __future__ import annotations

from dataclasses import dataclass

GAIN = 0.1
HALF_LIFE_SECONDS = 5.0


@dataclass(slots=True)
class _Estimate:
    seconds: float
    updated_at: float


class ServiceTimes:
    """Exponential moving averages of service times, which decay without new samples.

    An estimate without new samples for `HALF_LIFE_SECONDS` then halves over each such period.
    Otherwise, a slow period could cause refusals that last forever, because refused requests
    provide no samples.
    """

    def __init__(self) -> None:
        self._classes: dict[str, _Estimate] = {}

    def record(self, class_name: str, seconds: float, now: float) -> None:
        """Record that a request of this class ran for `seconds`."""
        seconds = max(0.0, seconds)
        estimate = self._classes.get(class_name)
        if estimate is None:
            self._classes[class_name] = _Estimate(seconds, now)
            return
        decayed = self._decayed(estimate, now)
        estimate.seconds = decayed + GAIN * (seconds - decayed)
        estimate.updated_at = now

    def expected(self, class_name: str, now: float) -> float:
        """Return the expected run time of a request of this class in seconds, or 0 if unknown."""
        estimate = self._classes.get(class_name)
        return 0.0 if estimate is None else self._decayed(estimate, now)

    def _decayed(self, estimate: _Estimate, now: float) -> float:
        idle_seconds = max(0.0, now - estimate.updated_at - HALF_LIFE_SECONDS)
        return float(estimate.seconds * 0.5 ** (idle_seconds / HALF_LIFE_SECONDS))
