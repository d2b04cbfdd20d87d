"""Print the tables of the capacity page, check them against the page, or write them to it."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from . import CostMissing, find_tables, read_costs, render

PROGRAM = "python -m egretsill.capacity"
PAGE = Path("docs/CAPACITY.md")


def make_flags() -> flags.FlagValues:
    """Return the flags of the program."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string(
        "bench", "measured/bench.json", "File with the benchmark results.", flag_values=values
    )
    flags.DEFINE_bool("check", False, "Check that the page has these tables.", flag_values=values)
    flags.DEFINE_bool("write", False, "Write the tables to the page.", flag_values=values)
    flags.DEFINE_string("page", str(PAGE), "Path of the capacity page.", flag_values=values)
    return values


def run(arguments: Sequence[str]) -> int:
    """Run the program; return 1 if the page is out of date, 2 on a usage or input error."""
    values = make_flags()
    try:
        values([PROGRAM, *arguments])
        tables = render(read_costs(Path(values.bench)))
        page = Path(values.page).read_text() if values.check or values.write else ""
    except (flags.Error, OSError, ValueError, KeyError, CostMissing) as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        return 2
    if values.check:
        return _check(page, tables)
    if values.write:
        Path(values.page).write_text(page.replace(find_tables(page) or "", tables))
        return 0
    print(tables)
    return 0


def _check(page: str, tables: str) -> int:
    if find_tables(page) == tables:
        return 0
    print(f"{PROGRAM}: the tables of the page are out of date; run with --write", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
