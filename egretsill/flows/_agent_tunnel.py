"""The agent's end of the tunnel to the balancers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Protocol

from ..configuration import Address
from ..steering import (
    AgentProbe,
    AgentProbeAnswer,
    CallerPacket,
    OwnerNotice,
    ReplyPacket,
    TunnelMessage,
    make_tunnel_codec,
)
from ..supervision import Part, Supervisor
from ..wire import (
    BATCH_DATAGRAMS,
    MalformedMessage,
    close_datagram_socket,
    open_datagram_socket,
    read_batches,
)
from ._datagram import IncomingDatagram, OutgoingDatagram
from ._drops import FlowDrop

LARGEST_DATAGRAM_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


class DatagramReceiver(Protocol):
    """Callback that receives callers' datagrams from the tunnel."""

    def __call__(self, datagram: IncomingDatagram, packet: CallerPacket, sender: Address) -> None:
        """Handle one datagram; `packet` is the tunnel message, for forwarding to another agent."""


class AgentTunnel:
    """Carries callers' datagrams between this agent and the balancers.

    Args:
        listen: this agent's tunnel endpoint.
        target_number: sent to balancers in answer to a probe.
        services: returns the names of the services that this agent serves, by number; datagrams
            for other services are dropped and counted.
        draining: returns whether this agent accepts no new flows.
        supervisor: contains unexpected exceptions of single datagrams.
    """

    def __init__(
        self,
        listen: Address,
        target_number: int,
        services: Callable[[], Mapping[int, str]],
        draining: Callable[[], bool],
        supervisor: Supervisor,
    ) -> None:
        self._target_number = target_number
        self._services = services
        self._draining = draining
        self._supervisor = supervisor
        self._codec = make_tunnel_codec()
        self._drops: Counter[FlowDrop] = Counter()
        self._receive: DatagramReceiver | None = None
        self._on_owner_notice: Callable[[OwnerNotice], None] | None = None
        self._socket = open_datagram_socket(listen, RECEIVE_BUFFER_BYTES)

    @property
    def drops(self) -> Mapping[FlowDrop, int]:
        """Return the number of dropped datagrams by reason."""
        return self._drops

    def set_receivers(
        self, receive: DatagramReceiver, on_owner_notice: Callable[[OwnerNotice], None]
    ) -> None:
        """Set the callbacks for callers' datagrams and for owner notices."""
        self._receive = receive
        self._on_owner_notice = on_owner_notice

    def send(self, datagram: OutgoingDatagram) -> None:
        """Send a reply to a caller through a balancer."""
        reply = ReplyPacket(
            caller_host=datagram.caller.host,
            caller_port=datagram.caller.port,
            service_host=datagram.service_address.host,
            service_port=datagram.service_address.port,
            payload=datagram.payload,
        )
        self._send(self._codec.encode(reply), datagram.balancer)

    def send_message(self, message: TunnelMessage, address: Address) -> None:
        """Send a message to another agent or to a balancer."""
        self._send(self._codec.encode(message), address)

    async def run(self) -> None:
        """Receive datagrams until the socket is closed."""
        await read_batches(self._socket, self._read_batch, note_error=self._note_failure)

    def close(self) -> None:
        """Close the socket."""
        close_datagram_socket(self._socket)

    def _read_batch(self) -> bool:
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(LARGEST_DATAGRAM_BYTES)
            except BlockingIOError:
                return False
            try:
                self._handle_datagram(data, Address(*sender[:2]))
            except Exception as error:  # It costs this datagram only.
                self._note_failure(error)
        return True

    def _note_failure(self, error: Exception) -> None:
        self._supervisor.note_failure(Part.TUNNEL, error)

    def _handle_datagram(self, data: bytes, sender: Address) -> None:
        try:
            message = self._codec.decode(data)
        except MalformedMessage:
            self._drops[FlowDrop.MALFORMED] += 1
            return
        match message:
            case CallerPacket():
                self._handle_caller_packet(message, sender)
            case AgentProbe(sequence=sequence):
                answer = AgentProbeAnswer(sequence, self._target_number, self._draining())
                self._send(self._codec.encode(answer), sender)
            case OwnerNotice() if self._on_owner_notice is not None:
                self._on_owner_notice(message)
            case _:
                self._drops[FlowDrop.UNEXPECTED] += 1

    def _handle_caller_packet(self, packet: CallerPacket, sender: Address) -> None:
        service = self._services().get(packet.service_number)
        if service is None:
            self._drops[FlowDrop.WRONG_SERVICE] += 1
            return
        balancer = sender
        if packet.balancer_host is not None:
            balancer = Address(packet.balancer_host, packet.balancer_port)
        datagram = IncomingDatagram(
            caller=Address(packet.caller_host, packet.caller_port),
            service=service,
            service_address=Address(packet.service_host, packet.service_port),
            balancer=balancer,
            payload=packet.payload,
        )
        if self._receive is not None:
            self._receive(datagram, packet, sender)

    def _send(self, data: bytes, address: Address) -> None:
        # A datagram that the socket does not accept now is lost; QUIC retransmits its content.
        try:
            self._socket.sendto(data, tuple(address))
        except OSError:
            self._drops[FlowDrop.NOT_SENT] += 1
