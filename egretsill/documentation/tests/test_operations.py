"""The operators' guide lists every log line kind and reason in the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from ...address_steering import DropReason, ForwardReason, RefuseReason

ROOT = Path(__file__).resolve().parents[3]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
RECORDED = re.compile(r'(?:record|write|consume_budget)\(\s*f?"([a-z-]+)"')


@pytest.mark.parametrize("reason", list(RefuseReason), ids=lambda each: str(each.value))
def test_every_reset_reason_is_documented(reason: RefuseReason) -> None:
    assert f"| `{reason.value}` |" in PAGE


def test_every_log_line_kind_is_listed() -> None:
    kinds = {
        kind
        for source in (ROOT / "egretsill" / "node").glob("*.py")
        for kind in RECORDED.findall(source.read_text(encoding="utf-8"))
    }
    assert len(kinds) > 10
    listed = {kind for kind in kinds if kind in PAGE}
    assert listed == kinds


def test_reason_values_are_distinct() -> None:
    values = [each.value for reasons in (ForwardReason, RefuseReason) for each in reasons]
    assert len(values) == len(set(values))
    assert len({each.value for each in DropReason}) == len(DropReason)
