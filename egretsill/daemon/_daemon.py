"""The composition root: creates and connects the parts of one daemon and runs them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from functools import partial
from random import Random
from typing import Any, TypeAlias

import trio

from ..configuration import (
    CONFIGURATION_TYPES,
    Address,
    Announcement,
    Bundle,
    ConfigurationMessage,
    ConfigurationService,
    HeadRequest,
    IndexRequest,
    RevisionConflict,
    ServicesRequest,
    Vm,
)
from ..draining import DRAINING_TYPES, BackendState, LeavingNotice, leaving_notices
from ..membership import (
    MEMBERSHIP_TYPES,
    GossipSocket,
    Membership,
    MembershipService,
    MembershipView,
)
from ..observation import (
    JSON,
    AdminServer,
    EndpointOpened,
    EndpointStates,
    EndpointUnavailable,
    Metrics,
    StateChange,
    StateKind,
    StateLog,
)
from ..placement import LOAD_TYPES, LoadReport
from ..requests import RELAY_TYPES
from ..settings import DaemonSettings, Role, SettingsRejected
from ..steering import ConnectionIdCodec
from ..supervision import Part, Supervisor, SupervisorFactory, leaves
from ..timing import TrioTimerService
from ..wire import StreamDecoder, StreamServer
from ._agent_role import AgentRole
from ._balancer_role import BalancerRole
from ._binding import bind
from ._configuration_link import serve_requests
from ._configuration_service import make_configuration_service, update_configuration_metrics
from ._drain_control import DrainControl, HealthPoller
from ._endpoint_log import endpoint_state_change
from ._exceptions import (
    AddressUnavailable,
    AgentSettingsIncomplete,
    TlsUnusable,
    is_address_unavailable,
)
from ._members import agents_of, balancers_of, own_member, peers_of
from ._pages import Pages
from ._state_failure_log import StateFailureLog
from ._stream_endpoint import StreamEndpoint
from ._tls import check_tls

GAUGE_SECONDS = 1.0

DaemonRole: TypeAlias = BalancerRole | AgentRole


class Daemon:
    """One process of the system, as a balancer or as an agent.

    Raises:
        AddressUnavailable: if the tunnel or gossip endpoint can't be bound.
        AgentSettingsIncomplete: if an agent has no target number or certificate.
        TlsUnusable: if an agent's certificate or private key can't be read.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        random: Random,
        make_supervisor: SupervisorFactory = Supervisor,
    ) -> None:
        self._settings = settings
        self._random = random
        self._timer = TrioTimerService()
        self._metrics = Metrics()
        self._state_log = StateLog(settings.name)
        self._failures = StateFailureLog(self._metrics, self._state_log, lambda: self._timer.now)
        self._supervisor = make_supervisor(self._failures.record)
        self._timer.contain_failures(partial(self._supervisor.note_failure, Part.TIMERS))
        self._endpoints = EndpointStates(self._metrics, self._note_endpoint_change)
        self._stopped = trio.Event()
        self._backend_state = BackendState.HEALTHY
        self._role = self._make_role()
        try:
            self._gossip = self._bind_gossip()
        except AddressUnavailable:
            self._role.close()
            raise
        self._streams = StreamEndpoint(
            settings.relay,
            {**RELAY_TYPES, **CONFIGURATION_TYPES},
            self._metrics,
            self._supervisor,
        )
        self._membership = self._make_membership()
        self._configuration = self._make_configuration()
        self._health = self._make_health_poller()
        self._drain = DrainControl(
            self._role,
            self._timer,
            settings.shutdown.linger_seconds,
            settings.shutdown.drain_seconds,
            self._announce_draining,
            self._stopped.set,
            self._record,
        )
        self._pages = Pages(
            settings,
            self._role,
            self._membership,
            self._configuration,
            self._drain,
            lambda: self._backend_state,
            self._supervisor,
        )

    @property
    def supervisor(self) -> Supervisor:
        """Return the supervisor of this process, for work beside the daemon's own."""
        return self._supervisor

    @property
    def settings(self) -> DaemonSettings:
        """Return the settings in use."""
        return self._settings

    @property
    def revision(self) -> int:
        """Return the revision in force, or 0 before the first."""
        return self._configuration.revision or 0

    @property
    def status(self) -> Mapping[str, JSON]:
        """Return the content of the status page."""
        return self._pages.status

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until shut down or cancelled; report as started once bound, but for admin.

        Raises:
            AddressUnavailable: if another endpoint can't be bound.
        """
        try:
            await self._run(task_status)
        except Exception as error:
            for each in leaves(error):
                self._failures.record_end(each)
            raise
        finally:
            self._role.close()
            self._gossip.close()

    def shut_down(self) -> None:
        """Shut down gracefully: refuse new work, and end once the work in progress is done."""
        try:
            self._drain.terminate()
        except Exception as error:
            self._supervisor.note_failure(Part.SHUTDOWN, error)
            self._stopped.set()

    def replace_settings(self, settings: DaemonSettings) -> None:
        """Apply the settings that may change at run time: connection-ID keys and certificate.

        Raises:
            TlsUnusable: if the certificate or key can't be read; nothing is changed then.
        """
        if settings.tls is not None:
            check_tls(settings.tls)
        self._settings = settings
        self._role.replace_codec(ConnectionIdCodec(settings.connection_id_keys))
        if isinstance(self._role, AgentRole) and settings.tls is not None:
            self._role.replace_certificate(settings.tls)
        rotations = ",".join(str(each.rotation) for each in settings.connection_id_keys)
        self._record(StateKind.KEYS, rotations)

    def reject_settings(self, error: SettingsRejected | TlsUnusable) -> None:
        """Log that re-read settings were rejected; the previous settings stay in use."""
        self._record(StateKind.PROCESS, "settings-rejected", {"problem": str(error)})

    async def _run(self, task_status: trio.TaskStatus[None]) -> None:
        self._connect_parts()
        async with trio.open_nursery() as nursery:
            run = self._supervisor.run
            nursery.start_soon(run, Part.TIMERS, self._timer.run)
            nursery.start_soon(run, Part.GOSSIP, self._gossip.run)
            await self._start_relay(nursery)
            await nursery.start(self._supervisor.start, Part.ADMIN, self._make_admin().run)
            self._membership.start()
            nursery.start_soon(run, Part.CONFIGURATION, self._configuration.run)
            nursery.start_soon(run, Part.ROLE, self._role.run, is_address_unavailable)
            nursery.start_soon(run, Part.BACKEND_HEALTH, self._health.run)
            self._drain.start()
            self._record(StateKind.PROCESS, "ready")
            task_status.started()
            await self._stopped.wait()
            self._membership.stop()
            nursery.cancel_scope.cancel()
        self._record(StateKind.PROCESS, "stopped")

    def _make_role(self) -> DaemonRole:
        settings = self._settings
        match settings.role:
            case Role.BALANCER:
                return bind("tunnel", settings.tunnel, self._make_balancer)
            case Role.AGENT:
                if settings.tls is None or settings.number is None:
                    raise AgentSettingsIncomplete(settings.name)
                check_tls(settings.tls)
                return AgentRole(
                    settings,
                    settings.tls,
                    settings.number,
                    self._timer,
                    self._metrics,
                    self._send_report,
                    lambda: self._membership.is_fresh,
                    self._on_backend_request,
                    self._random,
                    self._supervisor,
                )

    def _make_balancer(self) -> BalancerRole:
        return BalancerRole(
            self._settings,
            self._timer,
            self._metrics,
            lambda: self._membership.is_fresh,
            self._supervisor,
        )

    def _bind_gossip(self) -> GossipSocket:
        types = {**MEMBERSHIP_TYPES, **LOAD_TYPES, **CONFIGURATION_TYPES, **DRAINING_TYPES}
        listen = self._settings.gossip
        fleet = self._settings.fleet
        return bind(
            "gossip",
            listen,
            lambda: GossipSocket(listen, types, self._metrics, self._supervisor, fleet),
        )

    def _make_membership(self) -> MembershipService:
        membership = Membership(
            own_member(self._settings),
            self._timer.epoch_milliseconds,
            self._random,
            self._timer.now,
            self._settings.seeds,
        )
        return MembershipService(
            membership, self._gossip, self._timer, self._metrics, self._state_log, self._supervisor
        )

    def _make_configuration(self) -> ConfigurationService:
        return make_configuration_service(
            self._settings,
            self._timer,
            self._random,
            lambda: peers_of(self._membership.view),
            self._gossip.send,
            self._supervisor,
        )

    def _make_admin(self) -> AdminServer:
        listen = self._settings.admin
        return AdminServer(
            StreamServer(listen, self._endpoints.observer("admin", listen)),
            self._metrics,
            lambda: self._pages.status,
            lambda: self._pages.health,
            self._supervisor,
        )

    def _make_health_poller(self) -> HealthPoller:
        return HealthPoller(
            self._backend,
            self._settings.backend,
            self._timer,
            self._on_backend_state,
            self._supervisor,
        )

    def _connect_parts(self) -> None:
        self._membership.subscribe(self._on_view)
        self._configuration.subscribe(self._on_bundle)
        self._configuration.subscribe_vms(self._on_vms)
        self._configuration.subscribe_conflicts(self._on_conflict)
        self._gossip.register([Announcement], self._configuration.receive)
        self._gossip.register([LeavingNotice], self._on_leaving_notice)
        self._streams.register(
            [HeadRequest, IndexRequest, ServicesRequest], self._serve_configuration_requests
        )
        self._timer.subscribe(GAUGE_SECONDS, self._update_gauges)
        if isinstance(self._role, AgentRole):
            self._gossip.register([LoadReport], self._role.receive_report)
            self._streams.register(RELAY_TYPES.values(), self._role.serve_relay)

    async def _serve_configuration_requests(
        self, stream: trio.abc.Stream, first: ConfigurationMessage, decoder: StreamDecoder[Any]
    ) -> None:
        await serve_requests(self._configuration.answer, stream, first, decoder)

    async def _start_relay(self, nursery: trio.Nursery) -> None:
        try:
            await nursery.start(self._supervisor.start, Part.RELAY, self._streams.run, True)
        except OSError as error:
            raise AddressUnavailable.caused_by(error, "relay", self._settings.relay) from error

    def _on_bundle(self, bundle: Bundle) -> None:
        with self._supervisor.contain(Part.CONFIGURATION):
            self._role.apply_bundle(bundle)
        with self._supervisor.contain(Part.CONFIGURATION):
            self._membership.on_targets(agents_of(bundle))
        number = self._role.target_number
        if number is not None:
            self._drain.on_bundle(bundle, number)
        self._metrics.revision_in_force.set(bundle.revision)
        self._record(StateKind.CONFIGURATION, bundle.revision)

    def _on_vms(self, vms: Sequence[Vm]) -> None:
        self._membership.on_vm_list(balancers_of(vms))
        own = [each for each in vms if each.name == self._settings.name]
        self._drain.on_vm(own[0] if own else None)
        serving = {each.name: each.gossip for each in self._membership.view.alive}
        for sending in leaving_notices(vms, serving, self._settings.name):
            self._gossip.send(sending.to, sending.notice)

    def _on_leaving_notice(self, notice: LeavingNotice, sender: Address) -> None:
        if notice.name == self._settings.name:
            self._drain.on_leaving_notice()

    def _on_view(self, view: MembershipView) -> None:
        with self._supervisor.contain(Part.MEMBERSHIP):
            self._role.update_view(view)
        self._configuration.set_unreachable(view.unreachable_names)

    def _on_conflict(self, conflict: RevisionConflict) -> None:
        self._metrics.configuration_conflicts.increment()
        self._record(StateKind.CONFIGURATION_CONFLICT, conflict.revision)

    def _note_endpoint_change(self, change: EndpointUnavailable | EndpointOpened) -> None:
        self._state_log.record(endpoint_state_change(change))

    def _on_backend_request(self, answered: bool) -> None:
        self._health.note_request(answered)

    def _on_backend_state(self, state: BackendState) -> None:
        self._backend_state = state
        self._drain.on_health(state)
        self._record(StateKind.BACKEND, state.value)

    def _backend(self) -> Address | None:
        return self._role.backend

    def _announce_draining(self, draining: bool) -> None:
        self._record(StateKind.TARGET, "draining" if draining else "serving")
        if draining:
            self._membership.leave()
        else:
            self._membership.stay()

    def _send_report(self, gossip: Address, report: LoadReport) -> None:
        self._gossip.send(gossip, report)

    def _update_gauges(self, now: float) -> None:
        self._role.update_gauges()
        update_configuration_metrics(self._configuration, self._metrics)
        self._record(StateKind.PLATFORM, self._pages.platform_state)

    def _record(
        self, kind: StateKind, state: str | int, details: Mapping[str, str] | None = None
    ) -> None:
        self._state_log.record(StateChange(kind, self._settings.name, state, details or {}))
