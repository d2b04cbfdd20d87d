"""When a link is pinged, and when it counts as lost.

A request that holds a slot is attended closely. An idle link or a quiet subscription is pinged so
seldom that all links together stay within a bound on control traffic; a lost link to the same gate
has the others pinged at once.

The longest time between pings stays below the time for which a gate remembers an ended request.
"""

from __future__ import annotations

from collections.abc import Callable

from ..timing import Subscription, TimerService
from ._silence import SLEPT_SECONDS

CLOSE_PING_SECONDS = 2.0
ANSWER_SECONDS = 4.0
SHORTEST_QUIET_SECONDS = 10.0
LONGEST_QUIET_SECONDS = 45.0
PING_BYTES = 170
PING_BYTES_PER_SECOND = 2_000
REPEAT_SECONDS = 1.0


def quiet_ping_seconds(links: int) -> float:
    """Return the time between the pings of each quiet link when there are so many."""
    wanted = links * PING_BYTES / PING_BYTES_PER_SECOND
    return min(max(wanted, SHORTEST_QUIET_SECONDS), LONGEST_QUIET_SECONDS)


class PingSchedule:
    """The pings of one link.

    Args:
        timer: the timer service.
        send: sends a Ping that promises the next one within so many seconds.
        lose: is called when a Ping was not answered in time.
        quiet_seconds: returns the time between pings of a quiet link.
    """

    def __init__(
        self,
        timer: TimerService,
        send: Callable[[float], None],
        lose: Callable[[], None],
        quiet_seconds: Callable[[], float],
    ) -> None:
        self._timer = timer
        self._send = send
        self._lose = lose
        self._quiet_seconds = quiet_seconds
        self._closely = True
        self._sent_at = 0.0
        self._due = 0.0
        self._unanswered_at: float | None = None
        self._wake_at = 0.0
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Send the first Ping."""
        self._ping(self._timer.now)

    def heard(self) -> None:
        """Note that anything came from the gate."""
        self._unanswered_at = None

    def attend(self, closely: bool) -> None:
        """Ping often from now on, or seldom after the next Ping."""
        self._closely = closely
        if closely:
            self._due = min(self._due, self._timer.now + CLOSE_PING_SECONDS)
            self._arm()

    def ping_now(self) -> None:
        """Ping at once, unless that was done just before."""
        now = self._timer.now
        if self._unanswered_at is None and now - self._sent_at >= REPEAT_SECONDS:
            self._ping(now)

    def close(self) -> None:
        """End the schedule."""
        if self._subscription is not None:
            self._subscription.cancel()

    def _ping(self, now: float) -> None:
        interval = CLOSE_PING_SECONDS if self._closely else self._quiet_seconds()
        self._sent_at = now
        self._unanswered_at = now
        self._due = now + interval
        self._send(interval)
        self._arm()

    def _arm(self) -> None:
        self.close()
        self._wake_at = self._due
        if self._unanswered_at is not None:
            lost_at = self._unanswered_at + ANSWER_SECONDS
            self._wake_at = min(self._due, lost_at) if self._due > self._timer.now else lost_at
        self._subscription = self._timer.call_at(self._wake_at, self._wake)

    def _wake(self, now: float) -> None:
        if self._unanswered_at is not None and now - self._wake_at >= SLEPT_SECONDS:
            # This process slept, so the answer may be there unread.
            self._unanswered_at = now
        if self._unanswered_at is not None and now - self._unanswered_at >= ANSWER_SECONDS:
            self._lose()
        elif self._unanswered_at is None and now >= self._due:
            self._ping(now)
        else:
            self._arm()
