"""How long requests of each class run, learned from those that ended."""

from __future__ import annotations

from dataclasses import dataclass

GAIN = 0.1
HALF_LIFE_SECONDS = 5.0


@dataclass(slots=True)
class _Estimate:
    seconds: float
    learned_at: float


class ServiceTimes:
    """Running means of service times, which fade when nothing confirms them.

    An estimate without new samples halves every few seconds, so that a slow spell that led to
    refusals can't go on refusing for want of samples.
    """

    def __init__(self) -> None:
        self._classes: dict[str, _Estimate] = {}

    def learn(self, class_name: str, seconds: float, now: float) -> None:
        """Take in that a request of this class ran for `seconds`."""
        seconds = max(0.0, seconds)
        known = self._classes.get(class_name)
        if known is None:
            self._classes[class_name] = _Estimate(seconds, now)
            return
        faded = self._faded(known, now)
        known.seconds = faded + GAIN * (seconds - faded)
        known.learned_at = now

    def expected(self, class_name: str, now: float) -> float:
        """Return the seconds that a request of this class is expected to run; 0 if unknown."""
        known = self._classes.get(class_name)
        return 0.0 if known is None else self._faded(known, now)

    def _faded(self, known: _Estimate, now: float) -> float:
        idle_seconds = max(0.0, now - known.learned_at - HALF_LIFE_SECONDS)
        return float(known.seconds * 0.5 ** (idle_seconds / HALF_LIFE_SECONDS))
