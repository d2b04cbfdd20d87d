"""The flows of an agent and their callers, connected in memory."""

from __future__ import annotations

import ssl
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import trio
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from ..configuration import Address
from ..flows import FlowServer, IncomingDatagram, OutgoingDatagram, server_configuration
from ..requests import Exchange
from ..stand_ins.certificates import write_certificate
from ..supervision import PropagatingSupervisor
from ..timing import VirtualTimerService

SERVICE = "lookup"
SERVICE_ADDRESS = Address("198.51.100.1", 443)
BALANCER = Address("10.0.0.1", 5000)
AUTHORITY = "service.example"
CONNECTION_ID_PREFIX = b"\x10"
STEP_SECONDS = 0.002
MAXIMUM_HANDSHAKE_ROUNDS = 8


class HandshakeStalled(Exception):
    """A handshake did not complete within `MAXIMUM_HANDSHAKE_ROUNDS`.

    Attributes:
        caller: number of the caller, counted from 1.
    """

    def __init__(self, caller: int) -> None:
        super().__init__(f"handshake of caller {caller} did not complete")
        self.caller = caller


@dataclass(slots=True)
class Caller:
    """The caller's end of a flow.

    Attributes:
        address: source address of its datagrams.
        processor: seconds of processor time used by the caller.
    """

    address: Address
    connection: QuicConnection
    http3: H3Connection | None = None
    processor: float = 0.0

    def receive(self, payload: bytes, now: float) -> None:
        """Process a datagram from the agent."""
        self.connection.receive_datagram(payload, tuple(SERVICE_ADDRESS), now)
        event = self.connection.next_event()
        while event is not None:
            if self.http3 is not None:
                self.http3.handle_event(event)
            event = self.connection.next_event()


@dataclass(slots=True)
class FlowFleet:
    """One agent and its callers.

    Attributes:
        processor: seconds of processor time used by the agent's end.
        datagrams: number of datagrams that the agent sent.
    """

    nursery: trio.Nursery
    serve: Callable[[Exchange], Awaitable[None]]
    timer: VirtualTimerService = field(default_factory=lambda: VirtualTimerService(1000.0))
    sent: list[OutgoingDatagram] = field(default_factory=list)
    processor: float = 0.0
    datagrams: int = 0
    _issued_count: int = 0
    _opened_count: int = 0
    _server: FlowServer | None = None
    _client: QuicConfiguration | None = None

    @property
    def server(self) -> FlowServer:
        """Return the agent's flow server, made on first use."""
        if self._server is None:
            self._server = self._make_server()
        return self._server

    def open_flow(self) -> Caller:
        """Complete a handshake and return the caller's end.

        Raises:
            HandshakeStalled: if it did not complete.
        """
        if self._client is None:
            self._client = _client_configuration()
        self._opened_count += 1
        address = Address(f"192.0.{self._opened_count >> 8 & 255}.{self._opened_count & 255}", 4000)
        start = time.process_time()
        connection = QuicConnection(configuration=self._client)
        connection.connect(tuple(SERVICE_ADDRESS), self.timer.now)
        caller = Caller(address, connection, processor=time.process_time() - start)
        for _ in range(MAXIMUM_HANDSHAKE_ROUNDS):
            if not self.exchange_datagrams(caller):
                break
        if not connection._handshake_complete:
            raise HandshakeStalled(self._opened_count)
        return caller

    def subscribe(self, caller: Caller) -> None:
        """Open a subscription on a flow."""
        caller.http3 = H3Connection(caller.connection)
        stream_id = caller.connection.get_next_available_stream_id()
        head = [(b":method", b"GET"), (b":scheme", b"https"), (b":authority", AUTHORITY.encode())]
        caller.http3.send_headers(stream_id, [*head, (b":path", b"/feed")], end_stream=True)

    def deliver_agent_datagrams(self, callers: Mapping[Address, Caller]) -> None:
        """Deliver the datagrams that the agent sent on its own, and return the callers' replies."""
        pending, self.sent[:] = list(self.sent), []
        self.datagrams += len(pending)
        now = self.timer.now
        for datagram in pending:
            caller = callers[datagram.caller]
            start = time.process_time()
            caller.receive(datagram.payload, now)
            timer = caller.connection.get_timer()
            if timer is not None and timer <= now:
                caller.connection.handle_timer(now)
            payloads = [data for data, _ in caller.connection.datagrams_to_send(now)]
            caller.processor += time.process_time() - start
            for payload in payloads:
                self._deliver(caller, payload)

    def exchange_datagrams(self, caller: Caller) -> int:
        """Deliver the pending datagrams of both ends, and return how many there were."""
        start = time.process_time()
        payloads = [data for data, _ in caller.connection.datagrams_to_send(self.timer.now)]
        middle = time.process_time()
        caller.processor += middle - start
        for payload in payloads:
            self._deliver(caller, payload)
        self.timer.advance(STEP_SECONDS)
        start = time.process_time()
        self.processor += start - middle
        replies, self.sent[:] = list(self.sent), []
        self.datagrams += len(replies)
        for reply in replies:
            caller.receive(reply.payload, self.timer.now)
        caller.processor += time.process_time() - start
        return len(payloads) + len(replies)

    def _deliver(self, caller: Caller, payload: bytes) -> None:
        datagram = IncomingDatagram(caller.address, SERVICE, SERVICE_ADDRESS, BALANCER, payload)
        self.server.receive(datagram)

    def _make_server(self) -> FlowServer:
        with tempfile.TemporaryDirectory() as directory:
            files = write_certificate(Path(directory), [AUTHORITY])
            configuration = server_configuration(files.certificate, files.private_key)
        return FlowServer(
            configuration,
            self.timer,
            self._issue_connection_id,
            self.serve,
            self.sent.append,
            lambda: [BALANCER],
            self.nursery,
            PropagatingSupervisor(),
        )

    def _issue_connection_id(self, service: str) -> bytes:
        self._issued_count += 1
        return CONNECTION_ID_PREFIX + self._issued_count.to_bytes(16, "big")


def _client_configuration() -> QuicConfiguration:
    return QuicConfiguration(
        is_client=True,
        alpn_protocols=list(H3_ALPN),
        server_name=AUTHORITY,
        verify_mode=ssl.CERT_NONE,
    )
