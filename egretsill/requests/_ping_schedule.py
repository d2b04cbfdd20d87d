"""Schedule of the Pings of a link, and detection of its loss.

A link is pinged often while its request holds a slot. An idle link or a subscription's link is
pinged less often, so that all links together stay within a bound on control traffic. When a link to
a gate is lost, the other links to that gate are pinged at once.

The longest ping interval is shorter than the time for which a gate remembers an ended request.
"""

from __future__ import annotations

from collections.abc import Callable

from ..timing import Subscription, TimerService
from ._silence import SCHEDULING_PAUSE_SECONDS

ACTIVE_PING_SECONDS = 2.0
ANSWER_SECONDS = 4.0
MINIMUM_IDLE_PING_SECONDS = 10.0
MAXIMUM_IDLE_PING_SECONDS = 45.0
PING_BYTES = 170
PING_BYTES_PER_SECOND = 2_000
REPEAT_SECONDS = 1.0


def idle_ping_interval(links: int) -> float:
    """Return the ping interval of each idle link for a number of links."""
    wanted = links * PING_BYTES / PING_BYTES_PER_SECOND
    return min(max(wanted, MINIMUM_IDLE_PING_SECONDS), MAXIMUM_IDLE_PING_SECONDS)


class PingSchedule:
    """Sends the Pings of one link and detects missing answers.

    Args:
        timer: the timer service.
        send: sends a Ping that announces the next one within the given number of seconds.
        on_timeout: called when a Ping was not answered in time.
        idle_ping_seconds: returns the ping interval of an idle link.
    """

    def __init__(
        self,
        timer: TimerService,
        send: Callable[[float], None],
        on_timeout: Callable[[], None],
        idle_ping_seconds: Callable[[], float],
    ) -> None:
        self._timer = timer
        self._send = send
        self._on_timeout = on_timeout
        self._idle_ping_seconds = idle_ping_seconds
        self._active = True
        self._sent_at = 0.0
        self._due = 0.0
        self._unanswered_since: float | None = None
        self._wake_at = 0.0
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Send the first Ping."""
        self._ping(self._timer.now)

    def heard(self) -> None:
        """Record that a message was received from the gate."""
        self._unanswered_since = None

    def set_active(self, active: bool) -> None:
        """Ping often from now on, or less often after the next Ping."""
        self._active = active
        if active:
            self._due = min(self._due, self._timer.now + ACTIVE_PING_SECONDS)
            self._arm()

    def ping_now(self) -> None:
        """Ping at once, unless a Ping was sent within `REPEAT_SECONDS` or is unanswered."""
        now = self._timer.now
        if self._unanswered_since is None and now - self._sent_at >= REPEAT_SECONDS:
            self._ping(now)

    def close(self) -> None:
        """Stop the schedule."""
        if self._subscription is not None:
            self._subscription.cancel()

    def _ping(self, now: float) -> None:
        interval = ACTIVE_PING_SECONDS if self._active else self._idle_ping_seconds()
        self._sent_at = now
        self._unanswered_since = now
        self._due = now + interval
        self._send(interval)
        self._arm()

    def _arm(self) -> None:
        self.close()
        self._wake_at = self._due
        if self._unanswered_since is not None:
            lost_at = self._unanswered_since + ANSWER_SECONDS
            self._wake_at = min(self._due, lost_at) if self._due > self._timer.now else lost_at
        self._subscription = self._timer.call_at(self._wake_at, self._wake)

    def _wake(self, now: float) -> None:
        if self._unanswered_since is not None and now - self._wake_at >= SCHEDULING_PAUSE_SECONDS:
            # After a scheduling pause of this process, the Pong may be waiting to be read.
            self._unanswered_since = now
        if self._unanswered_since is not None and now - self._unanswered_since >= ANSWER_SECONDS:
            self._on_timeout()
        elif self._unanswered_since is None and now >= self._due:
            self._ping(now)
        else:
            self._arm()
