"""Health of a backend server, judged by its requests and its health page."""

from __future__ import annotations

import enum
import math

BAD_PAGES = 3
DRAINING_PAGES = 2
EVIDENCE_SECONDS = 10.0
FAILED_REQUESTS = 3
PAGE_STALE_SECONDS = 15.0


class HealthPage(enum.Enum):
    """The result of one reading of the health page."""

    HEALTHY = "healthy"
    DRAINING = "draining"
    UNHEALTHY = "unhealthy"
    UNREADABLE = "unreadable"


class BackendState(enum.Enum):
    """The state of a backend server as judged by its agent."""

    HEALTHY = "healthy"
    DRAINING = "draining"
    FAILED = "failed"


class BackendHealth:
    """Judges a backend server by its requests first and by its health page second.

    Health pages lag and mislead, so a single page proves nothing. Unhealthy and unreadable pages
    are ignored while requests are answered. Consecutive failed requests prove a failure whatever
    the page says. Only the page can request draining, so two draining pages in a row start it, and
    two equal readable pages of another kind in a row end it.
    """

    def __init__(self) -> None:
        self._state = BackendState.HEALTHY
        self._last_page: HealthPage | None = None
        self._last_page_at = -math.inf
        self._repeated_pages = 0
        self._bad_pages = 0
        self._draining = False
        self._last_answer_at = -math.inf
        self._failures = 0

    @property
    def state(self) -> BackendState:
        """Return the state of the backend server."""
        return self._state

    def page(self, page: HealthPage, now: float) -> BackendState:
        """Record one reading of the health page and return the resulting state."""
        repeated = page is self._last_page and now - self._last_page_at <= PAGE_STALE_SECONDS
        self._repeated_pages = self._repeated_pages + 1 if repeated else 1
        self._last_page = page
        self._last_page_at = now
        bad = page in (HealthPage.UNHEALTHY, HealthPage.UNREADABLE)
        self._bad_pages = self._bad_pages + 1 if bad else 0
        if self._repeated_pages >= DRAINING_PAGES and page is not HealthPage.UNREADABLE:
            self._draining = page is HealthPage.DRAINING
        if page is HealthPage.HEALTHY and now - self._last_answer_at > EVIDENCE_SECONDS:
            self._failures = min(self._failures, FAILED_REQUESTS - 1)
        return self._update_state(now)

    def answered(self, now: float) -> BackendState:
        """Record that the backend server answered a request and return the resulting state."""
        self._last_answer_at = now
        self._failures = 0
        return self._update_state(now)

    def failed(self, now: float) -> BackendState:
        """Record a refused or broken connection or a silent request; return the resulting state."""
        self._failures += 1
        return self._update_state(now)

    def _update_state(self, now: float) -> BackendState:
        answered_recently = now - self._last_answer_at <= EVIDENCE_SECONDS
        if self._failures >= FAILED_REQUESTS:
            self._state = BackendState.FAILED
        elif self._draining:
            self._state = BackendState.DRAINING
        elif self._bad_pages >= BAD_PAGES and not answered_recently:
            self._state = BackendState.FAILED
        else:
            self._state = BackendState.HEALTHY
        return self._state
