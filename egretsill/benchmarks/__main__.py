"""Run the benchmarks of this package and print one JSON line for each result."""

from __future__ import annotations

import datetime
import importlib
import json
import pkgutil
import sys
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from . import __path__ as benchmark_path

PROGRAM = "python -m egretsill.benchmarks"


def make_flags() -> flags.FlagValues:
    """Return the flags of the program."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string(
        "output",
        None,
        "File to write the results to, after a line with the date.",
        flag_values=values,
    )
    return values


def benchmark_names() -> Sequence[str]:
    """Return the names of all benchmarks."""
    return [
        module.name
        for module in pkgutil.iter_modules(benchmark_path)
        if not module.name.startswith("_") and not module.ispkg
    ]


def run(arguments: Sequence[str]) -> int:
    """Run all benchmarks or the named ones; return 1 if a goal is missed, 2 on a usage error."""
    values = make_flags()
    try:
        wanted = values([PROGRAM, *arguments])[1:] or benchmark_names()
    except flags.Error as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return 2
    lines = [json.dumps({"date": datetime.datetime.now(datetime.UTC).date().isoformat()})]
    missed = 0
    for name in wanted:
        for result in importlib.import_module(f"{__package__}.{name}").benchmark():
            lines.append(result.to_json())
            print(lines[-1], flush=True)
            missed += result.holds is False
    if values.output is not None:
        Path(values.output).write_text("\n".join([*lines, ""]))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
