"""What a daemon tells operators of itself: the status page, its health, and the platform."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..configuration import ConfigurationService
from ..draining import BackendState
from ..membership import MembershipService
from ..observation import JSON, HealthProblem, HealthState
from ..settings import DaemonSettings
from ._drain_control import DrainControl

PLATFORM_ANSWERS = "answers"
PLATFORM_SILENT = "silent"


class ReportingRole(Protocol):
    """What the pages ask of a daemon's role."""

    @property
    def requests_running(self) -> int:
        """Return how many requests are in progress."""

    @property
    def flows_open(self) -> int:
        """Return how many flows are open."""

    def status(self) -> Mapping[str, JSON]:
        """Return what the status page says of the role."""


class Pages:
    """Makes the content of the pages from the parts of a daemon; it changes none of them.

    Args:
        settings: as they were at the start.
        backend_state: returns what the backend server was last taken to be.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        role: ReportingRole,
        membership: MembershipService,
        configuration: ConfigurationService,
        drain: DrainControl,
        backend_state: Callable[[], BackendState],
    ) -> None:
        self._settings = settings
        self._role = role
        self._membership = membership
        self._configuration = configuration
        self._drain = drain
        self._backend_state = backend_state

    @property
    def status(self) -> Mapping[str, JSON]:
        """Return the content of the status page."""
        return {
            "name": self._settings.name,
            "role": self._settings.role.value,
            "failure_domain": self._settings.failure_domain,
            "revision": self._configuration.revision or 0,
            "flows": self._role.flows_open,
            "requests": self._role.requests_running,
            "draining": self._drain.draining,
            "drain_signals": list(self._drain.signals),
            "members_alive": len(self._membership.view.alive),
            "view_fresh": self._membership.is_fresh,
            "reads_platform": self._configuration.is_reader,
            "platform_age_seconds": self._configuration.platform_age_seconds,
            "older_revisions_ignored": self._configuration.older_ignored,
            "revision_conflicts": self._configuration.conflicts,
            **self._role.status(),
        }

    @property
    def health(self) -> HealthState:
        """Return whether this process takes new work."""
        problems: list[HealthProblem] = []
        if self._configuration.bundle is None:
            problems.append(HealthProblem.NO_CONFIGURATION)
        if self._drain.draining:
            problems.append(HealthProblem.DRAINING)
        if self._backend_state() is BackendState.FAILED:
            problems.append(HealthProblem.BACKEND_DOWN)
        if not self._membership.is_fresh:
            problems.append(HealthProblem.VIEW_STALE)
        return HealthState(tuple(problems))

    @property
    def platform_state(self) -> str:
        """Return whether the platform answered this process or a peer lately."""
        age = self._configuration.platform_age_seconds
        longest = self._settings.exchange.silence_seconds
        answers = age is not None and age <= longest
        return PLATFORM_ANSWERS if answers else PLATFORM_SILENT
