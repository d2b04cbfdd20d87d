"""An agent's decision to keep a caller's packet, pass it on to another agent or drop it.

An agent keeps the packets of its flows and of new flows. It passes a first packet on to the next
agent in rank while its target is draining or new. It passes a packet that belongs to another target
of its service on to that target's agent. At most `MAXIMUM_HOPS` agents pass a packet on.

An agent whose target has left the configuration may own flows for hours more. Until they end, it
announces itself to the agents of its service, so that agents started later know it too.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from typing import TypeAlias

from ..configuration import Address, Bundle
from ..ranking import first_not_avoided, rank
from ._connection_id import ConnectionIdCodec, has_valid_check_bytes, owner_bytes, service_number_of
from ._packet import MalformedPacket, parse_packet
from ._routes import (
    PLACEMENT_DELAY_SECONDS,
    RETENTION_SECONDS,
    Forward,
    RoutingTable,
    ServiceRoutes,
)
from ._steering import Drop, DropReason
from ._tunnel import CallerPacket, OwnerNotice
from ._view import RetainedTarget, SteeringView, avoidance

ANNOUNCEMENT_INTERVAL_SECONDS = 10.0
MAXIMUM_HOPS = 2


@dataclass(frozen=True, slots=True)
class Keep:
    """The agent keeps the packet."""


@dataclass(frozen=True, slots=True)
class PassOn:
    """The packet goes on to another agent of the same service.

    Attributes:
        tunnel: where to send `packet`.
        packet: the packet with one more hop and the endpoint of the balancer that received it.
        balancer: where to send `notice`, which gives the balancer the other agent's endpoint.
    """

    tunnel: Address
    packet: CallerPacket
    balancer: Address
    notice: OwnerNotice


@dataclass(frozen=True, slots=True)
class Announcement:
    """A notice about this agent's own target, addressed to another agent of its service."""

    tunnel: Address
    notice: OwnerNotice


AgentDecision: TypeAlias = Keep | PassOn | Drop


