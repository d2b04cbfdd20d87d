"""Emulated callers, targets, routers, links and a store around real egretsill processes.

Everything runs in one operating-system process in virtual time over in-memory sockets. Runs are
seeded and repeatable.
"""

from ._adapter import Adapter, Segment, SegmentFlag, StoreFaults, StoreStandIn
from ._adapter_loading import DEFAULT_ADAPTER, AdapterUnavailable, load_adapter
from ._day import Day, DayRejected, library, load_day
from ._judge import Outcome, Rule, Violation
from ._play import Played, WindowSummary, play

__all__ = [
    "Adapter",
    "AdapterUnavailable",
    "DEFAULT_ADAPTER",
    "Day",
    "DayRejected",
    "Outcome",
    "Played",
    "Rule",
    "Segment",
    "SegmentFlag",
    "StoreFaults",
    "StoreStandIn",
    "Violation",
    "WindowSummary",
    "library",
    "load_adapter",
    "load_day",
    "play",
]
