"""Timers and clock readings for one process with one event loop.

Other parts never read a clock. They read `now` from the timer service, subscribe to a repeated or
a single call, and may subscribe to clock jumps: gaps between two readings that are longer than a
running process can explain (`CLOCK_JUMP_SECONDS`), for example because it was paused.
"""

from __future__ import annotations

import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import trio

MAXIMUM_STEP_SECONDS = 0.25
CLOCK_JUMP_SECONDS = 1.0
NANOSECONDS_PER_MILLISECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1000

ArgumentT = TypeVar("ArgumentT")


@dataclass(frozen=True, slots=True)
class ClockJump:
    """A gap between two clock readings, caused by a scheduling pause of this process.

    Attributes:
        before: the last reading before the gap, in seconds.
        after: the first reading after the gap, in seconds.
    """

    before: float
    after: float

    @property
    def seconds(self) -> float:
        """Return the length of the gap in seconds."""
        return self.after - self.before


@dataclass(slots=True, eq=False)
class Subscription:
    """A scheduled call, single or repeated; cancel it to stop further calls."""

    callback: Callable[[float], None]
    interval: float | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Stop all further calls."""
        self.cancelled = True


class TimerService(ABC):
    """Clock in seconds that calls subscribers at their deadlines."""

    def __init__(self) -> None:
        self._queue: list[tuple[float, int, Subscription]] = []
        self._order = itertools.count()
        self._jump_subscribers: list[Callable[[ClockJump], None]] = []
        self._last_reading: float | None = None
        self._on_failure: Callable[[Exception], None] | None = None

    @property
    def now(self) -> float:
        """Return the time in seconds since an arbitrary start.

        A reading that finds a jump calls the jump subscribers before it returns, so that no part
        uses the new time together with state from before the jump.
        """
        reading = self._read_clock()
        before = self._last_reading
        self._last_reading = reading
        if before is not None and reading - before > CLOCK_JUMP_SECONDS:
            jump = ClockJump(before, reading)
            for subscriber in self._jump_subscribers:
                self._call(subscriber, jump)
        return reading

    @property
    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a subscription, or None."""
        while self._queue and self._queue[0][2].cancelled:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    @property
    @abstractmethod
    def epoch_milliseconds(self) -> int:
        """Return the milliseconds since 1970; use them only to order the runs of processes."""

    def contain_failures(self, on_failure: Callable[[Exception], None]) -> None:
        """Pass unexpected exceptions of subscribers to `on_failure` instead of raising them.

        A subscriber that fails stays subscribed, and the others are called. Without this, `now`,
        `fire_due` and `run` raise the first exception of a subscriber.
        """
        self._on_failure = on_failure

    def subscribe(self, interval: float, callback: Callable[[float], None]) -> Subscription:
        """Call `callback(now)` every `interval` seconds, first after one interval."""
        subscription = Subscription(callback, interval)
        self._push(self.now + interval, subscription)
        return subscription

    def call_at(self, when: float, callback: Callable[[float], None]) -> Subscription:
        """Call `callback(now)` once, at `when` or as soon as possible after it."""
        subscription = Subscription(callback)
        self._push(when, subscription)
        return subscription

    def call_later(self, delay: float, callback: Callable[[float], None]) -> Subscription:
        """Call `callback(now)` once, `delay` seconds from now."""
        return self.call_at(self.now + delay, callback)

    def subscribe_jumps(self, callback: Callable[[ClockJump], None]) -> None:
        """Call `callback(jump)` whenever a reading finds a clock jump."""
        self._jump_subscribers.append(callback)

    def fire_due(self) -> int:
        """Call every subscriber whose deadline has passed and return the number of calls."""
        now = self.now
        fired = 0
        due: list[tuple[float, Subscription]] = []
        while self._queue and self._queue[0][0] <= now:
            when, _, subscription = heapq.heappop(self._queue)
            if not subscription.cancelled:
                due.append((when, subscription))
        for when, subscription in due:
            if subscription.cancelled:
                continue
            if subscription.interval is not None:
                self._push(max(when + subscription.interval, now), subscription)
            self._call(subscription.callback, now)
            fired += 1
        return fired

    @abstractmethod
    def _read_clock(self) -> float:
        """Return the current reading in seconds."""

    def _call(self, callback: Callable[[ArgumentT], None], argument: ArgumentT) -> None:
        try:
            callback(argument)
        except Exception as error:
            if self._on_failure is None:
                raise
            self._on_failure(error)

    def _push(self, when: float, subscription: Subscription) -> None:
        heapq.heappush(self._queue, (when, next(self._order), subscription))


class TrioTimerService(TimerService):
    """Timer service that uses the clock of the VM and a trio task."""

    def __init__(self) -> None:
        super().__init__()
        self._queue_changed = trio.Event()

    @property
    def epoch_milliseconds(self) -> int:
        """Return the milliseconds since 1970 by the clock of the VM."""
        return time.time_ns() // NANOSECONDS_PER_MILLISECOND

    async def run(self) -> None:
        """Call subscribers until cancelled; to be run once in a process."""
        while True:
            self._queue_changed = trio.Event()
            deadline = self.next_deadline
            delay = MAXIMUM_STEP_SECONDS
            if deadline is not None:
                delay = min(max(deadline - self.now, 0.0), MAXIMUM_STEP_SECONDS)
            with trio.move_on_after(delay):
                await self._queue_changed.wait()
            self.fire_due()
            await trio.lowlevel.checkpoint()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""
        done = trio.Event()
        subscription = self.call_later(seconds, lambda _: done.set())
        try:
            await done.wait()
        finally:
            subscription.cancel()

    def _read_clock(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def _push(self, when: float, subscription: Subscription) -> None:
        super()._push(when, subscription)
        if self._queue[0][2] is subscription:
            self._queue_changed.set()


class VirtualTimerService(TimerService):
    """Timer service whose time is advanced explicitly, for tests and measurements."""

    def __init__(self, start: float = 0.0) -> None:
        super().__init__()
        self._time = start

    @property
    def epoch_milliseconds(self) -> int:
        """Return the virtual time in milliseconds."""
        return int(self._time * MILLISECONDS_PER_SECOND)

    def advance(self, seconds: float) -> None:
        """Advance the time and call each subscriber at its deadline."""
        end = self._time + seconds
        while (deadline := self.next_deadline) is not None and deadline <= end:
            while deadline - self._time > MAXIMUM_STEP_SECONDS:
                self._time += MAXIMUM_STEP_SECONDS
                self.fire_due()
            self._time = max(self._time, deadline)
            self.fire_due()
        while end - self._time > MAXIMUM_STEP_SECONDS:
            self._time += MAXIMUM_STEP_SECONDS
            self.fire_due()
        self._time = end
        self.fire_due()

    def pause(self, seconds: float) -> None:
        """Advance the time without calling subscribers, as in a scheduling pause."""
        self._time += seconds

    def _read_clock(self) -> float:
        return self._time
