"""Scheduler of calls in virtual time for everything emulated outside the processes."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

import trio


class Scheduler:
    """Calls functions in the order of their due time, then of scheduling."""

    def __init__(self) -> None:
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._wake = trio.Event()

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return trio.current_time()

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        """Call a function at a point in time, or as soon as possible if it has passed."""
        heapq.heappush(self._queue, (when, next(self._order), call))
        if self._queue[0][2] is call:
            self._wake.set()

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Call a function after a number of seconds."""
        self.call_at(self.now + delay, call)

    async def run(self) -> None:
        """Run the due calls until cancelled."""
        while True:
            self._wake = trio.Event()
            deadline = self._queue[0][0] if self._queue else float("inf")
            if deadline > self.now:
                with trio.move_on_at(deadline):
                    await self._wake.wait()
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            await trio.lowlevel.checkpoint()
