"""How much each tenant and class was given lately, for a fair order among those that wait."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

HALF_LIFE_SECONDS = 5.0
FORGOTTEN_WEIGHT = 0.001
SHARES_KEPT = 1024


class Share(NamedTuple):
    """Whose part of the capacity a request counts against."""

    tenant: str
    class_name: str


@dataclass(slots=True)
class _Usage:
    weight: float
    at: float

    def faded(self, now: float) -> float:
        """Return the weight that is left of it at `now`."""
        return float(self.weight * 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_SECONDS))


class FairShares:
    """Weight admitted for each tenant and class, fading over seconds."""

    def __init__(self) -> None:
        self._usage: dict[Share, _Usage] = {}

    def charge(self, share: Share, weight: float, now: float) -> None:
        """Count `weight` against a share."""
        used = self.used(share, now)
        if share not in self._usage and len(self._usage) >= SHARES_KEPT:
            self._forget(now)
        self._usage[share] = _Usage(used + weight, now)

    def used(self, share: Share, now: float) -> float:
        """Return the weight that this share had lately."""
        usage = self._usage.get(share)
        return 0.0 if usage is None else usage.faded(now)

    def used_by_tenant(self, now: float) -> dict[str, float]:
        """Return the weight that each tenant had lately, over all of its classes."""
        totals: dict[str, float] = {}
        for share, usage in self._usage.items():
            totals[share.tenant] = totals.get(share.tenant, 0.0) + usage.faded(now)
        return totals

    def _forget(self, now: float) -> None:
        least = min(self._usage, key=lambda share: self._usage[share].faded(now))
        self._usage = {
            share: usage
            for share, usage in self._usage.items()
            if usage.faded(now) > FORGOTTEN_WEIGHT and share is not least
        }
