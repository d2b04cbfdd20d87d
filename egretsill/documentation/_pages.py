"""Fills the marked parts of the guides, which are generated from the code."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from ._measures_table import RECORDED_RUN, measures_table, read_measures
from ._message_tables import PROTOCOLS, message_table
from ._reference import make_reference

OPERATIONS_PAGE = "OPERATIONS.md"
CONTRACTS_PAGE = "CONTRACTS.md"
MEASUREMENTS_PAGE = "MEASUREMENTS.md"


class PartMissing(Exception):
    """A page lacks the marks of a part.

    Attributes:
        part: name of the part.
    """

    def __init__(self, part: str) -> None:
        super().__init__(f"page lacks the marks of part {part}")
        self.part = part


def make_parts() -> Mapping[str, Mapping[str, str]]:
    """Return the content of each marked part, by page and part name."""
    tables = {name: message_table(types) for name, types in PROTOCOLS.items()}
    measures = measures_table(read_measures(RECORDED_RUN))
    return {
        OPERATIONS_PAGE: {"reference": make_reference()},
        CONTRACTS_PAGE: tables,
        MEASUREMENTS_PAGE: {"measures": measures},
    }


def fill(page: str, parts: Mapping[str, str]) -> str:
    """Return a page with the given content between the marks of each part.

    Raises:
        PartMissing: if the page lacks the marks of a part.
    """
    for name, content in parts.items():
        before, begin, rest = page.partition(f"<!-- {name}: begin -->\n")
        _, end, after = rest.partition(f"<!-- {name}: end -->\n")
        if not end:
            raise PartMissing(name)
        page = f"{before}{begin}{content}{end}{after}"
    return page


def write_pages(directory: Path) -> None:
    """Update the marked parts of the pages in a directory.

    Raises:
        PartMissing: if a page lacks the marks of one of its parts.
    """
    for name, parts in make_parts().items():
        path = directory / name
        path.write_text(fill(path.read_text(encoding="utf-8"), parts), encoding="utf-8")
