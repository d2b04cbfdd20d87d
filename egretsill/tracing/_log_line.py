"""Parser for the log lines of processes that steer by address."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

KIND_PREFIX = "egretsill:"

_ADDRESS = r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}"
_FLOW_NAME = re.compile(rf"({_ADDRESS})(?:>({_ADDRESS}))?")
_STANDARD_FIELDS = frozenset(
    {"process", "at", "message_type", "timestamp", "task_uuid", "task_level"}
)


class MalformedFlowName(ValueError):
    """A text is not the name of a flow.

    Attributes:
        text: the text.
    """

    def __init__(self, text: str) -> None:
        super().__init__(f"CALLER:PORT or CALLER:PORT>SERVICE:PORT is expected, not {text!r}")
        self.text = text


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
        process: name of the process that wrote it.
        at: time of the decision, in seconds since 1970 by the clock of its VM.
        kind: kind of the line, such as `flow-refused`.
        fields: its other fields.
    """

    process: str
    at: float
    kind: str
    fields: Mapping[str, object]

    @property
    def flow(self) -> str:
        """Return the name of the flow that it is about, or an empty string."""
        return str(self.fields.get("flow", ""))

    @property
    def omitted(self) -> int:
        """Return the number of lines of its kind that were omitted before it."""
        count = self.fields.get("omitted", 0)
        return count if isinstance(count, int) else 0

    def text(self, name: str) -> str:
        """Return a field as text, or an empty string if the line doesn't have it."""
        return str(self.fields.get(name, ""))


@dataclass(frozen=True, slots=True)
class LogLines:
    """Result of reading log lines.

    Attributes:
        lines: parsed lines in input order.
        passed_over: number of non-empty texts that are not log lines of egretsill.
    """

    lines: tuple[LogLine, ...]
    passed_over: int


def parse_flow_name(text: str) -> str:
    """Return the name of a flow or the address of a caller, without surrounding whitespace.

    Raises:
        MalformedFlowName: if the text is neither of them.
    """
    if _FLOW_NAME.fullmatch(text.strip()) is None:
        raise MalformedFlowName(text)
    return text.strip()


def read_log_lines(texts: Iterable[str]) -> LogLines:
    """Parse log lines, ignoring prefixes that log collectors add before the JSON text."""
    lines: list[LogLine] = []
    passed_over = 0
    for text in texts:
        line = _parse_line(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            passed_over += 1
    return LogLines(tuple(lines), passed_over)


def _parse_line(text: str) -> LogLine | None:
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
    fields = {name: value for name, value in content.items() if name not in _STANDARD_FIELDS}
    return LogLine(process, float(at), kind.removeprefix(KIND_PREFIX), fields)
