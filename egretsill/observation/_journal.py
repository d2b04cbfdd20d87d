"""Rate-limited log lines for decisions, which never block packet processing.

Lines are kept in memory and written in batches by a separate task. Lines over the budget of their
kind are counted, and the count is reported with the next line of that kind.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ._log_values import LogValue, printable

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
        self._reported_losses = 0

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

    def flush(self, dropped: Callable[[], int] = lambda: 0) -> None:
        """Pass the waiting lines to eliot, after a line about those that were lost, if any.

        Args:
            dropped: returns how many lines the output has dropped since the start.
        """
        import eliot  # Imported lazily: it takes 0.1 s, too long for process start.

        self._report_losses(eliot.log_message, dropped)
        while self._waiting:
            line = self._waiting.popleft()
            try:
                fields = {name: printable(value) for name, value in line.fields.items()}
                eliot.log_message(
                    **{
                        **fields,
                        "message_type": f"egretsill:{line.kind}",
                        "process": self._process,
                        "at": round(line.at, 3),
                    }
                )
            except Exception:  # It costs this line only.
                self._lost_lines += 1

    def _report_losses(self, log_message: Callable[..., None], dropped: Callable[[], int]) -> None:
        lost, before = self._lost_lines, dropped()
        lines = lost + before - self._reported_losses
        if lines <= 0:
            return
        log_message(message_type="egretsill:log-lost", process=self._process, lines=lines)
        after = dropped()
        if after == before:
            self._reported_losses = lost + before
        else:
            # The report was dropped itself; it doesn't count as one of the lines.
            self._reported_losses += after - before


class NonBlockingStream:
    """A file-like object that drops lines instead of waiting for a slow reader or raising errors.

    Args:
        descriptor: file descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped = 0
        self._is_line_cut = False
        try:
            os.set_blocking(descriptor, False)
            self._is_usable = True
        except OSError:
            # The descriptor is closed; another file may get its number later.
            self._is_usable = False

    @property
    def dropped(self) -> int:
        """Return how many writes were dropped or truncated."""
        return self._dropped

    def write(self, data: bytes) -> int:
        """Write as much of a line as possible without blocking and drop the rest."""
        if not data:
            return 0
        # The next line after a truncated one begins on a line of its own.
        separator = b"\n" if self._is_line_cut else b""
        written = self._write(separator + data)
        is_truncated = written < len(separator) + len(data)
        self._dropped += is_truncated
        if written:
            self._is_line_cut = is_truncated and written > len(separator)
        return len(data) if written else 0

    def flush(self) -> None:
        """Do nothing: writes are not buffered."""

    def _write(self, data: bytes) -> int:
        if not self._is_usable:
            return 0
        try:
            return os.write(self._descriptor, data)
        except OSError:
            return 0


def log_to_standard_output() -> NonBlockingStream:
    """Send eliot's lines to standard output without blocking on it, and return the stream."""
    import eliot

    stream = NonBlockingStream(1)
    eliot.to_file(stream)
    return stream
