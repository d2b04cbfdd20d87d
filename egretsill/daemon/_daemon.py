"""The composition root: creates and connects the parts of one daemon and runs them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from random import Random
from typing import Any, TypeAlias, TypeVar

import trio

from ..configuration import (
    CONFIGURATION_TYPES,
    Address,
    Announcement,
    Bundle,
    ConfigurationMessage,
    ConfigurationService,
    DistributionTimes,
    HeadRequest,
    IndexRequest,
    PlatformClient,
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
from ..supervision import Part, Supervisor, describe_failure
from ..timing import TrioTimerService
from ..wire import StreamDecoder, StreamServer
from ._agent_role import AgentRole
from ._balancer_role import BalancerRole
from ._configuration_link import fetch_configuration, serve_requests
from ._drain_control import DrainControl, HealthPoller
from ._exceptions import AddressUnavailable, AgentSettingsIncomplete, TlsUnusable
from ._members import agents_of, balancers_of, own_member, peers_of
from ._pages import Pages
from ._stream_endpoint import StreamEndpoint
from ._tls import check_tls

GAUGE_SECONDS = 1.0

BoundT = TypeVar("BoundT")
DaemonRole: TypeAlias = BalancerRole | AgentRole


class Daemon:
    """One process of the system, as a balancer or as an agent.

    Raises:
        AddressUnavailable: if the tunnel or gossip endpoint can't be bound.
        AgentSettingsIncomplete: if an agent has no target number or certificate.
        TlsUnusable: if an agent's certificate or private key can't be read.
    """

    def __init__(self, settings: DaemonSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._timer = TrioTimerService()
        self._metrics = Metrics()
        self._state_log = StateLog(settings.name)
        self._endpoints = EndpointStates(self._metrics, self._note_endpoint_change)
        self._supervisor = Supervisor(self._record_failure)
        self._stopped = trio.Event()
        self._backend_state = BackendState.HEALTHY
        self._role = self._make_role()
        try:
            self._gossip = self._bind_gossip()
        except AddressUnavailable:
            self._role.close()
            raise
        self._streams = StreamEndpoint(
            settings.relay, {**RELAY_TYPES, **CONFIGURATION_TYPES}, self._metrics
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
        )

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
        """Run until shut down or cancelled; report as started once every endpoint is bound.

        The admin endpoint isn't waited for: it is opened as soon as its address is free.

        Raises:
            AddressUnavailable: if another endpoint can't be bound.
        """
        try:
            await self._run(task_status)
        finally:
            self._role.close()
            self._gossip.close()

    def shut_down(self) -> None:
        """Shut down gracefully: refuse new work, and end once the work in progress is done."""
        self._drain.terminate()

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
            nursery.start_soon(self._timer.run)
            await nursery.start(self._gossip.run)
            await self._start(nursery, "relay", self._settings.relay, self._streams.run)
            await nursery.start(self._make_admin().run)
            self._membership.start()
            nursery.start_soon(self._configuration.run)
            nursery.start_soon(self._role.run)
            nursery.start_soon(self._health.run)
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
                return _bind("tunnel", settings.tunnel, self._make_balancer)
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
                )

    def _make_balancer(self) -> BalancerRole:
        return BalancerRole(
            self._settings, self._timer, self._metrics, lambda: self._membership.is_fresh
        )

    def _bind_gossip(self) -> GossipSocket:
        types = {**MEMBERSHIP_TYPES, **LOAD_TYPES, **CONFIGURATION_TYPES, **DRAINING_TYPES}
        listen = self._settings.gossip
        fleet = self._settings.fleet
        return _bind("gossip", listen, lambda: GossipSocket(listen, types, self._metrics, fleet))

    def _make_membership(self) -> MembershipService:
        membership = Membership(
            own_member(self._settings),
            self._timer.epoch_milliseconds,
            self._random,
            self._timer.now,
            self._settings.seeds,
        )
        return MembershipService(
            membership, self._gossip, self._timer, self._metrics, self._state_log
        )

    def _make_configuration(self) -> ConfigurationService:
        settings = self._settings
        exchange = settings.exchange
        return ConfigurationService(
            name=settings.name,
            failure_domain=settings.failure_domain,
            relay=settings.relay,
            platform=self._make_platform_client(),
            vm_platform=self._make_platform_client(),
            timer=self._timer,
            random=self._random,
            peers=lambda: peers_of(self._membership.view),
            send=self._gossip.send,
            fetch=fetch_configuration,
            seeds=settings.seeds,
            times=DistributionTimes(
                period=exchange.period_seconds,
                fetch=exchange.fetch_seconds,
                start=exchange.start_seconds,
                start_spread=exchange.start_spread_seconds,
                silence=exchange.silence_seconds,
                watch=settings.platform.watch_seconds,
                vm_list=settings.membership.vm_list_seconds,
            ),
        )

    def _make_platform_client(self) -> PlatformClient:
        platform = self._settings.platform
        return PlatformClient(platform.addresses, platform.read_seconds)

    def _make_admin(self) -> AdminServer:
        listen = self._settings.admin
        return AdminServer(
            StreamServer(listen, self._endpoints.observer("admin", listen)),
            self._metrics,
            lambda: self._pages.status,
            lambda: self._pages.health,
            self._supervisor,
        )

    def _record_failure(self, part: Part, error: BaseException) -> None:
        described = describe_failure(error)
        self._metrics.failures_contained.increment(part, described.error)
        self._state_log.record(
            StateChange(
                StateKind.FAILURE,
                part.value,
                f"{described.error} at {described.location}",
                {"detail": described.detail},
            )
        )

    def _make_health_poller(self) -> HealthPoller:
        return HealthPoller(
            self._backend, self._settings.backend, self._timer, self._on_backend_state
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

    async def _start(
        self,
        nursery: trio.Nursery,
        purpose: str,
        address: Address,
        run: Callable[..., Awaitable[object]],
    ) -> None:
        try:
            await nursery.start(run)
        except OSError as error:
            raise AddressUnavailable.caused_by(error, purpose, address) from error

    def _on_bundle(self, bundle: Bundle) -> None:
        self._role.apply_bundle(bundle)
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
        self._role.update_view(view)
        self._configuration.set_unreachable(view.unreachable_names)

    def _on_conflict(self, conflict: RevisionConflict) -> None:
        self._metrics.configuration_conflicts.increment()
        self._record(StateKind.CONFIGURATION_CONFLICT, conflict.revision)

    def _note_endpoint_change(self, change: EndpointUnavailable | EndpointOpened) -> None:
        match change:
            case EndpointUnavailable(endpoint, address, error):
                details = {"address": str(address), "error": error}
                state = StateChange(StateKind.ENDPOINT, endpoint, "unavailable", details)
            case EndpointOpened(endpoint, address):
                details = {"address": str(address)}
                state = StateChange(StateKind.ENDPOINT, endpoint, "open", details)
        self._state_log.record(state)

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
        counters = self._configuration.counters
        reads = self._metrics.platform_reads
        reads.raise_to(counters.platform_reads - counters.platform_failures, "answered")
        reads.raise_to(counters.platform_failures, "failed")
        self._record(StateKind.PLATFORM, self._pages.platform_state)
        ignored = self._metrics.configuration_ignored
        ignored.raise_to(self._configuration.older_ignored, "older")
        ignored.raise_to(counters.torn, "torn")
        ignored.raise_to(counters.malformed, "invalid")

    def _record(
        self, kind: StateKind, state: str | int, details: Mapping[str, str] | None = None
    ) -> None:
        self._state_log.record(StateChange(kind, self._settings.name, state, details or {}))


def _bind(purpose: str, address: Address, make: Callable[[], BoundT]) -> BoundT:
    try:
        return make()
    except OSError as error:
        raise AddressUnavailable.caused_by(error, purpose, address) from error
