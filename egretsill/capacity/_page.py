"""The tables of the capacity page."""

from __future__ import annotations

from collections.abc import Sequence

from ._costs import Costs
from ._events import events
from ._fleet import FLEETS, Fleet
from ._lines import Budget, budgets

BEGIN = "<!-- figures: python -m egretsill.capacity -->"
END = "<!-- end of figures -->"


def render(costs: Costs) -> str:
    """Return all tables, enclosed in the marks that delimit them in the page.

    Raises:
        CostMissing: if a cost was not measured.
    """
    parts = [BEGIN, "", f"Worked out from the benchmarks' run of {costs.date}.", ""]
    for fleet in FLEETS:
        parts += _fleet_tables(costs, fleet)
    return "\n".join([*parts, END])


def find_tables(page: str) -> str | None:
    """Return the section of a page from `BEGIN` to `END`, or None if it has no such section."""
    begin, end = page.find(BEGIN), page.find(END)
    return None if begin < 0 or end < begin else page[begin : end + len(END)]


def _fleet_tables(costs: Costs, fleet: Fleet) -> Sequence[str]:
    fleet_budgets = budgets(costs, fleet)
    lines = [f"## {fleet.name}", "", "| role | quantity | control | all | limit | fits |"]
    lines.append("|---|---|---:|---:|---:|---|")
    lines += [_summary(each) for each in fleet_budgets]
    lines.append("")
    for each in fleet_budgets:
        lines += _table(each)
    lines += [
        "### Large events, for one process",
        "",
        "| event | cost | mechanism |",
        "|---|---|---|",
    ]
    lines += [f"| {each.what} | {each.cost} | {each.mechanism} |" for each in events(costs, fleet)]
    return [*lines, ""]


def _summary(budget: Budget) -> str:
    fits = "yes" if budget.fits else "**no**"
    figures = " | ".join(_number(each) for each in (budget.control, budget.total, budget.limit))
    return f"| {budget.role} | {budget.quantity.value} | {figures} | {fits} |"


def _table(budget: Budget) -> Sequence[str]:
    rows = [
        f"| {each.what} | {_number(each.value)} | `{each.benchmark}` | {each.mechanism} |"
        for each in budget.lines
    ]
    return [
        f"### {budget.role}: {budget.quantity.value}",
        "",
        "| line | value | measured by | mechanism |",
        "|---|---:|---|---|",
        *rows,
        "",
    ]


def _number(value: float) -> str:
    return f"{value:,.0f}" if value >= 1_000 else f"{value:,.2f}"
