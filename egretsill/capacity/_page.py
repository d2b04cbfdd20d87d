"""The tables of the capacity page."""

from __future__ import annotations

from collections.abc import Sequence

from ._costs import Costs
from ._events import events
from ._fleet import READINGS, Fleet
from ._lines import Budget, budgets

BEGIN = "<!-- figures: python -m egretsill.capacity -->"
END = "<!-- end of figures -->"


def render(costs: Costs) -> str:
    """Return all tables, between the marks that the page has around them.

    Raises:
        CostMissing: if a cost was not measured.
    """
    parts = [BEGIN, "", f"Worked out from the benchmarks' run of {costs.date}.", ""]
    for fleet in READINGS:
        parts += _fleet(costs, fleet)
    return "\n".join([*parts, END])


def figures_of(page: str) -> str | None:
    """Return what a page has between the marks, with them, or None if it lacks them."""
    begin, end = page.find(BEGIN), page.find(END)
    return None if begin < 0 or end < begin else page[begin : end + len(END)]


def _fleet(costs: Costs, fleet: Fleet) -> Sequence[str]:
    found = budgets(costs, fleet)
    lines = [f"## {fleet.name}", "", "| role | quantity | control | all | limit | fits |"]
    lines.append("|---|---|---:|---:|---:|---|")
    lines += [_summary(each) for each in found]
    lines.append("")
    for each in found:
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
