"""The parts of an agent that need to know its target: flows, tunnel, gate and relay."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random

import trio

from ..admission import Admission
from ..configuration import Address, Bundle, Service, Target
from ..flows import AgentTunnel, FlowServer, IncomingDatagram, server_configuration
from ..observation import JSON
from ..requests import BackendClient, Exchange, RequestService
from ..settings import DaemonSettings, TlsSettings
from ..steering import CallerPacket, ConnectionIdCodec
from ..timing import TrioTimerService
from ._placeholder import OwnTargetOnly

NONCE_BYTES = 8


class AgentCore:
    """Everything of an agent that belongs to its one target.

    Args:
        target: the agent's target as first configured; its numbers never change.
        balancers: returns the tunnel endpoints of the balancers that answer.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        tls: TlsSettings,
        bundle: Bundle,
        target: Target,
        timer: TrioTimerService,
        random: Random,
        codec: ConnectionIdCodec,
        balancers: Callable[[], Sequence[Address]],
        nursery: trio.Nursery,
    ) -> None:
        self._bundle = bundle
        self._target = target
        self._timer = timer
        self._random = random
        self._codec = codec
        self._draining = False
        service = bundle.services[target.service]
        self._admission = Admission(target.slots, target.connections, service.limits, random)
        self._backend = BackendClient(target.backend, timer)
        self._requests = RequestService(
            own_target_number=target.number,
            own_service=target.service,
            incarnation=random.getrandbits(48),
            timer=timer,
            services=self._service,
            admission=self._admission,
            placement=OwnTargetOnly(target.number),
            backend=self._backend,
        )
        self._tunnel = AgentTunnel(
            settings.tunnel, target.number, self._own_services, lambda: self._draining
        )
        self._flows = FlowServer(
            configuration=server_configuration(tls.certificate, tls.key),
            timer=timer,
            issue_connection_id=self._issue_connection_id,
            serve=self._serve,
            send=self._tunnel.send,
            balancers=balancers,
            nursery=nursery,
            maximum_flows=settings.flows.maximum_flows,
        )
        self._tunnel.receive_with(self._receive)

    @property
    def flows_open(self) -> int:
        """Return how many flows are open."""
        return self._flows.open_flows

    @property
    def requests_running(self) -> int:
        """Return how many requests are in progress."""
        return self._flows.open_requests

    async def run(self) -> None:
        """Take packets and requests until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._requests.run)
            await self._tunnel.run()

    def apply_bundle(self, bundle: Bundle) -> None:
        """Work by this configuration from now on."""
        self._bundle = bundle

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Issue connection IDs under other keys from now on."""
        self._codec = codec

    def start_draining(self) -> None:
        """Start no new work, and ask callers to open further requests elsewhere."""
        if not self._draining:
            self._draining = True
            self._requests.stop_new_work()
            self._flows.send_goaway()

    def status(self) -> Mapping[str, JSON]:
        """Return what the status page says of the agent."""
        return {
            "target": self._target.name,
            "service": self._target.service,
            "slots": self._admission.slots,
            "slots_in_use": self._admission.running,
            "queued": self._admission.queued,
            "subscriptions": self._admission.open_connections,
            "dropped": dict(self._tunnel.drops),
        }

    def _service(self, name: str) -> Service | None:
        return self._bundle.services.get(name)

    def _own_services(self) -> Mapping[int, str]:
        service = self._bundle.services.get(self._target.service)
        return {} if service is None else {service.number: service.name}

    def _issue_connection_id(self, service: str) -> bytes:
        number = self._bundle.services[service].number
        nonce = self._random.randbytes(NONCE_BYTES)
        return self._codec.encode(number, self._target.number, nonce)

    async def _serve(self, exchange: Exchange) -> None:
        await self._requests.serve(exchange)

    def _receive(self, datagram: IncomingDatagram, packet: CallerPacket) -> None:
        self._flows.receive(datagram)
