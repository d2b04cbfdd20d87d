from __future__ import annotations

import dataclasses
import json
from pathlib import Path

import pytest

from .. import FLEETS, CostMissing, Fleet, Quantity, budgets, find_tables, read_costs, render
from ..__main__ import run

ROOT = Path(__file__).parents[3]
BENCH = ROOT / "measured" / "bench.json"
PAGE = ROOT / "docs" / "CAPACITY.md"


def write_lines(path: Path, *points: tuple[int | None, float]) -> Path:
    lines: list[dict[str, object]] = [{"date": "2026-01-01"}]
    lines += [
        {"benchmark": "b", "case": "c", "size": size, "value": value} for size, value in points
    ]
    path.write_text("\n".join(map(json.dumps, lines)))
    return path


@pytest.mark.parametrize(
    ("points", "size", "expected"),
    [
        pytest.param([(1, 3.0), (2, 5.0)], 10, 21.0, id="beyond the sizes"),
        pytest.param([(1, 3.0), (2, 5.0), (3, 7.0)], 2, 5.0, id="within the sizes"),
        pytest.param([(10, 1.0), (20, 2.0), (30, 30.0)], 1, 0.0, id="not below zero"),
    ],
)
def test_cost_at_a_size_lies_on_least_squares_line(
    tmp_path: Path, points: list[tuple[int | None, float]], size: int, expected: float
) -> None:
    costs = read_costs(write_lines(tmp_path / "bench.json", *points))
    assert costs.at("b", "c", size) == pytest.approx(expected)


def test_missing_cost_raises(tmp_path: Path) -> None:
    costs = read_costs(write_lines(tmp_path / "bench.json", (None, 3.0)))
    assert costs.value("b", "c") == 3.0
    with pytest.raises(CostMissing):
        costs.at("b", "c", 1)
    with pytest.raises(CostMissing):
        budgets(costs, FLEETS[0])


def test_fleet_change_rates() -> None:
    fleet = Fleet("small", 1, 2, changes_per_day=86_400, failures_per_day=0, replacements_per_day=0)
    assert (fleet.members, fleet.configuration_changes, fleet.missed_changes) == (3, 1.0, 3_600.0)
    assert fleet.membership_changes == 0
    replaced = dataclasses.replace(fleet, replacements_per_day=43_200)
    assert replaced.membership_changes == 1.0


def test_budget_fits_if_total_is_within_limit() -> None:
    fleet_budgets = budgets(read_costs(BENCH), FLEETS[0])
    assert [(each.role, each.quantity) for each in fleet_budgets] == [
        (role, quantity) for role in ("balancer", "agent") for quantity in Quantity
    ]
    for each in fleet_budgets:
        assert each.total == pytest.approx(sum(line.value for line in each.lines))
        assert each.fits == (each.total <= each.limit)
        assert each.control <= each.total


def test_more_flows_per_agent_raise_agent_totals() -> None:
    costs = read_costs(BENCH)
    few, many = (
        {(each.role, each.quantity): each.total for each in budgets(costs, fleet)}
        for fleet in (FLEETS[0], dataclasses.replace(FLEETS[0], open_flows=22_000_000))
    )
    for quantity in (Quantity.MEMORY, Quantity.PROCESSOR):
        assert many["agent", quantity] > few["agent", quantity]
    assert many["balancer", Quantity.MEMORY] == few["balancer", Quantity.MEMORY]


def test_committed_page_has_tables_of_recorded_run() -> None:
    assert run(["--check", f"--bench={BENCH}", f"--page={PAGE}"]) == 0


def test_check_rejects_and_write_updates_stale_page(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    stale = PAGE.read_text().replace("| balancer |", "| balancers |")
    page.write_text(stale)
    arguments = [f"--bench={BENCH}", f"--page={page}"]
    assert run([*arguments, "--check"]) == 1
    assert run([*arguments, "--write"]) == 0
    assert run([*arguments, "--check"]) == 0
    assert find_tables(page.read_text()) == render(read_costs(BENCH))
