"""What a backend server's health page is worth beside what its requests show."""

from __future__ import annotations

import enum
import math

BAD_PAGES = 3
DRAINING_PAGES = 2
EVIDENCE_SECONDS = 10.0
FAILED_REQUESTS = 3
PAGE_STALE_SECONDS = 15.0


class HealthPage(enum.Enum):
    """What one reading of the health page said."""

    HEALTHY = "healthy"
    DRAINING = "draining"
    UNHEALTHY = "unhealthy"
    UNREADABLE = "unreadable"


class BackendState(enum.Enum):
    """What the agent takes the backend server to be."""

    HEALTHY = "healthy"
    DRAINING = "draining"
    FAILED = "failed"


class BackendHealth:
    """Judges a backend server by its requests first and by its health page second.

    Pages lag and mislead, so one page proves nothing. A page that says unhealthy, or can't be read,
    counts for nothing while requests are answered. Requests that fail in a row prove a failure
    whatever the page says. Only the page can tell of a wish to drain, so two such readings in a row
    are believed, and two of another kind that can be read withdraw it.
    """

    def __init__(self) -> None:
        self._state = BackendState.HEALTHY
        self._last_page: HealthPage | None = None
        self._last_page_at = -math.inf
        self._same_pages = 0
        self._bad_pages = 0
        self._draining = False
        self._answered_at = -math.inf
        self._failures = 0

    @property
    def state(self) -> BackendState:
        """Return what the backend server is taken to be."""
        return self._state

    def page(self, page: HealthPage, now: float) -> BackendState:
        """Take in one reading of the health page."""
        repeated = page is self._last_page and now - self._last_page_at <= PAGE_STALE_SECONDS
        self._same_pages = self._same_pages + 1 if repeated else 1
        self._last_page = page
        self._last_page_at = now
        bad = page in (HealthPage.UNHEALTHY, HealthPage.UNREADABLE)
        self._bad_pages = self._bad_pages + 1 if bad else 0
        if self._same_pages >= DRAINING_PAGES and page is not HealthPage.UNREADABLE:
            self._draining = page is HealthPage.DRAINING
        if page is HealthPage.HEALTHY and now - self._answered_at > EVIDENCE_SECONDS:
            self._failures = min(self._failures, FAILED_REQUESTS - 1)
        return self._judge(now)

    def answered(self, now: float) -> BackendState:
        """Take in that the backend server answered a request."""
        self._answered_at = now
        self._failures = 0
        return self._judge(now)

    def failed(self, now: float) -> BackendState:
        """Take in that it refused a connection, broke one or let a request go silent."""
        self._failures += 1
        return self._judge(now)

    def _judge(self, now: float) -> BackendState:
        lately = now - self._answered_at <= EVIDENCE_SECONDS
        if self._failures >= FAILED_REQUESTS:
            self._state = BackendState.FAILED
        elif self._draining:
            self._state = BackendState.DRAINING
        elif self._bad_pages >= BAD_PAGES and not lately:
            self._state = BackendState.FAILED
        else:
            self._state = BackendState.HEALTHY
        return self._state
