"""A reusable signal between tasks."""

from __future__ import annotations

import trio


class Wakeup:
    """Wakes the waiting task, or the next one to wait."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        """Wake the waiting task, or let the next wait return at once."""
        self._event.set()

    async def wait(self) -> None:
        """Wait for `set`; one task at a time."""
        await self._event.wait()
        self._event = trio.Event()
