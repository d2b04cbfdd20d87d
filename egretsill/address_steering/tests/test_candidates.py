"""Ranks of services while a step of their computation fails."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from ...directory import Changes, Directory, Snapshot
from ...directory.tests.revisions import rev
from ...directory.tests.test_directory import ONE, TWO, make_table
from .. import Candidates
from .. import _candidates as candidates_module
from .._tunnel import domain_hash

THREE = replace(ONE, name="three", host=3, failure_domain="b", revision=rev(30))


# Guards against packets that are steered by old or empty ranks after a failure to compute them.
@pytest.mark.parametrize("step", ["Cells", "domain_hash"])
def test_failed_computation_is_repeated_instead_of_using_old_ranks(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(20), make_table(7), (ONE, TWO)), 0.0)
    candidates = Candidates(directory)
    assert set(candidates.of("lookup").views) == {1, 2}
    directory.apply_changes(Changes(rev(30), None, (THREE,), ("one",)), 1.0)

    def fail(*_: Any) -> Any:
        raise RuntimeError("unexpected")

    with monkeypatch.context() as patch:
        patch.setattr(candidates_module, step, fail)
        for _ in range(2):
            with pytest.raises(RuntimeError):
                candidates.of("lookup")
            with pytest.raises(RuntimeError):
                _ = candidates.cells
    assert set(candidates.of("lookup").views) == {2, 3}
    assert set(candidates.cells.domains) == {2, 3}
    assert candidates.domain_with_hash(domain_hash("b")) == "b"
