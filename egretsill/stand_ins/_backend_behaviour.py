"""What a stand-in backend server is set to do, and what it has counted."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any


class Fault(enum.Enum):
    """How a stand-in backend server fails its requests."""

    NONE = "none"
    SWALLOW = "swallow"
    CUT = "cut"
    SLOW = "slow"
    GARBAGE = "garbage"


@dataclass(slots=True)
class BackendBehaviour:
    """Settings that may change while the server runs.

    Attributes:
        slots: requests that run at once; further ones wait.
        waiting: requests that may wait before the server sheds.
        seconds_per_weight: service time of a request of weight 1.
        cold_seconds: how long after its start the server is `cold_factor` times as slow.
        slow_factor: service time with `Fault.SLOW` against without.
        revision_seconds: between the revisions of a subscription; 0 for published ones only.
        heartbeat_seconds: between the empty lines of a subscription without news.
        shedding: whether to answer every request with "not run".
        draining: what the health page says.
        load_lag_seconds: age of what the load page says.
        load_factor: what the load page multiplies the truth by.
        health_lag_seconds: how long after a change the health page still says the old state.
    """

    slots: int = 4
    waiting: int = 4
    seconds_per_weight: float = 0.005
    cold_seconds: float = 0.0
    cold_factor: float = 5.0
    slow_factor: float = 20.0
    revision_seconds: float = 0.0
    heartbeat_seconds: float = 5.0
    shedding: bool = False
    draining: bool = False
    load_lag_seconds: float = 0.0
    load_factor: float = 1.0
    health_lag_seconds: float = 0.0
    fault: Fault = Fault.NONE

    def change(self, values: Mapping[str, Any]) -> None:
        """Set attributes by name.

        Raises:
            ValueError: if a name or a value is none of this class; nothing is set then.
        """
        checked = {name: self._checked(name, value) for name, value in values.items()}
        for name, value in checked.items():
            setattr(self, name, value)

    def _checked(self, name: str, value: Any) -> Any:
        if name not in self.__slots__:
            raise ValueError(name)
        current = getattr(self, name)
        if isinstance(current, Fault):
            return Fault(value)
        if isinstance(current, float) and isinstance(value, int) and not isinstance(value, bool):
            return float(value)
        if type(value) is not type(current):
            raise ValueError(name)
        return value


@dataclass(slots=True)
class BackendCounts:
    """What the server saw happen; the judge of the promises.

    Attributes:
        starts: of each marker that callers gave their requests.
        starts_by_method: of all requests.
        misdirected: requests that were meant for another service.
        finished: requests whose whole answer was sent.
        cancelled: requests whose connection closed before that.
        shed: requests answered as not run.
        weight_done: summed weight of the finished ones.
        most_running: high-water mark of requests running at once.
        last_start_after_drain_seconds: when the last request started after the drain began.
    """

    starts: Counter[str] = field(default_factory=Counter)
    starts_by_method: Counter[str] = field(default_factory=Counter)
    misdirected: int = 0
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    weight_done: float = 0.0
    running: int = 0
    subscriptions: int = 0
    most_running: int = 0
    last_start_after_drain_seconds: float | None = None

    @property
    def run_twice(self) -> int:
        """Return how many markers started more than once at this server."""
        return sum(1 for count in self.starts.values() if count > 1)

    def to_json(self) -> dict[str, Any]:
        """Return the counts for the `/counts` page."""
        return {
            "starts": dict(self.starts),
            "starts_by_method": dict(self.starts_by_method),
            "misdirected": self.misdirected,
            "finished": self.finished,
            "cancelled": self.cancelled,
            "shed": self.shed,
            "weight_done": self.weight_done,
            "running": self.running,
            "subscriptions": self.subscriptions,
            "most_running": self.most_running,
            "run_twice": self.run_twice,
            "last_start_after_drain_seconds": self.last_start_after_drain_seconds,
        }
