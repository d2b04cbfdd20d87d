"""Messages in which the agents of a service report the load of their backend servers."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of a backend server as reported by its agent; it may be late or wrong.

    Attributes:
        target: number of the reported target.
        incarnation: incarnation of the agent's process; reports of a higher one supersede all
            reports of lower ones.
        sequence: sequence number within the incarnation.
        outstanding_weight: cost of running and queued requests, in units of the lightest class.
        running: number of requests that hold a slot.
        queued: number of requests that wait for a slot.
        slots: number of requests that may run at the same time.
        connections: number of open subscriptions.
        draining: whether the target takes no new work.
        server_age_seconds: how long the backend server has been up.
    """

    target: int
    incarnation: int
    sequence: int
    outstanding_weight: float
    running: int
    queued: int
    slots: int
    connections: int
    draining: bool
    server_age_seconds: float

    @property
    def plausible(self) -> bool:
        """Return whether all numbers are finite and not negative."""
        counts = (self.running, self.queued, self.slots, self.connections)
        measures = (self.outstanding_weight, self.server_age_seconds)
        return min(counts) >= 0 and all(math.isfinite(each) and each >= 0.0 for each in measures)


LOAD_TYPES: Mapping[int, type[LoadReport]] = MappingProxyType({50: LoadReport})
