"""Log lines of processes that steer by address, read back."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

KIND_PREFIX = "egretsill:"

_ADDRESS = r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}"
_FLOW_NAME = re.compile(rf"({_ADDRESS})(?:>({_ADDRESS}))?")
_OWN_FIELDS = frozenset({"process", "at", "message_type", "timestamp", "task_uuid", "task_level"})


class MalformedFlowName(ValueError):
    """A text names no flow.

    Attributes:
        text: what was given.
    """

    def __init__(self, text: str) -> None:
        super().__init__(f"CALLER:PORT or CALLER:PORT>SERVICE:PORT is expected, not {text!r}")
        self.text = text


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line.

    Attributes:
        process: name of the process that wrote it.
        at: when it was decided, in seconds since 1970 by the clock of its VM.
        kind: what it tells, such as `flow-refused`.
        fields: the rest.
    """

    process: str
    at: float
    kind: str
    fields: Mapping[str, object]

    @property
    def flow(self) -> str:
        """Return the flow that it is about, empty if it is about none."""
        return str(self.fields.get("flow", ""))

    @property
    def omitted(self) -> int:
        """Return how many lines of its kind were left out before it."""
        count = self.fields.get("omitted", 0)
        return count if isinstance(count, int) else 0

    def text(self, name: str) -> str:
        """Return a field as text, empty if the line doesn't have it."""
        return str(self.fields.get(name, ""))


@dataclass(frozen=True, slots=True)
class LogLines:
    """What was read.

    Attributes:
        lines: in the order of reading.
        passed_over: how many texts were no log line of ours.
    """

    lines: tuple[LogLine, ...]
    passed_over: int


def parse_flow_name(text: str) -> str:
    """Return the name of a flow as log lines have it, or its caller's end alone.

    Raises:
        MalformedFlowName: if the text is neither.
    """
    if _FLOW_NAME.fullmatch(text.strip()) is None:
        raise MalformedFlowName(text)
    return text.strip()


def read_log_lines(texts: Iterable[str]) -> LogLines:
    """Read lines; what log collectors put before the JSON text is ignored."""
    lines: list[LogLine] = []
    passed_over = 0
    for text in texts:
        line = _parse(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            passed_over += 1
    return LogLines(tuple(lines), passed_over)


def _parse(text: str) -> LogLine | None:
    try:
        content = json.loads(text[text.index("{") :])
    except ValueError:
        return None
    if not isinstance(content, dict):
        return None
    process, at, kind = (content.get(name) for name in ("process", "at", "message_type"))
    if not isinstance(process, str) or not isinstance(at, int | float):
        return None
    if not isinstance(kind, str) or not kind.startswith(KIND_PREFIX):
        return None
    fields = {name: value for name, value in content.items() if name not in _OWN_FIELDS}
    return LogLine(process, float(at), kind.removeprefix(KIND_PREFIX), fields)
