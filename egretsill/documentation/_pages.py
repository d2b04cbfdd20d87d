"""The guides' marked parts, which are made from the code."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from ._measures_table import KEPT_RUN, measures_table, read_measures
from ._message_tables import PROTOCOLS, message_table
from ._reference import make_reference

OPERATIONS_PAGE = "OPERATIONS.md"
CONTRACTS_PAGE = "CONTRACTS.md"
MEASUREMENTS_PAGE = "MEASUREMENTS.md"


class PartMissing(Exception):
    """A page has no place for a part.

    Attributes:
        part: its name.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f"no marked place for {part}")
        self.part = part


def make_parts() -> Mapping[str, Mapping[str, str]]:
    """Return the content of each marked part, by page and name."""
    tables = {name: message_table(types) for name, types in PROTOCOLS.items()}
    measures = measures_table(read_measures(KEPT_RUN))
    return {
        OPERATIONS_PAGE: {"reference": make_reference()},
        CONTRACTS_PAGE: tables,
        MEASUREMENTS_PAGE: {"measures": measures},
    }


def fill(page: str, parts: Mapping[str, str]) -> str:
    """Return a page with these parts in their marked places.

    Raises:
        PartMissing: if a part's marks are not there.
    """
    for name, content in parts.items():
        before, begin, rest = page.partition(f"<!-- {name}: begin -->\n")
        _, end, after = rest.partition(f"<!-- {name}: end -->\n")
        if not end:
            raise PartMissing(name)
        page = f"{before}{begin}{content}{end}{after}"
    return page


def write_pages(directory: Path) -> None:
    """Bring the marked parts of the pages in a directory up to date.

    Raises:
        PartMissing: if a page has no place for one of its parts.
    """
    for name, parts in make_parts().items():
        path = directory / name
        path.write_text(fill(path.read_text(encoding="utf-8"), parts), encoding="utf-8")
