"""Log lines for decisions, at a bounded rate and never in the way of packets.

Lines are kept in memory and written in batches by a task of their own; what doesn't fit into a
kind's budget is counted and told with the kind's next line.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ._logging import LogValue

LINES_A_SECOND = 5.0  # of one kind, in the long run; a process has some 20 kinds
BURST_LINES = 40.0  # of one kind at once
MAXIMUM_WAITING = 2_000  # lines before they are written, some 1 MB


@dataclass(slots=True)
class _Budget:
    lines: float
    filled_at: float
    omitted: int = 0


@dataclass(frozen=True, slots=True)
class _Line:
    kind: str
    at: float
    fields: Mapping[str, LogValue]


class Journal:
    """Takes decisions and writes them as JSON lines by eliot.

    Args:
        process: name of this process, on every line.
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
        self._lost = 0

    @property
    def waiting(self) -> int:
        """Return how many lines are not written yet."""
        return len(self._waiting)

    def allows(self, kind: str) -> bool:
        """Return whether a line of this kind fits its budget now, or count it as omitted.

        Ask before building the fields of a line that may come with every packet.
        """
        now = self._now()
        budget = self._budgets.get(kind)
        if budget is None:
            budget = self._budgets[kind] = _Budget(BURST_LINES, now)
        refill = max(now - budget.filled_at, 0.0) * LINES_A_SECOND
        budget.lines = min(budget.lines + refill, BURST_LINES)
        budget.filled_at = now
        if budget.lines < 1.0:
            budget.omitted += 1
            return False
        budget.lines -= 1.0
        return True

    def record(self, kind: str, **fields: LogValue) -> None:
        """Write a line if its kind's budget allows it."""
        if self.allows(kind):
            self.write(kind, fields)

    def write(self, kind: str, fields: Mapping[str, LogValue]) -> None:
        """Write a line for which `allows` was asked."""
        budget = self._budgets.get(kind)
        if budget is not None and budget.omitted:
            fields = {**fields, "omitted": budget.omitted}
            budget.omitted = 0
        if len(self._waiting) >= MAXIMUM_WAITING:
            self._waiting.popleft()
            self._lost += 1
        self._waiting.append(_Line(kind, self._wall_seconds(), fields))

    def flush(self) -> None:
        """Hand the waiting lines to eliot."""
        import eliot  # Loaded with the first lines: it takes 0.1 s that a start doesn't have.

        if self._lost:
            eliot.log_message(
                message_type="egretsill:log-lost", process=self._process, lines=self._lost
            )
            self._lost = 0
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
        descriptor: where to write; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return how many writes were not taken whole."""
        return self._dropped

    def write(self, data: bytes) -> int:
        """Write what the reader takes now."""
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
        """Do nothing: every write is at once."""


def open_standard_output() -> None:
    """Send eliot's lines to standard output without ever waiting for it."""
    import eliot

    eliot.to_file(NonBlockingStream(1))
