from __future__ import annotations

import pytest

from .._cost import fit, slope_result
from .._membership_process import make_process, run_process
from .._result import BenchmarkResult


@pytest.mark.parametrize(
    ("points", "base", "slope"),
    [
        pytest.param([(1, 5.0), (2, 7.0), (3, 9.0)], 3.0, 2.0, id="on a line"),
        pytest.param([(0, 1.0), (1, 0.0), (2, 2.0)], 0.5, 0.5, id="around a line"),
    ],
)
def test_fit_returns_least_squares_line(
    points: list[tuple[float, float]], base: float, slope: float
) -> None:
    line = fit(points)
    assert line.base == pytest.approx(base)
    assert line.slope == pytest.approx(slope)


def test_slope_result_is_named_after_its_case() -> None:
    results = [BenchmarkResult("b", "memory", 10.0 + 3 * size, "MB", size) for size in (1, 2, 5)]
    result = slope_result(results, "MB a member")
    assert (result.case, result.unit) == ("slope of memory", "MB a member")
    assert result.value == pytest.approx(3.0)


def test_mirrored_membership_keeps_all_members_alive() -> None:
    process = make_process(30)
    sent = process.sent
    run_process(process, 10.0, changes=5)
    assert process.changes == 5
    assert process.sent > sent
    assert len(process.membership.view.alive) == 29
