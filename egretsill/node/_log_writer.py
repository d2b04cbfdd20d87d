"""The task that writes the journal's lines."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import trio

from ..observation import Journal
from ..supervision import Part, Supervisor

LOG_SECONDS = 0.25  # longest time until a line is written
LOG_START_SECONDS = (2.0, 6.0)  # when the log library is loaded, spread over the fleet


class LogWriter:
    """Writes the journal's lines in batches.

    Args:
        open_log: called once before the first lines are written, and again if it fails.
        random: spreads the start of the first write.
    """

    def __init__(
        self,
        journal: Journal,
        open_log: Callable[[], None],
        random: Random,
        supervisor: Supervisor,
    ) -> None:
        self._journal = journal
        self._open_log = open_log
        self._random = random
        self._supervisor = supervisor
        self._is_open = False

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
                self._open_log()
                self._is_open = True
            self._journal.flush()
