"""Rate-limited log lines for decisions, which never block packet processing.

Lines are kept in memory and written in batches by a separate task. Lines over the budget of their
kind are counted, and the count is reported with the next line of that kind.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ._logging import LogValue

LINES_PER_SECOND = 5.0  # sustained rate of one kind; a process has about 20 kinds
BURST_LINES = 40.0  # burst of one kind
MAXIMUM_WAITING = 2_000  # lines not yet written, about 1 MB


@dataclass(slots=True)
class _Budget:
    lines: float
    refilled_at: float
    omitted: int = 0


@dataclass(frozen=True, slots=True)
class _Line:
    kind: str
    at: float
    fields: Mapping[str, LogValue]


class Journal:
    """Queues log lines about decisions and writes them as JSON through eliot.

    Args:
        process: name of this process, added to every line.
        now: returns the local time in seconds.
        wall_seconds: returns the seconds since 1970.
    """

    def __init__(
        self, process: str, now: Callable[[], float], wall_seconds: Callable[[], float]
    ) -> None:
        self._process = process
        self._now = now
        self._wall_seconds = wall_seconds
        self._budgets: dict[str, _Budget] = {}
        self._waiting: deque[_Line] = deque()
        self._lost_lines = 0

    @property
    def waiting(self) -> int:
        """Return the number of lines not written yet."""
        return len(self._waiting)

    def consume_budget(self, kind: str) -> bool:
        """Take one line from the budget of this kind and return True, or count it as omitted.

        Call this before building the fields of a line that may be logged for every packet.
        """
        now = self._now()
        budget = self._budgets.get(kind)
        if budget is None:
            budget = self._budgets[kind] = _Budget(BURST_LINES, now)
        refill = max(now - budget.refilled_at, 0.0) * LINES_PER_SECOND
        budget.lines = min(budget.lines + refill, BURST_LINES)
        budget.refilled_at = now
        if budget.lines < 1.0:
            budget.omitted += 1
            return False
        budget.lines -= 1.0
        return True

    def record(self, kind: str, **fields: LogValue) -> None:
        """Queue a line if the budget of its kind allows it."""
        if self.consume_budget(kind):
            self.write(kind, fields)

    def write(self, kind: str, fields: Mapping[str, LogValue], budget: str | None = None) -> None:
        """Queue a line for which `consume_budget` returned True.

        Args:
            kind: kind of the line.
            fields: what it says.
            budget: the name that `consume_budget` was called with, if it isn't the kind.
        """
        account = self._budgets.get(kind if budget is None else budget)
        if account is not None and account.omitted:
            fields = {**fields, "omitted": account.omitted}
            account.omitted = 0
        if len(self._waiting) >= MAXIMUM_WAITING:
            self._waiting.popleft()
            self._lost_lines += 1
        self._waiting.append(_Line(kind, self._wall_seconds(), fields))

    def flush(self) -> None:
        """Pass the waiting lines to eliot."""
        import eliot  # Imported lazily: it takes 0.1 s, too long for process start.

        if self._lost_lines:
            eliot.log_message(
                message_type="egretsill:log-lost", process=self._process, lines=self._lost_lines
            )
            self._lost_lines = 0
        while self._waiting:
            line = self._waiting.popleft()
            eliot.log_message(
                message_type=f"egretsill:{line.kind}",
                process=self._process,
                at=round(line.at, 3),
                **line.fields,
            )


class NonBlockingStream:
    """A file-like object that drops lines instead of waiting for a slow reader.

    Args:
        descriptor: file descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return how many writes were dropped or truncated."""
        return self._dropped

    def write(self, data: bytes) -> int:
        """Write as much as possible without blocking and drop the rest."""
        if not data:
            return 0
        try:
            written = os.write(self._descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            self._dropped += 1
            return 0
        self._dropped += written < len(data)
        return len(data)

    def flush(self) -> None:
        """Do nothing: writes are not buffered."""


def log_to_standard_output() -> None:
    """Send eliot's lines to standard output without blocking on it."""
    import eliot

    eliot.to_file(NonBlockingStream(1))
