"""The task that writes the journal's lines."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TypeAlias

import trio

from ..observation import Journal, NonBlockingStream
from ..supervision import Part, Supervisor

LOG_SECONDS = 0.25  # longest time until a line is written
LOG_START_SECONDS = (2.0, 6.0)  # when the log library is loaded, spread over the fleet

OpenLog: TypeAlias = Callable[[], NonBlockingStream | None]


class LogWriter:
    """Writes the journal's lines in batches.

    Args:
        open_log: called once before the first lines are written, and again if it fails; returns
            the stream that they are written to, if it may drop some.
        random: spreads the start of the first write.
    """

    def __init__(
        self,
        journal: Journal,
        open_log: OpenLog,
        random: Random,
        supervisor: Supervisor,
    ) -> None:
        self._journal = journal
        self._open_log = open_log
        self._random = random
        self._supervisor = supervisor
        self._is_open = False
        self._stream: NonBlockingStream | None = None

    async def run(self) -> None:
        """Write lines until cancelled."""
        await trio.sleep(self._random.uniform(*LOG_START_SECONDS))
        while True:
            self.flush()
            await trio.sleep(LOG_SECONDS)

    def flush(self) -> None:
        """Write the waiting lines; a failure leaves them for the next time."""
        with self._supervisor.contain(Part.LOG):
            if not self._is_open:
                self._stream = self._open_log()
                self._is_open = True
            self._journal.flush(self._dropped_lines)

    def _dropped_lines(self) -> int:
        return self._stream.dropped if self._stream is not None else 0
