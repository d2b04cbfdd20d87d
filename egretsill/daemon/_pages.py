"""Content of a daemon's status and health pages, and the state of the platform."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..configuration import ConfigurationService
from ..draining import BackendState
from ..membership import MembershipService
from ..observation import JSON, HealthProblem, HealthState
from ..settings import DaemonSettings
from ..supervision import Part, Supervisor
from ._drain_control import DrainControl

PLATFORM_ANSWERS = "answers"
PLATFORM_SILENT = "silent"

# Without these the process can't serve.
_ESSENTIAL_PARTS = frozenset(
    {Part.ROLE, Part.PACKETS, Part.TUNNEL, Part.RELAY, Part.GOSSIP, Part.TIMERS}
)


class ReportingRole(Protocol):
    """The properties of a daemon's role that the pages show."""

    @property
    def requests_running(self) -> int:
        """Return the number of requests in progress."""

    @property
    def flows_open(self) -> int:
        """Return the number of open flows."""

    def status(self) -> Mapping[str, JSON]:
        """Return the entries of the status page for the role."""


class Pages:
    """Creates the content of the pages from the parts of a daemon, read-only.

    Args:
        settings: the settings as read at the start.
        backend_state: returns the last assessed state of the backend server.
        supervisor: knows the parts that aren't running.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        role: ReportingRole,
        membership: MembershipService,
        configuration: ConfigurationService,
        drain: DrainControl,
        backend_state: Callable[[], BackendState],
        supervisor: Supervisor,
    ) -> None:
        self._settings = settings
        self._role = role
        self._membership = membership
        self._configuration = configuration
        self._drain = drain
        self._backend_state = backend_state
        self._supervisor = supervisor

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
            "parts_stopped": sorted(each.value for each in self._supervisor.stopped),
            "failures_unreported": self._supervisor.unreported,
            **self._role.status(),
        }

    @property
    def health(self) -> HealthState:
        """Return the problems for which this process takes no new work, if any."""
        problems: list[HealthProblem] = []
        if self._configuration.bundle is None:
            problems.append(HealthProblem.NO_CONFIGURATION)
        if self._drain.draining:
            problems.append(HealthProblem.DRAINING)
        if self._backend_state() is BackendState.FAILED:
            problems.append(HealthProblem.BACKEND_DOWN)
        if not self._membership.is_fresh:
            problems.append(HealthProblem.VIEW_STALE)
        if _ESSENTIAL_PARTS.intersection(self._supervisor.stopped):
            problems.append(HealthProblem.PART_STOPPED)
        return HealthState(tuple(problems))

    @property
    def platform_state(self) -> str:
        """Return whether the platform answered this process or a peer within the silence time."""
        age = self._configuration.platform_age_seconds
        maximum_age = self._settings.exchange.silence_seconds
        answers = age is not None and age <= maximum_age
        return PLATFORM_ANSWERS if answers else PLATFORM_SILENT
