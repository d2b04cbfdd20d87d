"""Log lines as JSON by eliot, one for each change of state and none for anything else."""

from __future__ import annotations

import enum
import sys
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO, TypeAlias

from ._exceptions import LogFileUnavailable

MAXIMUM_SUBJECTS = 20_000

LogValue: TypeAlias = str | int | float | bool | None


class StateKind(enum.Enum):
    """What changed its state.

    Attributes:
        meaning: what a line of this kind says.
        action: what an operator does about it.
    """

    PROCESS = (
        "process",
        "This process started, is ready, drains or stops.",
        "Nothing, if somebody meant it.",
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
        "The platform answered this process or a peer lately, or nobody for a while.",
        "If it is unreachable from everywhere, look at the platform; flows go on without it.",
    )
    MEMBER = (
        "member",
        "Another process became alive, suspect, leaving or dead in this process's view.",
        "For a death that nobody planned, look at the VM; for many at once, at the network.",
    )
    VIEW = (
        "view",
        "This process's view of the others became fresh or stale.",
        "Stale follows a pause of the VM; if it stays stale, nobody is reachable.",
    )
    BACKEND = (
        "backend",
        "The backend server beside this agent became healthy, cold, shedding or down.",
        "Look at the backend server.",
    )
    TARGET = (
        "target",
        "A target began or ended draining.",
        "Nothing, if somebody meant it.",
    )
    KEYS = (
        "keys",
        "The connection-ID keys or the certificate changed.",
        "Nothing, if they were rotated.",
    )

    def __init__(self, label: str, meaning: str, action: str) -> None:
        self.label = label
        self.meaning = meaning
        self.action = action


@dataclass(frozen=True, slots=True)
class StateChange:
    """One change of state.

    Attributes:
        kind: what changed.
        subject: which one of its kind, such as a member's name.
        state: the state that it is in now.
        details: more about the change.
    """

    kind: StateKind
    subject: str
    state: str | int
    details: Mapping[str, LogValue] = field(default_factory=dict)


class StateLog:
    """Writes a line when a subject's state differs from its last one.

    Args:
        process: name of this process, on every line.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._states: OrderedDict[tuple[StateKind, str], str | int] = OrderedDict()

    def record(self, change: StateChange) -> bool:
        """Write the change, and return whether it was one."""
        key = (change.kind, change.subject)
        before = self._states.get(key)
        if before == change.state:
            return False
        self._states[key] = change.state
        self._states.move_to_end(key)
        if len(self._states) > MAXIMUM_SUBJECTS:
            self._states.popitem(last=False)
        import eliot  # Loaded with the first line: a process that logs elsewhere needs none.

        eliot.log_message(
            message_type=f"egretsill:{change.kind.label}",
            process=self._process,
            subject=change.subject,
            before=before,
            state=change.state,
            details=dict(change.details),
        )
        return True


def open_log(path: Path | None) -> TextIO:
    """Send log lines to the end of a file, or to standard error if `path` is None.

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
