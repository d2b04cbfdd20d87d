"""`egretsillctl trace`: shows what happened to a flow from the logs of all processes."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags
from ..tracing import (
    Conclusion,
    History,
    LogLine,
    MalformedFlowName,
    conclude,
    find_history,
    parse_flow_name,
    read_log_lines,
)

STANDARD_INPUT = "-"


@dataclass(frozen=True, slots=True)
class _Trace:
    history: History
    conclusion: Conclusion
    passed_over: int


def make_command() -> Command:
    """Return the `trace` command."""
    return Command(
        "trace",
        "FLOW FILE...",
        "Show from logs what happened to a flow (CALLER:PORT[>SERVICE:PORT]); - is standard input.",
        new_flags(),
        _run,
    )


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    if len(arguments) < 2:
        print("trace takes a FLOW and at least one FILE", file=sys.stderr)
        return EXIT_USAGE
    try:
        name = parse_flow_name(arguments[0])
        read = read_log_lines(_texts(arguments[1:]))
    except MalformedFlowName as error:
        print(f"trace: {error}", file=sys.stderr)
        return EXIT_USAGE
    except (OSError, UnicodeError) as error:
        print(f"trace: {error}", file=sys.stderr)
        return EXIT_FAILED
    history = find_history(name, read.lines)
    trace = _Trace(history, conclude(history), read.passed_over)
    print(_as_json(trace) if values.output == "json" else _as_text(trace))
    return EXIT_OK if history.lines else EXIT_FAILED


def _texts(names: Sequence[str]) -> Iterator[str]:
    for name in names:
        if name == STANDARD_INPUT:
            yield from sys.stdin
            continue
        with Path(name).open(encoding="utf-8") as source:
            yield from source


def _as_json(trace: _Trace) -> str:
    lines = [
        {"at": each.at, "process": each.process, "kind": each.kind, **each.fields}
        for each in trace.history.all_lines
    ]
    return json.dumps(
        {
            "flow": trace.history.name,
            "ending": trace.conclusion.ending.value,
            "conclusion": trace.conclusion.sentence,
            "omitted": trace.history.omitted,
            "passed_over": trace.passed_over,
            "lines": lines,
        }
    )


def _as_text(trace: _Trace) -> str:
    shown = [_row(each, trace.history) for each in trace.history.all_lines]
    widths = [max((len(row[column]) for row in shown), default=0) for column in range(3)]
    rows = [
        "  ".join([*(cell.ljust(width) for cell, width in zip(row, widths, strict=False)), row[3]])
        for row in shown
    ]
    notes = [trace.conclusion.sentence]
    if trace.history.omitted:
        notes.append(f"{trace.history.omitted} lines of these kinds were omitted in that time.")
    if trace.passed_over:
        notes.append(f"{trace.passed_over} lines of the input are not log lines of egretsill.")
    return "\n".join([*(row.rstrip() for row in rows), *notes])


def _row(line: LogLine, history: History) -> tuple[str, str, str, str]:
    fields = {
        name: value
        for name, value in line.fields.items()
        if value != "" and not (name == "flow" and value == history.name)
    }
    details = " ".join(f"{name} {value}" for name, value in fields.items())
    return f"{line.at:.3f}", line.process, line.kind, details
