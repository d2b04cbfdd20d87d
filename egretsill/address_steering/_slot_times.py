"""Time in which each request has a slot of the target, without the wait for one.

A target works on as many requests at once as it has slots, in the order in which they reach it. A
request's work therefore begins when it arrives, or with the answer before it that frees a slot.
What a request takes after that is its work at this target; what came before is the queue.

A request may hold no slot though it came first, since its caller has sent only a part of it. It is
found out when a request is answered that seemed to wait behind it.
"""

from __future__ import annotations

from itertools import islice
from typing import Generic, TypeVar

Request = TypeVar("Request")


class SlotTimes(Generic[Request]):
    """When the requests at one target got a slot."""

    def __init__(self) -> None:
        self._started: dict[Request, float] = {}
        self._waiting: dict[Request, float] = {}
        self._freed_at = float("-inf")

    @property
    def started(self) -> dict[Request, float]:
        """Return the requests that have a slot, the earliest first, and since when."""
        return self._started

    @property
    def waiting(self) -> dict[Request, float]:
        """Return the requests at the target that wait for a slot, and since when."""
        return self._waiting

    def is_full(self, slots: int) -> bool:
        """Return whether a further request would wait for one of some slots."""
        return len(self._started) >= slots

    def begin(self, request: Request, slots: int, now: float) -> None:
        """Record that a request was delivered.

        Args:
            request: the request.
            slots: number of requests that the target works on at once; 0 if unknown.
            now: local time.
        """
        if not slots or not self.is_full(slots):
            self._started[request] = now
        else:
            self._waiting[request] = now

    def end(self, request: Request, slots: int, now: float) -> float | None:
        """Record that a request was answered or has ended; return for how long it had a slot.

        None if that isn't known, as it was overtaken.

        Args:
            request: the request.
            slots: number of requests that the target works on at once; 0 if unknown.
            now: local time.
        """
        started_at = self._started.pop(request, None)
        if started_at is None:
            arrived_at = self._waiting.pop(request, None)
            if arrived_at is None:
                return None
            started_at = max(arrived_at, self._freed_at)
            self._started.pop(next(iter(self._started)), None)
        self._freed_at = now
        free = slots - len(self._started) if slots else len(self._waiting)
        for each in tuple(islice(self._waiting, max(free, 0))):
            del self._waiting[each]
            self._started[each] = now
        return now - started_at
