"""What the agents of one service tell each other about the load of their backend servers."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType


@dataclass(frozen=True, slots=True)
class LoadReport:
    """One agent's view of its own backend server; a hint, which may be late or wrong.

    Attributes:
        target: number of the target that it tells of.
        incarnation: of the agent's process; a higher one replaces all reports of lower ones.
        sequence: rank within the incarnation.
        outstanding_weight: cost of the requests that run or wait, in units of the lightest class.
        running: requests that hold a slot.
        queued: requests that wait for a slot.
        slots: requests that may run at once.
        connections: subscriptions that are open.
        draining: whether it takes no new work.
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
        """Return whether every number is one that an agent could mean."""
        counts = (self.running, self.queued, self.slots, self.connections)
        measures = (self.outstanding_weight, self.server_age_seconds)
        return min(counts) >= 0 and all(math.isfinite(each) and each >= 0.0 for each in measures)


LOAD_TYPES: Mapping[int, type[LoadReport]] = MappingProxyType({50: LoadReport})
