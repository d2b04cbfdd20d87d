"""Connections of one part that are served side by side."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from ._parts import Part
from ._supervisor import Supervisor


class Connections:
    """Serves each connection up to a maximum; a failure costs its own connection only.

    Args:
        part: the part that failures are reported for.
        maximum: number of connections that are served at once.
        on_refused: called before a connection is closed unserved, as one too many.
    """

    def __init__(
        self,
        part: Part,
        maximum: int,
        supervisor: Supervisor,
        on_refused: Callable[[], None] = lambda: None,
    ) -> None:
        self._part = part
        self._maximum = maximum
        self._supervisor = supervisor
        self._on_refused = on_refused
        self._open_count = 0

    @property
    def open_count(self) -> int:
        """Return the number of connections that are being served."""
        return self._open_count

    async def serve(
        self, stream: trio.abc.AsyncResource, handle: Callable[[], Awaitable[None]]
    ) -> None:
        """Handle a connection, unless there are too many, and close it.

        Args:
            stream: the connection.
            handle: serves it until it ends.
        """
        if self._open_count >= self._maximum:
            self._on_refused()
            await trio.aclose_forcefully(stream)
            return
        self._open_count += 1
        try:
            with self._supervisor.contain(self._part):
                await handle()
        finally:
            self._open_count -= 1
            await trio.aclose_forcefully(stream)
