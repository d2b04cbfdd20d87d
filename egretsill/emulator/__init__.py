"""Emulated callers, targets, routers, links and a store around real egretsill processes.

Everything runs in one operating-system process in virtual time over in-memory sockets. Runs are
seeded and repeatable.
"""

from ._adapter import Adapter, Segment, SegmentFlag, StoreFaults, StoreStandIn
from ._adapter_loading import DEFAULT_ADAPTER, AdapterUnavailable, load_adapter
from ._caller import EmulatedCaller
from ._day import Day, DayRejected, library, load_day
from ._judge import Judge, Outcome, Rule, Violation
from ._network import DatagramReceiver, Network
from ._play import Played, WindowSummary, play
from ._request import RequestKind
from ._router import Hashing, Router
from ._scheduler import Scheduler
from ._target import EmulatedTarget

__all__ = [
    "Adapter",
    "AdapterUnavailable",
    "DEFAULT_ADAPTER",
    "DatagramReceiver",
    "Day",
    "DayRejected",
    "EmulatedCaller",
    "EmulatedTarget",
    "Hashing",
    "Judge",
    "Network",
    "Outcome",
    "Played",
    "RequestKind",
    "Router",
    "Rule",
    "Scheduler",
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