class AgentSteering:
    """Decides what one agent does with the packets it receives; all times are in seconds.

    Args:
        target_number: the agent's target.
        service_number: the target's service.
        codec: reads owner IDs.
        owns_flow: returns whether a connection ID belongs to a flow that is open at this agent.
        is_draining: returns whether the target takes no new flows.
        started_at: when this agent began to serve the target.
        placement_delay_seconds: how long a target counts as new.
    """

    def __init__(
        self,
        target_number: int,
        service_number: int,
        codec: ConnectionIdCodec,
        owns_flow: Callable[[bytes], bool],
        is_draining: Callable[[], bool],
        started_at: float,
        placement_delay_seconds: float = PLACEMENT_DELAY_SECONDS,
    ) -> None:
        self._target_number = target_number
        self._service_number = service_number
        self._own_bytes = owner_bytes(service_number, target_number)
        self._codec = codec
        self._owns_flow = owns_flow
        self._is_draining = is_draining
        self._new_until = started_at + placement_delay_seconds
        self._table = RoutingTable(placement_delay_seconds)
        self._routes: ServiceRoutes | None = None
        self._own_notice: OwnerNotice | None = None
        self._view = SteeringView()

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Replace the connection ID keys."""
        self._codec = codec

    def apply_bundle(self, bundle: Bundle, now: float) -> None:
        """Take the endpoints of the other agents from this configuration."""
        self._table.apply_bundle(bundle, now)
        self._routes = self._table.routes_of(self._service_number)
        own = self._routes.first_packets.get(self._target_number) if self._routes else None
        if own is not None:
            self._own_notice = _notice_of(own)

    def update_view(self, view: SteeringView) -> None:
        """Replace the view that first packets are passed on by."""
        self._view = view

    def retain_owner(self, notice: OwnerNotice, now: float) -> bool:
        """Retain the agent of a target of the own service that has left the configuration.

        Returns:
            False if the notice is about a target of another service.
        """
        if notice.service_number != self._service_number:
            return False
        tunnel = Address(notice.tunnel_host, notice.tunnel_port)
        expires_at = now + RETENTION_SECONDS
        self._table.retain(
            [RetainedTarget(notice.target_number, notice.service_number, tunnel, expires_at)], now
        )
        self._routes = self._table.routes_of(self._service_number)
        return True

    def announcements(self) -> Sequence[Announcement]:
        """Return what to send every `ANNOUNCEMENT_INTERVAL_SECONDS` while this agent owns flows.

        The result is empty while the target is in the configuration.
        """
        if self._routes is None or self._own_notice is None:
            return ()
        if self._target_number in self._routes.first_packets:
            return ()
        others = self._routes.first_packets.values()
        return [Announcement(each.tunnel, self._own_notice) for each in others]

    def decide(self, packet: CallerPacket, sender: Address, now: float) -> AgentDecision:
        """Return what to do with a packet received from the tunnel endpoint `sender`."""
        if packet.service_number != self._service_number:
            return Drop(DropReason.FOREIGN_OWNER)
        header = parse_packet(packet.payload)
        if isinstance(header, MalformedPacket):
            return Drop(DropReason(header.reason.value))
        if self._owns_flow(header.connection_id):
            return Keep()
        owner = self._codec.decode_owner_bytes(header.connection_id)
        if owner is not None and has_valid_check_bytes(owner):
            return self._decide_owned(packet, sender, owner, now)
        if not header.may_open:
            return Drop(DropReason.UNDECODABLE_ID)
        return self._decide_first(packet, sender, header.connection_id, now)

    def _decide_owned(
        self, packet: CallerPacket, sender: Address, owner: bytes, now: float
    ) -> AgentDecision:
        if owner == self._own_bytes:
            return Keep()
        if service_number_of(owner) != self._service_number:
            return Drop(DropReason.FOREIGN_OWNER)
        if self._routes is None or packet.hops >= MAXIMUM_HOPS:
            return Drop(DropReason.UNKNOWN_OWNER)
        forward = self._routes.owners.get(owner)
        if forward is None:
            # Draining agents and agents with no message received yet may still know the owner.
            forward = self._next_in_rank(owner, self._avoidance(now))
        if forward is None:
            return Drop(DropReason.UNKNOWN_OWNER)
        return _pass_on(packet, sender, forward)

    def _decide_first(
        self, packet: CallerPacket, sender: Address, key: bytes, now: float
    ) -> AgentDecision:
        is_draining = self._is_draining()
        if not is_draining and now >= self._new_until:
            return Keep()
        forward = None
        if packet.hops < MAXIMUM_HOPS:
            forward = self._next_in_rank(key, self._avoidance(now)[:1])
        if forward is not None:
            return _pass_on(packet, sender, forward)
        return Drop(DropReason.NO_TARGET) if is_draining else Keep()

    def _next_in_rank(self, key: bytes, avoided: Sequence[frozenset[int]]) -> Forward | None:
        """Return the next usable agent after this one in rank, or None.

        Agents that rank before this one were already tried or avoided, so they come last.

        Args:
            key: ranks the agents.
            avoided: sets of target numbers to avoid, the strictest first; the next set is used if
                one excludes every agent.
        """
        if self._routes is None:
            return None
        ranked = rank(key, {*self._routes.first_packets, self._target_number})
        own_index = ranked.index(self._target_number)
        others = ranked[own_index + 1 :] + ranked[:own_index]
        target_number = first_not_avoided(others, avoided)
        return None if target_number is None else self._routes.first_packets[target_number]

    def _avoidance(self, now: float) -> Sequence[frozenset[int]]:
        return avoidance(
            self._view, frozenset(), self._table.draining, self._table.new_targets(now)
        )


def _pass_on(packet: CallerPacket, sender: Address, forward: Forward) -> PassOn:
    balancer = sender
    if packet.balancer_host is not None:
        balancer = Address(packet.balancer_host, packet.balancer_port)
    passed = replace(
        packet,
        hops=packet.hops + 1,
        balancer_host=balancer.host,
        balancer_port=balancer.port,
    )
    return PassOn(forward.tunnel, passed, balancer, _notice_of(forward))


def _notice_of(forward: Forward) -> OwnerNotice:
    return OwnerNotice(forward.target_number, forward.service_number, *forward.tunnel)
