"""The sockets of a balancer that steers by address."""

from __future__ import annotations

import socket

import trio

from ..address_steering import (
    BalancerSteering,
    CarriedPacket,
    Drop,
    DropReason,
    FlowKey,
    Forward,
    MalformedFlowPacket,
    MalformedTunnelMessage,
    OwnerNotice,
    PacketCodec,
    Refuse,
    decode_tunnel,
    dotted,
    encode_carried,
)
from ..observation import Metrics
from ..timing import TimerService
from ..wire import (
    BATCH_DATAGRAMS,
    MAXIMUM_DATAGRAM_BYTES,
    SOCKET_BUFFER_BYTES,
    Address,
    close_datagram_socket,
    open_datagram_socket,
    read_batches,
)
from ._decision_log import DecisionLog

_ROLE = "balancer"
_NO_FLOW = FlowKey(0, 0, 0, 0)


class BalancerNode:
    """Takes callers' packets from the fabric and sends them to agents.

    Raises:
        OSError: if an endpoint can't be bound.
    """

    def __init__(
        self,
        packets: Address,
        tunnel: Address,
        codec: PacketCodec,
        steering: BalancerSteering,
        timer: TimerService,
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        self._codec = codec
        self._steering = steering
        self._timer = timer
        self._metrics = metrics
        self._log = log
        self._caller_port = packets.port
        self._tunnel_port = tunnel.port
        self._packets = open_datagram_socket(packets, SOCKET_BUFFER_BYTES, SOCKET_BUFFER_BYTES)
        try:
            self._tunnel = open_datagram_socket(tunnel, SOCKET_BUFFER_BYTES, SOCKET_BUFFER_BYTES)
        except OSError:
            self._packets.close()
            raise
        self._last_packet_at = float("-inf")

    @property
    def last_packet_at(self) -> float:
        """Return when the last packet of a caller came."""
        return self._last_packet_at

    async def run(self) -> None:
        """Forward until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_batches, self._packets, self._take_callers)
                nursery.start_soon(read_batches, self._tunnel, self._take_agents)
        finally:
            self.close()

    def close(self) -> None:
        """Close the sockets."""
        close_datagram_socket(self._packets)
        close_datagram_socket(self._tunnel)

    def _take_callers(self) -> bool:
        now = self._timer.now
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram = self._packets.recv(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return False
            self._last_packet_at = now
            self._take_caller(datagram, now)
        return True

    def _take_caller(self, datagram: bytes, now: float) -> None:
        try:
            packet = self._codec.decode_from_caller(datagram)
        except MalformedFlowPacket:
            self._log.dropped(Drop(_NO_FLOW, DropReason.MALFORMED))
            return
        decision = self._steering.steer(packet, now)
        match decision:
            case Forward(host, envelope, _, flow, carried):
                self._log.forwarded(decision)
                self._send(
                    self._tunnel, encode_carried(envelope, carried), host, self._tunnel_port, flow
                )
            case Refuse(flow, acknowledged):
                self._log.refused(decision)
                reset = self._codec.encode_reset(flow, acknowledged)
                self._send(self._packets, reset, flow.caller_host, self._caller_port, flow)
            case Drop():
                self._log.dropped(decision)

    def _take_agents(self) -> bool:
        now = self._timer.now
        for _ in range(BATCH_DATAGRAMS):
            try:
                data = self._tunnel.recv(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return False
            self._take_agent(data, now)
        return True

    def _take_agent(self, data: bytes, now: float) -> None:
        try:
            message = decode_tunnel(data)
        except MalformedTunnelMessage as error:
            self._metrics.messages_malformed.increment("tunnel", error.reason)
            return
        match message:
            case OwnerNotice():
                if not self._steering.learn_owner(message, now):
                    self._log.dropped(Drop(message.flow, DropReason.UNEXPECTED))
            case CarriedPacket():
                self._log.dropped(Drop(_NO_FLOW, DropReason.UNEXPECTED))

    def _send(
        self, sender: socket.socket, data: bytes, host: int, port: int, flow: FlowKey
    ) -> None:
        try:
            sender.sendto(data, (dotted(host), port))
        except BlockingIOError:
            self._log.dropped(Drop(flow, DropReason.SEND_BLOCKED))
        except OSError:
            self._log.dropped(Drop(flow, DropReason.SEND_FAILED))
