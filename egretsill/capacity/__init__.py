"""Capacity budget of each process in a large fleet, computed from benchmark results."""

from ._costs import CostMissing, Costs, read_costs
from ._fleet import FLEETS, Fleet
from ._lines import Budget, Line, Quantity, budgets
from ._page import find_tables, render

__all__ = [
    "Budget",
    "CostMissing",
    "Costs",
    "Fleet",
    "Line",
    "Quantity",
    "FLEETS",
    "budgets",
    "find_tables",
    "read_costs",
    "render",
]
