"""Tests of when a process that is shutting down ends."""

from __future__ import annotations

import pytest

from .._shutdown import ShutdownPlan


@pytest.mark.parametrize(
    ("elapsed", "is_idle", "should_end"),
    [
        pytest.param(0.5, True, False, id="routers may still send"),
        pytest.param(1.7, True, True, id="out of rotation and idle"),
        pytest.param(1.7, False, False, id="packets still arrive"),
        pytest.param(5.0, False, True, id="before the forced end"),
    ],
)
def test_process_ends_when_idle_or_before_a_forced_end(
    elapsed: float, is_idle: bool, should_end: bool
) -> None:
    plan = ShutdownPlan(grace_seconds=6.0)
    assert not plan.should_end(100.0, True)
    plan.begin(100.0)
    assert plan.is_leaving
    assert plan.should_end(100.0 + elapsed, is_idle) is should_end
