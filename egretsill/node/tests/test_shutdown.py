"""When a process that was told to stop ends."""

from __future__ import annotations

import pytest

from .._shutdown import ShutdownPlan


@pytest.mark.parametrize(
    ("elapsed", "is_quiet", "is_over"),
    [
        pytest.param(0.5, True, False, id="routers may still send"),
        pytest.param(1.7, True, True, id="out of rotation and quiet"),
        pytest.param(1.7, False, False, id="packets still come"),
        pytest.param(5.0, False, True, id="before it is forced to"),
    ],
)
def test_end(elapsed: float, is_quiet: bool, is_over: bool) -> None:
    plan = ShutdownPlan(grace_seconds=6.0)
    assert not plan.is_over(100.0, True)
    plan.begin(100.0)
    assert plan.is_leaving
    assert plan.is_over(100.0 + elapsed, is_quiet) is is_over
