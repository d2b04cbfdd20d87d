"""Whether this process serves, and if not, why."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class HealthProblem(enum.Enum):
    """Why a process should get no new work."""

    STARTING = "starting"
    NO_CONFIGURATION = "no-configuration"
    DRAINING = "draining"
    BACKEND_DOWN = "backend-down"
    VIEW_STALE = "view-stale"


@dataclass(frozen=True, slots=True)
class HealthState:
    """The health of one process.

    Attributes:
        problems: empty if it takes new work.
    """

    problems: tuple[HealthProblem, ...] = ()

    @property
    def healthy(self) -> bool:
        """Return whether the process takes new work."""
        return not self.problems
