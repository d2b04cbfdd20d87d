"""Time in which each request has a slot of the target, without the wait for one.

A target works on as many requests at once as it has slots, in the order in which they reach it. A
request's work therefore begins when it arrives, or with the answer before it that frees a slot.
What a request takes after that is its work at this target; what came before is the queue.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import Generic, TypeVar

Request = TypeVar("Request")


class SlotTimes(Generic[Request]):
    """When the requests at one target got a slot."""

    def __init__(self) -> None:
        self._started: dict[Request, float] = {}
        self._waiting: dict[Request, None] = {}

    @property
    def waiting(self) -> Iterator[Request]:
        """Return the requests at the target that wait for a slot."""
        return iter(self._waiting)

    @property
    def started(self) -> Iterator[tuple[Request, float]]:
        """Return the requests that have a slot, and since when."""
        return iter(self._started.items())

    def begin(self, request: Request, slots: int, now: float) -> None:
        """Record that a request was delivered.

        Args:
            request: the request.
            slots: number of requests that the target works on at once; 0 if unknown.
            now: local time.
        """
        if not slots or len(self._started) < slots:
            self._started[request] = now
        else:
            self._waiting[request] = None

    def end(self, request: Request, slots: int, now: float) -> float | None:
        """Record that a request was answered or has ended.

        Returns:
            Seconds for which it had a slot; None if it seemed to wait still, since the target's
            order then was another.
        """
        started_at = self._started.pop(request, None)
        if started_at is None:
            self._waiting.pop(request, None)
            return None
        free = max(slots - len(self._started), 0) if slots else len(self._waiting)
        for each in tuple(islice(self._waiting, free)):
            del self._waiting[each]
            self._started[each] = now
        return now - started_at
