"""JSON log lines written through eliot, only for changes of state."""

from __future__ import annotations

import enum
import sys
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

from ._exceptions import LogFileUnavailable
from ._log_values import LogValue, printable

MAXIMUM_SUBJECTS = 20_000


class StateKind(enum.Enum):
    """Kind of subject whose state changed.

    Attributes:
        meaning: what a line of this kind reports.
        action: what an operator should do about it.
    """

    PROCESS = (
        "process",
        "This process started, is ready, drains or stops.",
        "Nothing, if it was intended.",
    )
    CONFIGURATION = (
        "configuration",
        "Another revision is in force at this process.",
        "Nothing, if it was just published.",
    )
    CONFIGURATION_CONFLICT = (
        "configuration-conflict",
        "Two contents were seen under one revision number.",
        "Publish a new revision now; find who published twice under one number.",
    )
    PLATFORM = (
        "platform",
        "The platform answered this process or a peer recently, or none of them for a while.",
        "If it is unreachable from everywhere, check the platform; flows continue without it.",
    )
    MEMBER = (
        "member",
        "Another process became alive, suspect, leaving or dead in this process's view.",
        "If dead was not planned, check the VM; for many at once, check the network.",
    )
    VIEW = (
        "view",
        "This process's view of the others became fresh or stale.",
        "Stale follows a pause of the VM; if it stays stale, no other process is reachable.",
    )
    BACKEND = (
        "backend",
        "The backend server beside this agent became healthy, cold, shedding or down.",
        "Check the backend server.",
    )
    TARGET = (
        "target",
        "A target began or ended draining.",
        "Nothing, if it was intended.",
    )
    ENDPOINT = (
        "endpoint",
        "A TCP endpoint that this process can do without is unavailable, or open again.",
        "Find what holds the address; the endpoint is opened once it is free.",
    )
    KEYS = (
        "keys",
        "The connection-ID keys or the certificate changed.",
        "Nothing, if they were rotated.",
    )

    FAILURE = (
        "failure",
        "An unexpected exception ended one piece of work of a part; the process went on.",
        "Report it: it is a fault of egretsill. The state names the error and its location.",
    )

    def __init__(self, label: str, meaning: str, action: str) -> None:
        self.label = label
        self.meaning = meaning
        self.action = action


@dataclass(frozen=True, slots=True)
class StateChange:
    """One change of state.

    Attributes:
        kind: kind of the subject.
        subject: what changed, such as the name of a member.
        state: the new state.
        details: more about the change.
    """

    kind: StateKind
    subject: str
    state: str | int
    details: Mapping[str, LogValue] = field(default_factory=dict)


class StateLog:
    """Writes a log line when the state of a subject differs from the previous one.

    Args:
        process: name of this process, added to every line.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._states: OrderedDict[tuple[StateKind, str], str | int] = OrderedDict()

    def record(self, change: StateChange) -> bool:
        """Write a line if the state changed, and return whether it did."""
        key = (change.kind, change.subject)
        before = self._states.get(key)
        if before == change.state:
            return False
        self._states[key] = change.state
        self._states.move_to_end(key)
        if len(self._states) > MAXIMUM_SUBJECTS:
            self._states.popitem(last=False)
        import eliot  # Imported lazily: a process that logs elsewhere doesn't need it.

        eliot.log_message(
            message_type=f"egretsill:{change.kind.label}",
            process=self._process,
            subject=printable(change.subject),
            before=printable(before),
            state=printable(change.state),
            details={name: printable(value) for name, value in change.details.items()},
        )
        return True


def open_log(path: Path | None) -> TextIO:
    """Append log lines to a file, or write them to standard error if `path` is None.

    Raises:
        LogFileUnavailable: if the file can't be opened.
    """
    stream: TextIO = sys.stderr
    if path is not None:
        try:
            stream = path.open("a", buffering=1, encoding="utf-8")
        except OSError as error:
            raise LogFileUnavailable(str(path), error.strerror or type(error).__name__) from error
    import eliot

    eliot.to_file(stream)
    return stream
