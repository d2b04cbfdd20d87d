"""What each process costs in a large fleet, worked out from measured costs."""

from ._costs import CostMissing, Costs, read_costs
from ._fleet import READINGS, Fleet
from ._lines import Budget, Line, Quantity, budgets
from ._page import figures_of, render

__all__ = [
    "Budget",
    "CostMissing",
    "Costs",
    "Fleet",
    "Line",
    "Quantity",
    "READINGS",
    "budgets",
    "figures_of",
    "read_costs",
    "render",
]
