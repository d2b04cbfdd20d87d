"""The composition root: wires the parts of one daemon and runs them."""

from __future__ import annotations

import errno
from collections.abc import Callable, Mapping
from random import Random
from typing import TypeAlias, TypeVar

import trio

from ..configuration import Address, Bundle
from ..membership import (
    MEMBERSHIP_TYPES,
    NO_TARGET,
    GossipSocket,
    Member,
    Membership,
    MembershipService,
    MembershipView,
)
from ..membership import Role as MemberRole
from ..observation import (
    JSON,
    AdminServer,
    HealthProblem,
    HealthState,
    Metrics,
    StateChange,
    StateKind,
    StateLog,
)
from ..settings import DaemonSettings, Role, SettingsRejected
from ..timing import TrioTimerService
from ._agent_role import AgentRole
from ._balancer_role import BalancerRole
from ._codec import make_codec
from ._exceptions import AddressUnavailable, AgentSettingsIncomplete
from ._sources import ConfigurationSource

LEAVE_CHECK_SECONDS = 0.25

BoundT = TypeVar("BoundT")
DaemonRole: TypeAlias = BalancerRole | AgentRole


class Daemon:
    """One process of the system, as a balancer or as an agent.

    Args:
        configuration: where bundles come from.
    """

    def __init__(
        self, settings: DaemonSettings, random: Random, configuration: ConfigurationSource
    ) -> None:
        self._settings = settings
        self._random = random
        self._configuration = configuration
        self._timer = TrioTimerService()
        self._metrics = Metrics()
        self._state_log = StateLog(settings.name)
        self._role = self._make_role()
        self._membership: MembershipService | None = None
        self._draining = False
        self._stopped = trio.Event()

    @property
    def revision(self) -> int:
        """Return the revision in force, or 0 before the first."""
        bundle = self._configuration.bundle
        return 0 if bundle is None else bundle.revision

    @property
    def status(self) -> Mapping[str, JSON]:
        """Return the content of the status page."""
        view = None if self._membership is None else self._membership.view
        return {
            "name": self._settings.name,
            "role": self._settings.role.value,
            "failure_domain": self._settings.failure_domain,
            "revision": self.revision,
            "flows": self._role.flows_open,
            "requests": self._role.requests_running,
            "draining": self._draining,
            "members_alive": 0 if view is None else len(view.alive),
            **self._role.status(),
        }

    @property
    def health(self) -> HealthState:
        """Return whether this process takes new work."""
        problems: list[HealthProblem] = []
        if self._configuration.bundle is None:
            problems.append(HealthProblem.NO_CONFIGURATION)
        if self._draining:
            problems.append(HealthProblem.DRAINING)
        return HealthState(tuple(problems))

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until shut down or cancelled; started when every endpoint is bound.

        Raises:
            AddressUnavailable: if an endpoint can't be bound.
        """
        gossip = self._bind_gossip()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._timer.run)
            await nursery.start(gossip.run)
            self._membership = self._join(gossip)
            self._configuration.subscribe(self._apply_bundle)
            nursery.start_soon(self._configuration.run)
            nursery.start_soon(self._role.run)
            await self._start_admin(nursery)
            self._record(StateKind.PROCESS, "ready")
            task_status.started()
            await self._stopped.wait()
            self._membership.stop()
            nursery.cancel_scope.cancel()
        self._record(StateKind.PROCESS, "stopped")

    def shut_down(self) -> None:
        """Stop gracefully: take no new work, and end when what runs has ended."""
        if self._draining:
            return
        self._draining = True
        self._record(StateKind.PROCESS, "draining")
        self._role.start_draining()
        if self._membership is not None:
            self._membership.leave()
        self._timer.call_later(self._settings.shutdown.linger_seconds, self._leave_when_idle)

    def replace_settings(self, settings: DaemonSettings) -> None:
        """Take over what may change while running: the connection-ID keys."""
        self._settings = settings
        self._role.replace_codec(make_codec(settings.connection_id_keys))
        rotations = ",".join(str(each.rotation) for each in settings.connection_id_keys)
        self._record(StateKind.KEYS, rotations)

    def reject_settings(self, error: SettingsRejected) -> None:
        """Note that settings were to be re-read and hold mistakes; the old ones stay."""
        self._record(StateKind.PROCESS, "settings-rejected", {"problem": str(error)})

    def _make_role(self) -> DaemonRole:
        settings = self._settings
        match settings.role:
            case Role.BALANCER:
                return self._bound("tunnel", settings.tunnel, self._make_balancer)
            case Role.AGENT:
                if settings.tls is None or settings.number is None:
                    raise AgentSettingsIncomplete(settings.name)
                return AgentRole(
                    settings,
                    settings.tls,
                    settings.number,
                    self._timer,
                    self._metrics,
                    self._state_log,
                    self._random,
                )

    def _make_balancer(self) -> BalancerRole:
        return BalancerRole(self._settings, self._timer, self._metrics)

    def _bind_gossip(self) -> GossipSocket:
        return self._bound(
            "gossip",
            self._settings.gossip,
            lambda: GossipSocket(self._settings.gossip, MEMBERSHIP_TYPES, self._metrics),
        )

    def _join(self, gossip: GossipSocket) -> MembershipService:
        membership = Membership(
            self._own_member(),
            self._timer.epoch_milliseconds,
            self._random,
            self._timer.now,
            self._settings.seeds,
        )
        service = MembershipService(membership, gossip, self._timer, self._metrics, self._state_log)
        service.subscribe(self._update_view)
        service.start()
        return service

    def _own_member(self) -> Member:
        settings = self._settings
        is_balancer = settings.role is Role.BALANCER
        return Member(
            name=settings.name,
            role=MemberRole.BALANCER if is_balancer else MemberRole.AGENT,
            target_number=NO_TARGET if settings.number is None else settings.number,
            gossip=settings.gossip,
            tunnel=settings.tunnel,
            relay=settings.relay,
            failure_domain=settings.failure_domain,
        )

    async def _start_admin(self, nursery: trio.Nursery) -> None:
        admin = AdminServer(
            self._settings.admin, self._metrics, lambda: self.status, lambda: self.health
        )
        try:
            await nursery.start(admin.run)
        except OSError as error:
            raise _unavailable("admin", self._settings.admin, error) from error

    def _apply_bundle(self, bundle: Bundle) -> None:
        self._role.apply_bundle(bundle)
        if self._membership is not None:
            self._membership.on_targets(agents_of(bundle))
        self._metrics.revision_in_force.set(bundle.revision)
        self._record(StateKind.CONFIGURATION, bundle.revision)

    def _update_view(self, view: MembershipView) -> None:
        self._role.update_view(view)

    def _leave_when_idle(self, now: float) -> None:
        if self._role.requests_running == 0:
            self._stopped.set()
            return
        self._timer.call_later(LEAVE_CHECK_SECONDS, self._leave_when_idle)

    def _record(
        self, kind: StateKind, state: str | int, details: Mapping[str, str] | None = None
    ) -> None:
        self._state_log.record(StateChange(kind, self._settings.name, state, details or {}))

    def _bound(self, purpose: str, address: Address, make: Callable[[], BoundT]) -> BoundT:
        try:
            return make()
        except OSError as error:
            raise _unavailable(purpose, address, error) from error


def agents_of(bundle: Bundle) -> list[Member]:
    """Return the agents of all targets of a bundle as candidates for membership."""
    return [
        Member(
            name=f"agent-{target.name}",
            role=MemberRole.AGENT,
            target_number=target.number,
            gossip=target.gossip,
            tunnel=target.tunnel,
            relay=target.relay,
            failure_domain=target.failure_domain,
        )
        for service in bundle.services.values()
        for target in service.targets
    ]


def _unavailable(purpose: str, address: Address, error: OSError) -> AddressUnavailable:
    return AddressUnavailable(purpose, address, errno.errorcode.get(error.errno or 0, "OSError"))
