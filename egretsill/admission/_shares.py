"""Recent use of capacity by each tenant and class, for a fair order of the queue."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

HALF_LIFE_SECONDS = 5.0
NEGLIGIBLE_WEIGHT = 0.001
MAXIMUM_SHARES = 1024


class Share(NamedTuple):
    """The tenant and class whose use of capacity a request counts towards."""

    tenant: str
    class_name: str


@dataclass(slots=True)
class _Usage:
    weight: float
    at: float

    def decayed(self, now: float) -> float:
        """Return the weight that remains at `now`."""
        return float(self.weight * 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_SECONDS))


class FairShares:
    """Weight admitted for each tenant and class, with exponential decay."""

    def __init__(self) -> None:
        self._usage: dict[Share, _Usage] = {}

    def charge(self, share: Share, weight: float, now: float) -> None:
        """Add `weight` to the use of a share."""
        used = self.used(share, now)
        if share not in self._usage and len(self._usage) >= MAXIMUM_SHARES:
            self._evict(now)
        self._usage[share] = _Usage(used + weight, now)

    def used(self, share: Share, now: float) -> float:
        """Return the recent use of a share, as decayed weight."""
        usage = self._usage.get(share)
        return 0.0 if usage is None else usage.decayed(now)

    def used_by_tenant(self, now: float) -> dict[str, float]:
        """Return the recent use of each tenant over all of its classes, as decayed weight."""
        totals: dict[str, float] = {}
        for share, usage in self._usage.items():
            totals[share.tenant] = totals.get(share.tenant, 0.0) + usage.decayed(now)
        return totals

    def _evict(self, now: float) -> None:
        least = min(self._usage, key=lambda share: self._usage[share].decayed(now))
        self._usage = {
            share: usage
            for share, usage in self._usage.items()
            if usage.decayed(now) > NEGLIGIBLE_WEIGHT and share is not least
        }
