"""The committed pages match the content generated from the code."""

from __future__ import annotations

from pathlib import Path

import pytest

from .._pages import CONTRACTS_PAGE, OPERATIONS_PAGE, PartMissing, fill, make_parts, write_pages

DIRECTORY = Path(__file__).parents[3] / "docs"


@pytest.mark.parametrize("page", [OPERATIONS_PAGE, CONTRACTS_PAGE])
def test_committed_page_is_up_to_date(page: str) -> None:
    text = (DIRECTORY / page).read_text(encoding="utf-8")
    update = "python -m egretsill.documentation write docs"
    assert text == fill(text, make_parts()[page]), f"run {update}"


def test_fill_replaces_only_the_marked_part() -> None:
    page = "a\n<!-- part: begin -->\nold\n<!-- part: end -->\nb\n"
    filled = fill(page, {"part": "new\n"})
    assert filled == "a\n<!-- part: begin -->\nnew\n<!-- part: end -->\nb\n"


@pytest.mark.parametrize(
    "page",
    [
        pytest.param("nothing\n", id="no marks"),
        pytest.param("<!-- part: begin -->\n", id="no end"),
        pytest.param("<!-- part: end -->\n<!-- part: begin -->\n", id="wrong order"),
    ],
)
def test_page_without_marks_of_a_part_raises(page: str) -> None:
    with pytest.raises(PartMissing):
        fill(page, {"part": "new\n"})


def test_written_pages_are_up_to_date(tmp_path: Path) -> None:
    for page, parts in make_parts().items():
        marks = "".join(f"<!-- {name}: begin -->\n<!-- {name}: end -->\n" for name in parts)
        (tmp_path / page).write_text(marks, encoding="utf-8")
    write_pages(tmp_path)
    for page, parts in make_parts().items():
        text = (tmp_path / page).read_text(encoding="utf-8")
        assert [name for name, content in parts.items() if content not in text] == []
