"""The sockets of a balancer that steers by service address."""

from __future__ import annotations

import trio

from ..address_steering import (
    BalancerSteering,
    CapacityOffer,
    CapacityRequest,
    Drop,
    DropReason,
    Forward,
    HomeNotice,
    MalformedFlowPacket,
    MalformedTunnelMessage,
    OwnerNotice,
    PacketCodec,
    Refuse,
    TunneledPacket,
    decode_tunnel,
    encode_tunneled_packet,
)
from ..boot import NodeSockets
from ..observation import Metrics
from ..supervision import Part, Supervisor
from ..timing import TimerService
from ._decision_log import DecisionLog
from ._packet_socket import NO_FLOW, PacketSocket

DECISION_SECONDS = 0.1  # between checks for newer content, while flows wait for it


class BalancerNode:
    """Receives callers' packets from the fabric and sends them to agents.

    Args:
        sockets: bound sockets; `close` closes those of packets and tunnel.
        caller_port: port on which callers receive packets.
        tunnel_port: port on which agents receive encapsulated packets.
    """

    def __init__(
        self,
        sockets: NodeSockets,
        caller_port: int,
        tunnel_port: int,
        codec: PacketCodec,
        steering: BalancerSteering,
        timer: TimerService,
        metrics: Metrics,
        log: DecisionLog,
        supervisor: Supervisor,
    ) -> None:
        self._codec = codec
        self._steering = steering
        self._metrics = metrics
        self._log = log
        self._caller_port = caller_port
        self._tunnel_port = tunnel_port
        self._supervisor = supervisor
        self._packets = PacketSocket(
            Part.PACKETS, sockets.packets, timer, log, supervisor, self._receive_from_caller
        )
        self._tunnel = PacketSocket(
            Part.TUNNEL, sockets.tunnel, timer, log, supervisor, self._receive_from_agent
        )
        self._last_packet_at = float("-inf")
        self._timer = timer
        self._is_decision_due = False

    @property
    def last_packet_at(self) -> float:
        """Return the local time at which the last packet of a caller arrived."""
        return self._last_packet_at

    async def run(self) -> None:
        """Forward packets until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._supervisor.run, Part.PACKETS, self._packets.run)
            nursery.start_soon(self._supervisor.run, Part.TUNNEL, self._tunnel.run)

    def close(self) -> None:
        """Close the sockets."""
        self._packets.close()
        self._tunnel.close()

    def _receive_from_caller(self, datagram: bytes, now: float) -> bool:
        self._last_packet_at = now
        try:
            packet = self._codec.decode_from_caller(datagram)
        except MalformedFlowPacket:
            self._log.dropped(Drop(NO_FLOW, DropReason.MALFORMED))
            return False
        decision = self._steering.steer(packet, now)
        match decision:
            case Forward(host, envelope, _, flow, carried):
                self._tunnel.send(
                    encode_tunneled_packet(envelope, carried), host, self._tunnel_port, flow
                )
                self._log.forwarded(decision)
            case Refuse():
                self._refuse(decision)
            case Drop():
                self._log.dropped(decision)
                self._schedule_decision()
        return True

    def _refuse(self, decision: Refuse) -> None:
        flow = decision.flow
        reset = self._codec.encode_reset(flow, decision.acknowledged)
        self._packets.send(reset, flow.caller_host, self._caller_port, flow)
        self._log.refused(decision)

    def _schedule_decision(self) -> None:
        if self._steering.undecided and not self._is_decision_due:
            self._timer.call_later(DECISION_SECONDS, self._decide)
            self._is_decision_due = True

    def _decide(self, now: float) -> None:
        self._is_decision_due = False
        with self._supervisor.contain(Part.PACKETS):
            for each in self._steering.decide(now):
                with self._supervisor.contain(Part.PACKETS):
                    self._refuse(each)
        self._schedule_decision()

    def _receive_from_agent(self, data: bytes, now: float) -> bool:
        try:
            message = decode_tunnel(data)
        except MalformedTunnelMessage as error:
            self._metrics.messages_malformed.increment("tunnel", error.reason)
            return False
        match message:
            case OwnerNotice():
                if not self._steering.record_owner(message, now):
                    self._log.dropped(Drop(message.flow, DropReason.UNEXPECTED))
                return True
            case TunneledPacket() | HomeNotice() | CapacityRequest() | CapacityOffer():
                self._log.dropped(Drop(NO_FLOW, DropReason.UNEXPECTED))
                return False
