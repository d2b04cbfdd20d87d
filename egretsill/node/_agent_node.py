"""The sockets of an agent that steers by address."""

from __future__ import annotations

import socket
from collections.abc import Sequence

import trio

from ..address_steering import (
    AgentEffect,
    AgentSteering,
    Answered,
    CarriedPacket,
    Drop,
    DropReason,
    Expire,
    FlowKey,
    Forward,
    HandToTarget,
    MalformedFlowPacket,
    MalformedTunnelMessage,
    OwnerNotice,
    PacketCodec,
    Refuse,
    SendToCaller,
    TellOwner,
    Wait,
    decode_tunnel,
    dotted,
    encode_carried,
    encode_owner_notice,
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

RELEASE_SECONDS = 0.1  # how often waiting requests are looked at if the target answers nothing

_NO_FLOW = FlowKey(0, 0, 0, 0)


class AgentNode:
    """Takes packets of balancers, of other agents and of the target beside it.

    Args:
        caller_port: where callers take packets.
        target: where the target takes packets.
        outbound: where the target sends its packets to.

    Raises:
        OSError: if an endpoint can't be bound.
    """

    def __init__(
        self,
        caller_port: int,
        tunnel: Address,
        target: Address,
        outbound: Address,
        codec: PacketCodec,
        steering: AgentSteering,
        timer: TimerService,
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        self._codec = codec
        self._steering = steering
        self._timer = timer
        self._metrics = metrics
        self._log = log
        self._caller_port = caller_port
        self._tunnel_port = tunnel.port
        self._target = target
        self._tunnel = open_datagram_socket(tunnel, SOCKET_BUFFER_BYTES, SOCKET_BUFFER_BYTES)
        try:
            self._outbound = open_datagram_socket(
                outbound, SOCKET_BUFFER_BYTES, SOCKET_BUFFER_BYTES
            )
        except OSError:
            self._tunnel.close()
            raise

    async def run(self) -> None:
        """Forward until cancelled."""
        self._timer.subscribe(RELEASE_SECONDS, self._release)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_batches, self._tunnel, self._take_peers)
                nursery.start_soon(read_batches, self._outbound, self._take_target)
        finally:
            self.close()

    def close(self) -> None:
        """Close the sockets."""
        close_datagram_socket(self._tunnel)
        close_datagram_socket(self._outbound)

    def _release(self, now: float) -> None:
        if len(self._steering.queue):
            self._apply(self._steering.release(now))

    def _take_peers(self) -> bool:
        now = self._timer.now
        for _ in range(BATCH_DATAGRAMS):
            try:
                data = self._tunnel.recv(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return False
            self._take_peer(data, now)
        return True

    def _take_peer(self, data: bytes, now: float) -> None:
        try:
            message = decode_tunnel(data)
        except MalformedTunnelMessage as error:
            self._metrics.messages_malformed.increment("tunnel", error.reason)
            return
        match message:
            case CarriedPacket(envelope, datagram):
                try:
                    packet = self._codec.decode_from_caller(datagram)
                except MalformedFlowPacket:
                    self._log.dropped(Drop(_NO_FLOW, DropReason.MALFORMED))
                    return
                self._apply(self._steering.take_from_peer(envelope, packet, now))
            case OwnerNotice():
                self._log.dropped(Drop(message.flow, DropReason.UNEXPECTED))

    def _take_target(self) -> bool:
        now = self._timer.now
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram = self._outbound.recv(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return False
            try:
                packet = self._codec.decode_from_target(datagram)
            except MalformedFlowPacket:
                self._log.dropped(Drop(_NO_FLOW, DropReason.MALFORMED))
                continue
            self._apply(self._steering.take_from_target(packet, now))
        return True

    def _apply(self, effects: Sequence[AgentEffect]) -> None:
        for effect in effects:
            match effect:
                case HandToTarget(datagram):
                    self._send(self._outbound, datagram, self._target, _NO_FLOW)
                case SendToCaller(host, datagram):
                    self._send_to_caller(host, datagram)
                case Forward(host, envelope, _, flow, datagram):
                    self._log.forwarded(effect)
                    agent = Address(dotted(host), self._tunnel_port)
                    self._send(self._tunnel, encode_carried(envelope, datagram), agent, flow)
                case Refuse(flow, acknowledged):
                    self._log.refused(effect)
                    self._send_to_caller(
                        flow.caller_host, self._codec.encode_reset(flow, acknowledged)
                    )
                case TellOwner(balancer, notice):
                    to = Address(dotted(balancer), self._tunnel_port)
                    self._send(self._tunnel, encode_owner_notice(notice), to, notice.flow)
                case Drop():
                    self._log.dropped(effect)
                case Answered():
                    self._log.answered(effect)
                case Wait():
                    self._log.waits(effect)
                case Expire():
                    self._log.expired(effect)

    def _send_to_caller(self, host: int, datagram: bytes) -> None:
        self._send(self._tunnel, datagram, Address(dotted(host), self._caller_port), _NO_FLOW)

    def _send(self, sender: socket.socket, data: bytes, to: Address, flow: FlowKey) -> None:
        try:
            sender.sendto(data, to)
        except BlockingIOError:
            self._log.dropped(Drop(flow, DropReason.SEND_BLOCKED))
        except OSError:
            self._log.dropped(Drop(flow, DropReason.SEND_FAILED))
