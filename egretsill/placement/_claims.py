"""Draining and restart claims in a target's reports, and how long each is accepted.

Claims are hints. A claim of draining keeps requests away for `DRAINING_CLAIM_SECONDS`. If the
target still starts a request, such claims are ignored for `CLAIMS_IGNORED_SECONDS`. A claim that
the backend server started recently is accepted at most once in `RESTART_INTERVAL_SECONDS`, so that
a target gains nothing by making it in every report.
"""

from __future__ import annotations

import math

from ._messages import LoadReport

DRAINING_CLAIM_SECONDS = 10.0
CLAIMS_IGNORED_SECONDS = 120.0
IN_FLIGHT_SECONDS = 2.0
RESTART_INTERVAL_SECONDS = 300.0
SLOW_START_SECONDS = 20.0
SLOW_START_SHARE = 0.25


class ReportedClaims:
    """The claims in the reports of one target; all times are in seconds."""

    def __init__(self) -> None:
        self._report: LoadReport | None = None
        self._draining_since = math.inf
        self._claims_ignored_until = -math.inf
        self._server_started_at = -math.inf

    @property
    def connections(self) -> int | None:
        """Return the reported number of subscriptions, or None if there is no report yet."""
        return None if self._report is None else self._report.connections

    def apply_report(self, report: LoadReport, now: float) -> bool:
        """Apply a report if plausible and later than the last; return whether it was applied."""
        if not report.plausible or not self._is_later(report):
            return False
        self._report = report
        self._update_draining(report, now)
        started_at = now - report.server_age_seconds
        if started_at > self._server_started_at + RESTART_INTERVAL_SECONDS:
            self._server_started_at = started_at
        return True

    def request_started(self, now: float) -> None:
        """Ignore claims of draining for a while, since the target started a request.

        A request that was in flight when the claim arrived proves nothing.
        """
        if now >= self._draining_since + IN_FLIGHT_SECONDS:
            self._claims_ignored_until = now + CLAIMS_IGNORED_SECONDS

    def draining(self, now: float) -> bool:
        """Return whether a claim of draining is in effect."""
        if now < self._claims_ignored_until:
            return False
        return self._draining_since <= now < self._draining_since + DRAINING_CLAIM_SECONDS

    def usable_share(self, now: float) -> float:
        """Return the share of the slots to use, which grows as the backend server warms up."""
        age = max(0.0, now - self._server_started_at)
        warm_up = min(1.0, age / SLOW_START_SECONDS)
        return SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * warm_up

    def _update_draining(self, report: LoadReport, now: float) -> None:
        if not report.draining:
            self._draining_since = math.inf
        elif math.isinf(self._draining_since):
            self._draining_since = now

    def _is_later(self, report: LoadReport) -> bool:
        known = self._report
        if known is None:
            return True
        return (report.incarnation, report.sequence) > (known.incarnation, known.sequence)
