"""Prints the tables of the capacity page, or checks that the page has them."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from . import CostMissing, figures_of, read_costs, render

PROGRAM = "python -m egretsill.capacity"
PAGE = Path("docs/CAPACITY.md")


def make_flags() -> flags.FlagValues:
    """Return the flags of the program."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string(
        "bench", "measured/bench.json", "The benchmarks' lines.", flag_values=values
    )
    flags.DEFINE_bool("check", False, "Compare with the page instead.", flag_values=values)
    flags.DEFINE_bool("write", False, "Put the tables into the page.", flag_values=values)
    flags.DEFINE_string("page", str(PAGE), "The page.", flag_values=values)
    return values


def run(arguments: Sequence[str]) -> int:
    """Return 0, 1 if the page has other tables, or 2 if something can't be read."""
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
        Path(values.page).write_text(page.replace(figures_of(page) or "", tables))
        return 0
    print(tables)
    return 0


def _check(page: str, tables: str) -> int:
    if figures_of(page) == tables:
        return 0
    print(f"{PROGRAM}: the page is stale; run it with --write", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
