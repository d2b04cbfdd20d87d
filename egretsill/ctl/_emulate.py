"""`egretsillctl emulate`: plays a day in virtual time."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from absl import flags
from absl.flags import FlagValues

from ..commands import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command, new_flags


def make_command() -> Command:
    """Return the `emulate` command."""
    values = new_flags()
    flags.DEFINE_integer("seed", 1, "Seed of all random choices.", flag_values=values)
    flags.DEFINE_string("log", None, "File for the log lines of the processes.", flag_values=values)
    flags.DEFINE_string(
        "adapter", None, "MODULE:FUNCTION that creates packets and the store.", flag_values=values
    )
    return Command(
        "emulate",
        "DAY",
        "Play a day (a TOML file, or the name of an included one) in virtual time.",
        values,
        _run,
    )


def _run(values: FlagValues, arguments: Sequence[str]) -> int:
    # Imported here because the emulator is slow to load and other commands don't need it.
    from ..emulator import (
        DEFAULT_ADAPTER,
        AdapterUnavailable,
        DayRejected,
        library,
        load_adapter,
        load_day,
        play,
    )

    if len(arguments) != 1:
        print("emulate takes one DAY", file=sys.stderr)
        return EXIT_USAGE
    included_days = {path.stem: path for path in library()}
    try:
        day = load_day(included_days.get(arguments[0], Path(arguments[0])))
        adapter = load_adapter(values.adapter or DEFAULT_ADAPTER)
    except (DayRejected, AdapterUnavailable) as error:
        print(f"emulate: {error}", file=sys.stderr)
        return EXIT_USAGE
    played = play(day, adapter, values.seed)
    if values.log:
        _write_log(Path(values.log), played.log)
    summary = {
        "requests": played.requests,
        "served": played.served,
        "outcomes": {outcome.value: count for outcome, count in played.outcomes.items()},
        "broken": [
            {"rule": each.rule.value, "at": round(each.at, 3), "detail": each.detail}
            for each in played.violations
        ],
        "worst_windows": [
            {"at": each.at, "requests": each.requests, "in_time": each.in_time}
            for each in played.worst_windows
        ],
        "store_calls": played.store_calls,
        "datagrams": played.datagrams,
        "virtual_seconds": played.virtual_seconds,
    }
    print(json.dumps(summary) if values.output == "json" else _as_text(summary))
    return EXIT_FAILED if played.violations else EXIT_OK


def _write_log(path: Path, lines: Sequence[Mapping[str, object]]) -> None:
    with path.open("w", encoding="utf-8") as file:
        for line in lines:
            file.write(json.dumps(line) + "\n")


def _as_text(summary: Mapping[str, object]) -> str:
    return "\n".join(f"{name.replace('_', ' ')}: {value}" for name, value in summary.items())
