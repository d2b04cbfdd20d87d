"""The sockets of an agent that steers by service address."""

from __future__ import annotations

from collections.abc import Sequence

import trio

from ..address_steering import (
    HOME_NOTICE_INTERVAL_SECONDS,
    AgentEffect,
    AgentSteering,
    Answered,
    CapacityOffer,
    CapacityRequest,
    DeliverToTarget,
    Drop,
    DropReason,
    Expire,
    Failed,
    Forward,
    HomeNotice,
    MalformedFlowPacket,
    MalformedTunnelMessage,
    NotifyBalancer,
    NotifyHome,
    OfferCapacity,
    OwnerNotice,
    PacketCodec,
    Refuse,
    RequestCapacity,
    SendToCaller,
    Start,
    TunneledPacket,
    Undecided,
    Wait,
    decode_tunnel,
    encode_capacity_offer,
    encode_capacity_request,
    encode_home_notice,
    encode_owner_notice,
    encode_tunneled_packet,
)
from ..boot import NodeSockets
from ..endpoints import Address, parse_ipv4
from ..observation import Metrics
from ..supervision import Part, Supervisor
from ..timing import TimerService
from ._decision_log import DecisionLog
from ._packet_socket import NO_FLOW, PacketSocket

RELEASE_SECONDS = 0.025  # how often waiting packets are checked if nothing else happens


class AgentNode:
    """Receives packets from balancers, from other agents and from the target on its VM.

    Args:
        sockets: bound sockets; `close` closes those of packets and tunnel.
        caller_port: port on which callers receive packets.
        tunnel_port: port on which other agents receive encapsulated packets.
        target: address on which the target receives packets.
    """

    def __init__(
        self,
        sockets: NodeSockets,
        caller_port: int,
        tunnel_port: int,
        target: Address,
        codec: PacketCodec,
        steering: AgentSteering,
        timer: TimerService,
        metrics: Metrics,
        log: DecisionLog,
        supervisor: Supervisor,
    ) -> None:
        self._codec = codec
        self._steering = steering
        self._timer = timer
        self._metrics = metrics
        self._log = log
        self._caller_port = caller_port
        self._tunnel_port = tunnel_port
        self._is_release_due = False
        self._target = (parse_ipv4(target.host), target.port)
        self._supervisor = supervisor
        self._tunnel = PacketSocket(
            Part.TUNNEL, sockets.tunnel, timer, log, supervisor, self._receive_from_peer
        )
        self._outbound = PacketSocket(
            Part.PACKETS, sockets.packets, timer, log, supervisor, self._receive_from_target
        )

    async def run(self) -> None:
        """Forward packets until cancelled."""
        notices = self._timer.subscribe(HOME_NOTICE_INTERVAL_SECONDS, self._notify_homes)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._supervisor.run, Part.TUNNEL, self._tunnel.run)
                nursery.start_soon(self._supervisor.run, Part.PACKETS, self._outbound.run)
        finally:
            notices.cancel()

    def close(self) -> None:
        """Close the sockets."""
        self._tunnel.close()
        self._outbound.close()

    def _release_waiting(self, now: float) -> None:
        self._is_release_due = False
        with self._supervisor.contain(Part.PACKETS):
            if self._steering.is_waiting:
                self._apply(self._steering.release(now))
        with self._supervisor.contain(Part.PACKETS):
            if self._steering.undecided:
                self._apply(self._steering.decide(now))
        self._schedule_release()

    def _notify_homes(self, now: float) -> None:
        self._apply(self._steering.due_home_notices(now))

    def _receive_from_peer(self, data: bytes, now: float) -> bool:
        try:
            message = decode_tunnel(data)
        except MalformedTunnelMessage as error:
            self._metrics.messages_malformed.increment("tunnel", error.reason)
            return False
        match message:
            case TunneledPacket(envelope, datagram):
                try:
                    packet = self._codec.decode_from_caller(datagram)
                except MalformedFlowPacket:
                    self._log.dropped(Drop(NO_FLOW, DropReason.MALFORMED))
                    return False
                return self._apply(self._steering.take_from_peer(envelope, packet, now))
            case CapacityRequest():
                self._apply(self._steering.take_capacity_request(message, now))
            case CapacityOffer():
                self._apply(self._steering.take_capacity_offer(message, now))
            case HomeNotice():
                self._steering.record_home_notice(message, now)
            case OwnerNotice():
                self._log.dropped(Drop(message.flow, DropReason.UNEXPECTED))
        return False

    def _receive_from_target(self, datagram: bytes, now: float) -> bool:
        try:
            packet = self._codec.decode_from_target(datagram)
        except MalformedFlowPacket:
            self._log.dropped(Drop(NO_FLOW, DropReason.MALFORMED))
            return False
        try:
            effects = self._steering.take_from_target(packet, now)
        except Exception as error:
            self._supervisor.note_failure(Part.PACKETS, error)
            # An answer goes to its caller whatever else depends on it.
            answer = SendToCaller(packet.flow.caller_host, packet.datagram)
            self._apply(() if packet.is_bounced else (answer,))
            return False
        return self._apply(effects)

    def _apply(self, effects: Sequence[AgentEffect]) -> bool:
        """Apply effects one by one; return whether none failed."""
        failures = 0
        for effect in effects:
            try:
                self._apply_effect(effect)
            except Exception as error:  # The other effects are for other packets as well.
                self._supervisor.note_failure(Part.PACKETS, error)
                failures += 1
        self._schedule_release()
        return not failures

    def _apply_effect(self, effect: AgentEffect) -> None:
        match effect:
            case DeliverToTarget(datagram):
                self._outbound.send(datagram, *self._target)
            case SendToCaller(host, datagram):
                self._tunnel.send(datagram, host, self._caller_port)
            case Forward(host, envelope, _, flow, datagram):
                carried = encode_tunneled_packet(envelope, datagram)
                self._tunnel.send(carried, host, self._tunnel_port, flow)
                self._log.forwarded(effect)
            case Refuse(flow, acknowledged):
                reset = self._codec.encode_reset(flow, acknowledged)
                self._tunnel.send(reset, flow.caller_host, self._caller_port, flow)
                self._log.refused(effect)
            case NotifyBalancer(balancer, notice):
                data = encode_owner_notice(notice)
                self._tunnel.send(data, balancer, self._tunnel_port, notice.flow)
            case NotifyHome(home, home_notice):
                self._tunnel.send(encode_home_notice(home_notice), home, self._tunnel_port)
            case RequestCapacity(host, request):
                self._tunnel.send(encode_capacity_request(request), host, self._tunnel_port)
            case OfferCapacity(host, offer):
                self._tunnel.send(encode_capacity_offer(offer), host, self._tunnel_port)
            case Drop():
                self._log.dropped(effect)
            case Answered():
                self._log.answered(effect)
            case Wait():
                self._log.waits(effect)
            case Start():
                self._log.started(effect)
            case Expire():
                self._log.expired(effect)
            case Failed(flow, error):
                self._supervisor.note_failure(Part.PACKETS, error)
                self._log.dropped(Drop(flow, DropReason.PART_FAILED))
            case Undecided():
                self._log.undecided(effect)

    def _schedule_release(self) -> None:
        # No timer runs while nothing waits; wake-ups would take most of an idle agent's CPU time.
        is_waiting = self._steering.is_waiting or self._steering.undecided
        if is_waiting and not self._is_release_due:
            self._timer.call_later(RELEASE_SECONDS, self._release_waiting)
            self._is_release_due = True
