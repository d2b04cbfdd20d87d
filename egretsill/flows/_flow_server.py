"""Server for all flows that an agent owns."""

from __future__ import annotations

import ssl
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import trio
from aioquic._buffer import Buffer
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import QuicPacketType, QuicProtocolVersion, pull_quic_header

from ..configuration import Address
from ..requests import Exchange
from ..supervision import Part, Supervisor
from ..timing import TimerService
from ._connection import OwnedConnection
from ._datagram import IncomingDatagram, OutgoingDatagram
from ._drops import FlowDrop
from ._flow import CloseReason, Flow, FlowContext
from ._flow_exchange import FlowExchange
from ._flow_rate import FlowRate
from ._return_path import ReturnPath

CONNECTION_ID_BYTES = 17
IDLE_SECONDS = 60.0
KEEP_ALIVE_SECONDS = 15.0
STREAM_WINDOW_BYTES = 131_072
CONNECTION_WINDOW_BYTES = 1_048_576
SMALLEST_INITIAL_BYTES = 1200


@dataclass(slots=True)
class FlowCounts:
    """Counts of datagrams and flows since the start.

    Attributes:
        closed: number of ended flows by reason.
        drops: number of datagrams that neither reached a flow nor opened one, by reason.
    """

    opened: int = 0
    datagrams: int = 0
    closed: Counter[CloseReason] = field(default_factory=Counter)
    drops: Counter[FlowDrop] = field(default_factory=Counter)


def server_configuration(
    certificate: Path, private_key: Path, idle_seconds: float = IDLE_SECONDS
) -> QuicConfiguration:
    """Return the QUIC configuration of an agent, without session tickets and thus without 0-RTT.

    Args:
        certificate: PEM file of the certificate chain.
        private_key: PEM file of the private key.
        idle_seconds: time without a packet after which a connection is closed.
    """
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=list(H3_ALPN),
        connection_id_length=CONNECTION_ID_BYTES,
        idle_timeout=idle_seconds,
        max_stream_data=STREAM_WINDOW_BYTES,
        max_data=CONNECTION_WINDOW_BYTES,
        verify_mode=ssl.CERT_NONE,
    )
    configuration.load_cert_chain(certificate, private_key)
    return configuration


