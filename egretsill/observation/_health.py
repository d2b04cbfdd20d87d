"""Health of a process, with the reasons if it is unhealthy."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class HealthProblem(enum.Enum):
    """Reason why a process should receive no new work."""

    STARTING = "starting"
    NO_CONFIGURATION = "no-configuration"
    DRAINING = "draining"
    BACKEND_DOWN = "backend-down"
    VIEW_STALE = "view-stale"
    PART_STOPPED = "part-stopped"


@dataclass(frozen=True, slots=True)
class HealthState:
    """The health of one process.

    Attributes:
        problems: reasons why it should receive no new work; empty if it is healthy.
    """

    problems: tuple[HealthProblem, ...] = ()

    @property
    def healthy(self) -> bool:
        """Return whether the process accepts new work."""
        return not self.problems
