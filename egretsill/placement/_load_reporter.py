"""Decides when an agent reports the load of its backend server, and to whom."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from ..configuration import Service
from ._messages import LoadReport
from ._subset import using_targets

INTERVAL_SECONDS = 0.5
SHORTEST_GAP_SECONDS = 0.1
INTERVAL_JITTER = 0.2
BIG_CHANGE_LOAD = 1.0
BYTES_PER_SECOND = 6_000.0
BURST_SECONDS = 1.0
REPORT_BYTES = 128


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to the agents of these targets.

    Attributes:
        targets: their numbers.
    """

    report: LoadReport
    targets: tuple[int, ...]


class LoadReporter:
    """Reports at an interval, and at once when the load changed much, within a byte rate.

    Only the agents that choose this target among others get its reports, so that the cost stays
    the same however large the fleet is.

    Args:
        own_target: number of the target reported on.
        service: the target's service.
        random: spreads reports over time and over peers.
    """

    def __init__(self, own_target: int, service: Service, random: Random) -> None:
        self._own_target = own_target
        self._random = random
        self._peers: Sequence[int] = ()
        self._last: LoadReport | None = None
        self._last_at = 0.0
        self._next_at = 0.0
        self._allowance = BYTES_PER_SECOND * BURST_SECONDS
        self._allowance_at: float | None = None
        self.update_service(service)

    @property
    def next_report(self) -> float:
        """Return when the next report is due if nothing changes, in seconds."""
        return self._next_at

    def update_service(self, service: Service) -> None:
        """Take over a changed configuration."""
        self._peers = using_targets(service, self._own_target)

    def poll(self, report: LoadReport, now: float) -> SendReport | None:
        """Return what is to be sent now, if anything; ask it on each change and when due."""
        self._refill(now)
        if now < self._next_at and not self._is_urgent(report, now):
            return None
        count = min(len(self._peers), int(self._allowance // REPORT_BYTES))
        if count == 0:
            return None
        self._allowance -= count * REPORT_BYTES
        self._last = report
        self._last_at = now
        spread = self._random.uniform(1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER)
        self._next_at = now + INTERVAL_SECONDS * spread
        return SendReport(report, tuple(self._random.sample(list(self._peers), count)))

    def _refill(self, now: float) -> None:
        if self._allowance_at is not None:
            earned = BYTES_PER_SECOND * max(0.0, now - self._allowance_at)
            self._allowance = min(self._allowance + earned, BYTES_PER_SECOND * BURST_SECONDS)
        self._allowance_at = now

    def _is_urgent(self, report: LoadReport, now: float) -> bool:
        last = self._last
        if last is None:
            return True
        if report.draining != last.draining:
            return True
        if now - self._last_at < SHORTEST_GAP_SECONDS:
            return False
        change = abs(report.outstanding_weight - last.outstanding_weight)
        return change / max(1, report.slots) >= BIG_CHANGE_LOAD