class FlowServer:
    """Opens flows, dispatches datagrams to them and serves their requests.

    Args:
        configuration: from `server_configuration`; replaced by `replace_configuration`.
        issue_connection_id: takes a service name and returns a new ID that identifies this agent.
        serve: serves one request; runs in `nursery` and is cancelled if the request is withdrawn.
        send: sends one datagram through a balancer.
        balancers: returns the tunnel endpoints of the reachable balancers.
        nursery: runs the tasks that serve requests.
        supervisor: contains unexpected exceptions of single flows and requests.
        maximum_flows: Initial packets beyond this number of open flows are dropped.
        flows_per_second: Initial packets that would open more flows per second are dropped.
        keep_alive_seconds: time without a datagram from a caller after which a ping is sent.
    """

    def __init__(
        self,
        configuration: QuicConfiguration,
        timer: TimerService,
        issue_connection_id: Callable[[str], bytes],
        serve: Callable[[Exchange], Awaitable[None]],
        send: Callable[[OutgoingDatagram], None],
        balancers: Callable[[], Sequence[Address]],
        nursery: trio.Nursery,
        supervisor: Supervisor,
        maximum_flows: int = 20_000,
        flows_per_second: int = 20_000,
        keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
    ) -> None:
        self._configuration = configuration
        self._timer = timer
        self._issue_connection_id = issue_connection_id
        self._serve = serve
        self._balancers = balancers
        self._nursery = nursery
        self._supervisor = supervisor
        self._maximum_flows = maximum_flows
        self._rate = FlowRate(flows_per_second)
        self._context = FlowContext(
            timer=timer,
            serve=self._start_serving,
            send=send,
            on_connection_ids_changed=self._update_connection_ids,
            on_closed=self._on_closed,
            keep_alive_seconds=keep_alive_seconds,
        )
        self._flows: dict[bytes, Flow] = {}
        self._open_flows: set[Flow] = set()
        self._counts = FlowCounts()

    @property
    def counts(self) -> FlowCounts:
        """Return the counts since the start."""
        return self._counts

    @property
    def open_flows(self) -> int:
        """Return the number of open flows."""
        return len(self._open_flows)

    @property
    def open_requests(self) -> int:
        """Return the number of requests in progress on all flows."""
        return sum(flow.open_requests for flow in self._open_flows)

    def replace_configuration(self, configuration: QuicConfiguration) -> None:
        """Set the certificate and other settings for flows opened from now on."""
        self._configuration = configuration

    def knows(self, connection_id: bytes) -> bool:
        """Return whether a connection ID belongs to a flow that is open on this agent."""
        return connection_id in self._flows

    def receive(self, datagram: IncomingDatagram) -> None:
        """Dispatch a datagram to its flow, or open a flow for it."""
        self._counts.datagrams += 1
        payload = datagram.payload
        try:
            header = pull_quic_header(Buffer(data=payload), host_cid_length=CONNECTION_ID_BYTES)
        except ValueError:
            self._counts.drops[FlowDrop.MALFORMED] += 1
            return
        flow = self._flows.get(header.destination_cid)
        if flow is None:
            is_initial = header.packet_type == QuicPacketType.INITIAL
            known_version = header.version in list(QuicProtocolVersion)
            if not is_initial or not known_version or len(payload) < SMALLEST_INITIAL_BYTES:
                self._counts.drops[FlowDrop.UNKNOWN_FLOW] += 1
                return
            flow = self._open(datagram, header.destination_cid)
            if flow is None:
                return
        elif flow.service != datagram.service:
            self._counts.drops[FlowDrop.WRONG_SERVICE] += 1
            return
        flow.receive(datagram)

    def send_goaway(self) -> None:
        """Send GOAWAY on every flow, so that callers open further requests on other flows."""
        for flow in list(self._open_flows):
            with self._supervisor.contain(Part.FLOWS):
                flow.send_goaway()

    def close_idle_flows(self) -> None:
        """Close, in two steps, the flows that sent GOAWAY and have no request in progress."""
        now = self._timer.now
        for flow in list(self._open_flows):
            with self._supervisor.contain(Part.FLOWS):
                flow.retire(now)

    def close(self) -> None:
        """Close every flow."""
        for flow in list(self._open_flows):
            with self._supervisor.contain(Part.FLOWS):
                flow.close()

    def _open(self, datagram: IncomingDatagram, original_connection_id: bytes) -> Flow | None:
        if len(self._open_flows) >= self._maximum_flows:
            self._counts.drops[FlowDrop.FLOWS_FULL] += 1
            return None
        if not self._rate.admits(self._timer.now):
            self._counts.drops[FlowDrop.FLOW_RATE] += 1
            return None
        service = datagram.service
        connection = OwnedConnection(
            self._configuration, original_connection_id, lambda: self._issue_connection_id(service)
        )
        flow = Flow(connection, datagram, ReturnPath(self._balancers), self._context)
        self._open_flows.add(flow)
        self._update_connection_ids(flow, flow.connection_ids, ())
        self._counts.opened += 1
        return flow

    def _update_connection_ids(
        self, flow: Flow, issued: Sequence[bytes], retired: Sequence[bytes]
    ) -> None:
        if flow not in self._open_flows:
            return
        for identifier in issued:
            self._flows[identifier] = flow
        for identifier in retired:
            self._flows.pop(identifier, None)

    def _on_closed(self, flow: Flow, reason: CloseReason) -> None:
        self._counts.closed[reason] += 1
        self._open_flows.discard(flow)
        for identifier in flow.connection_ids:
            self._flows.pop(identifier, None)

    def _start_serving(self, exchange: FlowExchange) -> None:
        self._nursery.start_soon(self._serve_one, exchange)

    async def _serve_one(self, exchange: FlowExchange) -> None:
        with trio.CancelScope() as scope, self._supervisor.contain(Part.REQUESTS):
            exchange.cancel_with(scope.cancel)
            await self._serve(exchange)
