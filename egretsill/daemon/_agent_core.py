"""The parts of an agent that need its target's configuration: flows, tunnel and requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from random import Random

import trio
from aioquic.quic.configuration import QuicConfiguration

from ..admission import Admission
from ..configuration import Address, Bundle, Service, Target
from ..flows import AgentTunnel, FlowDrop, FlowServer, IncomingDatagram, server_configuration
from ..membership import MembershipView
from ..observation import JSON, Metrics
from ..placement import LoadReport, LoadReporter, Placement
from ..requests import BackendClient, Bounds, Exchange, RequestService
from ..settings import DaemonSettings, TlsSettings
from ..steering import (
    ANNOUNCEMENT_INTERVAL_SECONDS,
    AgentSteering,
    CallerPacket,
    ConnectionIdCodec,
    Drop,
    Keep,
    OwnerNotice,
    PassOn,
    SteeringView,
)
from ..supervision import Part, Supervisor
from ..timing import TrioTimerService
from ._load_sampler import LoadSampler
from ._request_metrics import RequestMetrics

NONCE_BYTES = 8
INCARNATION_BITS = 48
REPORT_POLL_SECONDS = 0.1
FRESHNESS_POLL_SECONDS = 0.02
TUNNEL_PORT = "tunnel"


class AgentCore:
    """Serves flows and requests for the one target of an agent.

    Args:
        target: the agent's target as first configured; its number and its service's never change.
        balancers: returns the tunnel endpoints of the reachable balancers.
        send_report: sends a load report to the gossip endpoint of another agent.
        is_view_fresh: returns whether the membership view is fresh enough to place new work.
        on_backend_result: called after each request to the backend server with whether it
            answered.
        nursery: runs the tasks that serve requests.
        supervisor: contains unexpected exceptions of single pieces of work.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        tls: TlsSettings,
        bundle: Bundle,
        target: Target,
        timer: TrioTimerService,
        metrics: Metrics,
        random: Random,
        codec: ConnectionIdCodec,
        balancers: Callable[[], Sequence[Address]],
        send_report: Callable[[Address, LoadReport], object],
        is_view_fresh: Callable[[], bool],
        on_backend_result: Callable[[bool], None],
        nursery: trio.Nursery,
        supervisor: Supervisor,
    ) -> None:
        self._bundle = bundle
        self._target = target
        self._timer = timer
        self._metrics = metrics
        self._random = random
        self._supervisor = supervisor
        self._codec = codec
        self._send_report = send_report
        self._is_view_fresh = is_view_fresh
        self._idle_seconds = settings.flows.idle_seconds
        self._draining = False
        service = bundle.services[target.service]
        self._service_number = service.number
        self._observer = RequestMetrics(metrics, on_backend_result)
        self._admission = Admission(target.slots, target.connections, service.limits, random)
        self._placement = Placement(target.number, service, random)
        self._reporter = LoadReporter(target.number, service, random)
        self._requests = self._make_requests(settings)
        self._sampler = LoadSampler(
            target.number, timer.epoch_milliseconds, timer.now, self._admission
        )
        self._steering = AgentSteering(
            target.number,
            service.number,
            codec,
            owns_flow=self._owns_flow,
            is_draining=lambda: self._draining,
            started_at=timer.now,
            placement_delay_seconds=settings.flows.placement_delay_seconds,
        )
        self._steering.apply_bundle(bundle, timer.now)
        self._tunnel = AgentTunnel(
            settings.tunnel, target.number, self._services, lambda: self._draining, supervisor
        )
        self._flows = FlowServer(
            configuration=self._make_configuration(tls),
            timer=timer,
            issue_connection_id=self._issue_connection_id,
            serve=self._serve,
            send=self._tunnel.send,
            balancers=balancers,
            nursery=nursery,
            supervisor=supervisor,
            maximum_flows=settings.flows.maximum_flows,
            flows_per_second=settings.flows.handshakes_per_second,
            keep_alive_seconds=settings.flows.keep_alive_seconds,
        )
        self._tunnel.set_receivers(self._receive, self._record_owner)

    @property
    def requests(self) -> RequestService:
        """Return the request service, which also serves relay links of other agents."""
        return self._requests

    @property
    def backend(self) -> Address:
        """Return the endpoint of the backend server."""
        return self._target.backend

    @property
    def packets(self) -> int:
        """Return the number of packets received from callers."""
        return self._flows.counts.datagrams

    @property
    def flows_open(self) -> int:
        """Return the number of open flows."""
        return self._flows.open_flows

    @property
    def requests_running(self) -> int:
        """Return the number of requests in progress."""
        return self._requests.running

    async def run(self) -> None:
        """Serve packets and requests until cancelled, then close the tunnel; runs only once."""
        subscriptions = (
            self._timer.subscribe(REPORT_POLL_SECONDS, self._poll_report),
            self._timer.subscribe(ANNOUNCEMENT_INTERVAL_SECONDS, self._announce_target),
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._requests.run)
                nursery.start_soon(self._supervisor.run, Part.TUNNEL, self._tunnel.run)
        finally:
            for subscription in subscriptions:
                subscription.cancel()
            self._tunnel.close()

    def apply_bundle(self, bundle: Bundle) -> None:
        """Apply a new configuration revision."""
        self._bundle = bundle
        now = self._timer.now
        self._steering.apply_bundle(bundle, now)
        service = bundle.services.get(self._target.service)
        if service is None:
            return
        self._placement.update_service(service)
        self._reporter.update_service(service)
        for target in service.targets:
            if target.number == self._target.number:
                self._target = target
                self._requests.change_bounds(target.slots, target.connections, service.limits)

    def update_view(self, view: MembershipView) -> None:
        """Apply a new membership view to the placement of new work."""
        self._steering.update_view(
            SteeringView(draining=view.leaving, unresponsive=view.unresponsive)
        )
        # The view doesn't list this process itself. Suspects stay available, as they may still
        # answer in time.
        absent = view.leaving | view.dead | view.never_seen
        self._placement.set_unavailable(absent - {self._target.number})

    def receive_report(self, report: LoadReport, sender: Address) -> None:
        """Process a load report of another agent."""
        self._placement.on_report(report, self._timer.now)

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Use new connection-ID keys for IDs that are issued from now on."""
        self._codec = codec
        self._steering.replace_codec(codec)

    def replace_certificate(self, tls: TlsSettings) -> None:
        """Use a new certificate for flows that open from now on."""
        self._flows.replace_configuration(self._make_configuration(tls))

    def stop_new_work(self) -> None:
        """Stop accepting new work."""
        self._draining = True
        self._requests.stop_new_work()
        self._poll_report(self._timer.now)

    def resume_new_work(self) -> None:
        """Accept new work again."""
        self._draining = False
        self._requests.resume_new_work()
        self._poll_report(self._timer.now)

    def send_goaway(self) -> None:
        """Send GOAWAY on every flow, so that callers open new requests on other flows."""
        self._flows.send_goaway()

    def close_idle_flows(self) -> None:
        """Close flows that were sent a GOAWAY and have no request in progress."""
        self._flows.close_idle_flows()

    def update_gauges(self) -> None:
        """Update the metrics that are sampled periodically."""
        admission = self._admission
        self._metrics.flows_open.set(self._flows.open_flows)
        self._metrics.slots.set(admission.slots)
        self._metrics.slots_in_use.set(admission.running)
        self._metrics.requests_queued.set(admission.queued)
        self._metrics.subscriptions_open.set(admission.open_connections)
        self._metrics.uploads_open.set(admission.uploads)
        self._metrics.relay_links_open.set(self._requests.links)
        self._metrics.draining.set(int(self._draining))
        self._metrics.flows_opened.raise_to(self._flows.counts.opened)
        for reason, count in self._flows.counts.closed.items():
            self._metrics.flows_closed.raise_to(count, reason)
        for drop, count in self._drops().items():
            self._metrics.datagrams_dropped.raise_to(count, TUNNEL_PORT, drop)

    def status(self) -> Mapping[str, JSON]:
        """Return the entries of the status page for the agent."""
        return {
            "target": self._target.name,
            "service": self._target.service,
            "slots": self._admission.slots,
            "slots_in_use": self._admission.running,
            "queued": self._admission.queued,
            "subscriptions": self._admission.open_connections,
            "refusals": dict(self._observer.refusals),
            "dropped": {drop.value: count for drop, count in self._drops().items()},
        }

    def _drops(self) -> Mapping[FlowDrop, int]:
        return Counter(self._tunnel.drops) + self._flows.counts.drops

    def _make_configuration(self, tls: TlsSettings) -> QuicConfiguration:
        return server_configuration(tls.certificate, tls.key, self._idle_seconds)

    def _make_requests(self, settings: DaemonSettings) -> RequestService:
        bounds = Bounds(
            connect_seconds=settings.backend.connect_seconds,
            silence_seconds=settings.backend.silence_seconds,
        )
        return RequestService(
            own_target_number=self._target.number,
            own_service=self._target.service,
            incarnation=self._random.getrandbits(INCARNATION_BITS),
            timer=self._timer,
            services=self._service,
            admission=self._admission,
            placement=self._placement,
            backend=BackendClient(self._target.backend, self._timer, bounds),
            supervisor=self._supervisor,
            observer=self._observer,
        )

    def _service(self, name: str) -> Service | None:
        return self._bundle.services.get(name)

    def _services(self) -> Mapping[int, str]:
        # The service is served even after the configuration has removed the target.
        return {self._service_number: self._target.service}

    def _issue_connection_id(self, service: str) -> bytes:
        nonce = self._random.randbytes(NONCE_BYTES)
        return self._codec.encode(self._service_number, self._target.number, nonce)

    def _owns_flow(self, connection_id: bytes) -> bool:
        return self._flows.knows(connection_id)

    async def _serve(self, exchange: Exchange) -> None:
        while not self._is_view_fresh():
            await self._timer.sleep(FRESHNESS_POLL_SECONDS)
        await self._requests.serve(exchange)

    def _receive(self, datagram: IncomingDatagram, packet: CallerPacket, sender: Address) -> None:
        match self._steering.decide(packet, sender, self._timer.now):
            case Keep():
                self._flows.receive(datagram)
            case PassOn(tunnel, passed, balancer, notice):
                self._metrics.first_packets_rerouted.increment("passed-on")
                self._tunnel.send_message(passed, tunnel)
                self._tunnel.send_message(notice, balancer)
            case Drop(reason):
                self._metrics.datagrams_dropped.increment(TUNNEL_PORT, reason)

    def _record_owner(self, notice: OwnerNotice) -> None:
        self._steering.retain_owner(notice, self._timer.now)

    def _announce_target(self, now: float) -> None:
        if self._flows.open_flows:
            for announcement in self._steering.announcements():
                self._tunnel.send_message(announcement.notice, announcement.tunnel)

    def _poll_report(self, now: float) -> None:
        sending = self._reporter.poll(self._sampler.sample(self._draining, now), now)
        service = self._bundle.services.get(self._target.service)
        if sending is None or service is None:
            return
        gossip = {each.number: each.gossip for each in service.targets}
        for number in sending.targets:
            if number in gossip:
                self._send_report(gossip[number], sending.report)
