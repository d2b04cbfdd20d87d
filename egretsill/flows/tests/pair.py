"""A caller's and an agent's connection, joined in memory and in virtual time."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import QuicEvent

from ...stand_ins.certificates import write_certificate
from .._connection import OwnedConnection, WindowedConnection, drain_events
from .._flow_server import server_configuration

CALLER = ("192.0.2.1", 4000)
SERVICE = ("198.51.100.1", 443)
STEP_SECONDS = 0.001


class Issuer:
    """Issues consecutive connection IDs and records them."""

    def __init__(self) -> None:
        self.issued: list[bytes] = []

    def __call__(self) -> bytes:
        self.issued.append(bytes([0x10]) + len(self.issued).to_bytes(16, "big"))
        return self.issued[-1]


@dataclass
class Pair:
    caller: WindowedConnection
    agent: OwnedConnection
    issuer: Issuer
    now: float = 1000.0
    on_agent_event: Callable[[QuicEvent], None] | None = None

    def exchange(self, rounds: int = 20) -> tuple[list[QuicEvent], list[QuicEvent]]:
        """Carry datagrams both ways and return the events of caller and agent."""
        caller_events: list[QuicEvent] = []
        agent_events: list[QuicEvent] = []
        for _ in range(rounds):
            self.now += STEP_SECONDS
            for data, _ in self.caller.datagrams_to_send(self.now):
                self.agent.receive_datagram(data, CALLER, self.now)
            for event in drain_events(self.agent):
                agent_events.append(event)
                if self.on_agent_event is not None:
                    self.on_agent_event(event)
            for data, _ in self.agent.datagrams_to_send(self.now):
                self.caller.receive_datagram(data, SERVICE, self.now)
            caller_events += drain_events(self.caller)
            for connection in (self.caller, self.agent):
                timer = connection.get_timer()
                if timer is not None and timer <= self.now:
                    connection.handle_timer(self.now)
        return caller_events, agent_events


def make_pair(directory: Path) -> Pair:
    """Return two connections that have not started the handshake."""
    files = write_certificate(directory, ["service.example"])
    server = server_configuration(files.certificate, files.private_key)
    client = QuicConfiguration(
        is_client=True,
        alpn_protocols=list(H3_ALPN),
        server_name="service.example",
        verify_mode=ssl.CERT_NONE,
        max_stream_data=32_768,
    )
    issuer = Issuer()
    caller = WindowedConnection(configuration=client)
    caller.connect(SERVICE, 1000.0)
    agent = OwnedConnection(server, caller.original_destination_connection_id, issuer)
    return Pair(caller, agent, issuer)
