"""What a target's reports claim, and for how long claims are believed against what requests show.

Claims are hints. A claim of draining keeps requests away for a while; if a request that is then
tried is run, such claims are not believed for a longer while. A claim that the backend server was
started lately is believed once in a while only, so that a report that always says so wins nothing.
"""

from __future__ import annotations

import math

from ._messages import LoadReport

DRAINING_BELIEVED_SECONDS = 10.0
DISTRUST_SECONDS = 120.0
IN_FLIGHT_SECONDS = 2.0
RESTART_INTERVAL_SECONDS = 300.0
SLOW_START_SECONDS = 20.0
SLOW_START_SHARE = 0.25


class ReportedClaims:
    """The claims in one target's reports; all times are in seconds."""

    def __init__(self) -> None:
        self._report: LoadReport | None = None
        self._draining_since = math.inf
        self._distrusted_until = -math.inf
        self._server_started_at = -math.inf

    @property
    def connections(self) -> int | None:
        """Return the subscriptions that it claims to hold, or None if it never reported."""
        return None if self._report is None else self._report.connections

    def take(self, report: LoadReport, now: float) -> bool:
        """Take in a report and return whether it was news: plausible and later than the last."""
        if not report.plausible or not self._is_later(report):
            return False
        self._report = report
        self._note_draining(report, now)
        started_at = now - report.server_age_seconds
        if started_at > self._server_started_at + RESTART_INTERVAL_SECONDS:
            self._server_started_at = started_at
        return True

    def ran_request(self, now: float) -> None:
        """Take in that the target started a request, so that a claim of draining is false.

        A request that was on its way when the claim was made proves nothing.
        """
        if now >= self._draining_since + IN_FLIGHT_SECONDS:
            self._distrusted_until = now + DISTRUST_SECONDS

    def draining(self, now: float) -> bool:
        """Return whether a claim of draining is believed."""
        if now < self._distrusted_until:
            return False
        return self._draining_since <= now < self._draining_since + DRAINING_BELIEVED_SECONDS

    def usable_share(self, now: float) -> float:
        """Return the share of its slots to use while its backend server warms up."""
        age = max(0.0, now - self._server_started_at)
        warmth = min(1.0, age / SLOW_START_SECONDS)
        return SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * warmth

    def _note_draining(self, report: LoadReport, now: float) -> None:
        if not report.draining:
            self._draining_since = math.inf
        elif math.isinf(self._draining_since):
            self._draining_since = now

    def _is_later(self, report: LoadReport) -> bool:
        known = self._report
        if known is None:
            return True
        return (report.incarnation, report.sequence) > (known.incarnation, known.sequence)
