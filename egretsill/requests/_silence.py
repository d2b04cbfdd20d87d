"""Timeouts on the timer service."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from ..timing import Subscription, TimerService

SCHEDULING_PAUSE_SECONDS = 1.0


@contextmanager
def bounded(timer: TimerService, seconds: float | None) -> Iterator[trio.CancelScope]:
    """Cancel the block after `seconds`; the scope shows whether that happened."""
    with trio.CancelScope() as scope:
        subscription: Subscription | None = None
        if seconds is not None:
            subscription = timer.call_later(max(seconds, 0.0), lambda _: scope.cancel())
        try:
            yield scope
        finally:
            if subscription is not None:
                subscription.cancel()


class SilenceWatch:
    """Cancels a scope when a peer that must send next has been silent for too long.

    Time spent waiting for something other than the peer does not count: `hold` suspends the watch
    and `release` restarts it. A scheduling pause of this process does not count either.

    Attributes:
        expired: whether the watch cancelled its scope.
    """

    def __init__(self, timer: TimerService, seconds: float | None, scope: trio.CancelScope) -> None:
        self.expired = False
        self._timer = timer
        self._seconds = seconds
        self._scope = scope
        self._holds = 0
        self._last = timer.now
        self._due = self._last
        self._subscription: Subscription | None = None
        if seconds is not None:
            self._arm(self._last + seconds)

    def touch(self) -> None:
        """Record activity of the peer."""
        self._last = self._timer.now

    def hold(self) -> None:
        """Suspend the watch while the peer need not send anything."""
        self._holds += 1

    def release(self) -> None:
        """Restart the watch."""
        self._holds -= 1
        self.touch()

    def change(self, seconds: float | None) -> None:
        """Restart the watch with another bound, or stop it with None."""
        self.close()
        self.touch()
        self._seconds = seconds
        if seconds is not None:
            self._arm(self._last + seconds)

    def close(self) -> None:
        """Stop the watch."""
        if self._subscription is not None:
            self._subscription.cancel()

    def _check(self, now: float) -> None:
        if self._seconds is None:
            return
        if self._holds or now - self._due >= SCHEDULING_PAUSE_SECONDS:
            # The peer was not being read, so its silence can't be judged.
            self._last = now
        if now - self._last >= self._seconds:
            self.expired = True
            self._scope.cancel()
            return
        self._arm(self._last + self._seconds)

    def _arm(self, due: float) -> None:
        self._due = due
        self._subscription = self._timer.call_at(due, self._check)
