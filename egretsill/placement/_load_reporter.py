"""Decides when and to which agents an agent reports the load of its backend server."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from ..configuration import Service
from ._messages import LoadReport
from ._subset import report_recipients

INTERVAL_SECONDS = 0.5
MINIMUM_INTERVAL_SECONDS = 0.1
INTERVAL_JITTER = 0.2
LARGE_CHANGE_LOAD = 1.0
BYTES_PER_SECOND = 6_000.0
BURST_SECONDS = 1.0
REPORT_BYTES = 128


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to the agents of these targets.

    Attributes:
        targets: target numbers of the recipients.
    """

    report: LoadReport
    targets: tuple[int, ...]


class LoadReporter:
    """Sends reports at an interval and after large load changes, within a byte rate.

    Only agents with this target in their subset receive its reports, so that the cost does not
    grow with the fleet.

    Args:
        own_target: number of the target reported on.
        service: the target's service.
        random: source of the interval jitter and of the choice of recipients.
    """

    def __init__(self, own_target: int, service: Service, random: Random) -> None:
        self._own_target = own_target
        self._random = random
        self._peers: Sequence[int] = ()
        self._last: LoadReport | None = None
        self._last_sent_at = 0.0
        self._next_report_at = 0.0
        self._allowance = BYTES_PER_SECOND * BURST_SECONDS
        self._refilled_at: float | None = None
        self.update_service(service)

    @property
    def next_report(self) -> float:
        """Return when the next report is due if the load does not change, in seconds."""
        return self._next_report_at

    def update_service(self, service: Service) -> None:
        """Apply a changed service configuration."""
        self._peers = report_recipients(service, self._own_target)

    def poll(self, report: LoadReport, now: float) -> SendReport | None:
        """Return the report to send now, or None; call on each load change and when due."""
        self._refill(now)
        if now < self._next_report_at and not self._is_urgent(report, now):
            return None
        count = min(len(self._peers), int(self._allowance // REPORT_BYTES))
        if count == 0:
            return None
        self._allowance -= count * REPORT_BYTES
        self._last = report
        self._last_sent_at = now
        spread = self._random.uniform(1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER)
        self._next_report_at = now + INTERVAL_SECONDS * spread
        return SendReport(report, tuple(self._random.sample(list(self._peers), count)))

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            refill = BYTES_PER_SECOND * max(0.0, now - self._refilled_at)
            self._allowance = min(self._allowance + refill, BYTES_PER_SECOND * BURST_SECONDS)
        self._refilled_at = now

    def _is_urgent(self, report: LoadReport, now: float) -> bool:
        last = self._last
        if last is None:
            return True
        if report.draining != last.draining:
            return True
        if now - self._last_sent_at < MINIMUM_INTERVAL_SECONDS:
            return False
        change = abs(report.outstanding_weight - last.outstanding_weight)
        return change / max(1, report.slots) >= LARGE_CHANGE_LOAD
