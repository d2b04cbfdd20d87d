"""Behaviour settings and counters of a stand-in backend server."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any


class Fault(enum.Enum):
    """Ways in which a stand-in backend server fails its requests."""

    NONE = "none"
    SWALLOW = "swallow"
    CUT = "cut"
    SLOW = "slow"
    GARBAGE = "garbage"


@dataclass(slots=True)
class BackendBehaviour:
    """Settings that may be changed while the server runs.

    Attributes:
        slots: requests that run at the same time; further ones wait.
        waiting: requests that may wait; the server sheds further ones.
        seconds_per_weight: service time of a request of weight 1.
        cold_seconds: warm-up after the start, during which service times are multiplied by
            `cold_factor`.
        slow_factor: multiplies service times under `Fault.SLOW`.
        revision_seconds: interval at which revisions are published; 0 to publish only on demand.
        heartbeat_seconds: interval of the empty lines of a subscription without new revisions.
        shedding: whether to answer every request with "not run".
        draining: whether the health page reports draining.
        load_lag_seconds: how long the load page repeats one sample.
        load_factor: multiplies the number of running requests on the load page.
        health_lag_seconds: how long the health page reports ok after the drain began.
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
            ValueError: if a name is unknown or a value has the wrong type; nothing is set then.
        """
        validated = {name: self._validate_value(name, value) for name, value in values.items()}
        for name, value in validated.items():
            setattr(self, name, value)

    def _validate_value(self, name: str, value: Any) -> Any:
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
    """Events that the server counted; used to check the promises.

    Attributes:
        starts: starts of each request marker.
        starts_by_method: starts of all requests by HTTP method.
        misdirected: requests that were meant for another service.
        finished: requests whose complete answer was sent.
        cancelled: requests that started and did not finish.
        shed: requests answered as not run.
        weight_done: total weight of finished requests, subscriptions excluded.
        most_running: largest number of requests that ran at the same time.
        last_start_after_drain_seconds: time from the drain to the start of the last request.
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
        """Return how many markers started more than once on this server."""
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
