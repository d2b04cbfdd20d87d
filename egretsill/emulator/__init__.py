"""A world of callers, targets, routers, links and a store, in which real processes run.

Everything runs in one process under virtual time over sockets in memory, seeded and repeatable.
"""

from ._adapter import Adapter, Segment, SegmentFlag, StoreFaults, StoreStandIn
from ._adapter_loading import DEFAULT_ADAPTER, AdapterUnavailable, load_adapter
from ._day import Day, DayRejected, library, load_day
from ._judge import Outcome, Rule, Violation
from ._play import Played, WindowService, play

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
    "WindowService",
    "library",
    "load_adapter",
    "load_day",
    "play",
]
