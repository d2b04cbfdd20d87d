"""Steering of callers' packets by a balancer.

A balancer needs no state of a flow, because every flow's owner is found from the flow's candidates.
It caches the owners that it chose or was notified of, which saves packets a hop.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice

from ..directory import Directory, Route
from ..fleet import PeerTable
from ._candidates import CHOICES
from ._decisions import (
    BalancerDecision,
    Drop,
    DropReason,
    Forward,
    ForwardReason,
    Refuse,
    RefuseReason,
)
from ._packet import FlowKey, FlowPacket, PacketKind
from ._placement import FlowPlacement
from ._presence import Presence
from ._tunnel import ANY_SERVICE, Envelope, OwnerNotice, domain_hash, service_hash
from ._undecided import UndecidedPackets

MAXIMUM_OWNERS = 20_000  # about 6 MB; an evicted owner costs the flow's next packet a hop
SYN_NOTICE_SECONDS = 0.5  # longer than between two copies of a SYN packet
MAXIMUM_CONTENT_AGE_SECONDS = 2.0  # content confirmed longer ago may lack a new route


@dataclass(frozen=True, slots=True)
class _Owner:
    """Owner of a flow.

    Attributes:
        host: its VM.
        service: the service of its target, None if it is none of the flow's route.
        tried: VMs that got a SYN packet of the flow.
        learned_at: when it was learned.
        is_notified: whether its agent told that it has the flow.
    """

    host: int
    service: str | None
    tried: tuple[int, ...]
    learned_at: float
    is_notified: bool = False


class BalancerSteering:
    """Decides where each packet of a caller is sent.

    Args:
        host: IPv4 address of this balancer, as a number.
        failure_domain: failure domain of its VM.
        directory: routes and targets.
        peers: heartbeats of the agents.
        placement: chooses targets for new flows.
        retention_seconds: age at which a flow's owner may be removed from the cache.
    """

    def __init__(
        self,
        host: int,
        failure_domain: str,
        directory: Directory,
        peers: PeerTable,
        placement: FlowPlacement,
        retention_seconds: float,
    ) -> None:
        self._host = host
        self._domain = failure_domain
        self._directory = directory
        self._presence = Presence(directory, peers)
        self._retention_seconds = retention_seconds
        self._placement = placement
        self._domain_mark = domain_hash(failure_domain)
        self._owners: OrderedDict[FlowKey, _Owner] = OrderedDict()
        self._marks: dict[str, int] = {}
        self._undecided = UndecidedPackets()

    @property
    def owners_known(self) -> int:
        """Return the number of flows whose owner is cached."""
        return len(self._owners)

    @property
    def undecided(self) -> int:
        """Return the number of flows that are reset unless newer content has their address."""
        return len(self._undecided)

    def steer(self, packet: FlowPacket, now: float) -> BalancerDecision:
        """Return what to do with a caller's packet."""
        if packet.kind is PacketKind.SYN_ACK:
            return Drop(packet.flow, DropReason.UNEXPECTED)
        route = self._directory.route(packet.flow.service_host, packet.flow.service_port)
        if route is None:
            return self._steer_without_route(packet, now)
        if packet.kind is PacketKind.SYN:
            return self._place(packet, self._placement.service_of(route, packet.flow), now)
        owner = self._owners.get(packet.flow)
        if owner is not None and not self._owner_has_left(owner, now):
            return self._forward(packet, owner.host, owner.service, ForwardReason.KNOWN_OWNER)
        self._owners.pop(packet.flow, None)
        services = self._directory.flow_services(route)
        host = self._first_search_host(packet.flow, services, now)
        if host is not None:
            return self._forward(packet, host, services[0], ForwardReason.FIRST_CANDIDATE)
        # The flow may have been opened at another service, before its route named this one.
        others = self._directory.other_services(services)
        host = self._first_search_host(packet.flow, others, now)
        if host is None:
            return Drop(packet.flow, DropReason.NO_TARGET)
        return self._forward(packet, host, None, ForwardReason.FIRST_CANDIDATE)

    def record_owner(self, notice: OwnerNotice, now: float) -> bool:
        """Cache a flow's owner if it is the VM of a known target; return whether it is.

        The target may be of a service that the route had before this process started.
        """
        route = self._directory.route(notice.flow.service_host, notice.flow.service_port)
        if route is None or not self._directory.targets_on(notice.owner):
            return False
        found = (
            each
            for each in self._directory.flow_services(route)
            if self._directory.target_at(notice.owner, each) is not None
        )
        service = next(found, None)
        owner = _Owner(notice.owner, service, (notice.owner,), now, is_notified=True)
        self._remember(notice.flow, owner)
        return True

    def decide(self, now: float) -> Sequence[Refuse]:
        """Return the resets of flows that content newer than their first packet has no address for.

        Flows whose address was restored meanwhile go on with their callers' next copies.
        """
        confirmed = self._undecided.pop_confirmed(self._directory.confirmed_at)
        self._undecided.pop_expired(now)
        return [
            Refuse(packet.flow, packet.acknowledged, RefuseReason.NO_ROUTE)
            for packet in (each.packet for each in confirmed)
            if self._route_of(packet.flow) is None
        ]

    def note_scheduling_pause(self) -> None:
        """Discard what arrived before a scheduling pause, after which confirmations seem newer."""
        self._undecided.clear()

    def tick(self, now: float) -> None:
        """Remove owners that were cached too long ago, and outdated counts of new flows."""
        self._placement.tick(now)
        while self._owners:
            flow, owner = next(iter(self._owners.items()))
            if now - owner.learned_at < self._retention_seconds:
                break
            del self._owners[flow]

    def _first_search_host(self, flow: FlowKey, services: Sequence[str], now: float) -> int | None:
        """Return the first VM on which to search for a flow, None if there are no targets."""
        first = None
        for host in self._placement.search(flow, services, self._domain):
            if not self._presence.is_unreachable(host, now):
                return host
            first = host if first is None else first
        return first

    def _route_of(self, flow: FlowKey) -> Route | None:
        return self._directory.route(flow.service_host, flow.service_port)

    def _steer_without_route(self, packet: FlowPacket, now: float) -> BalancerDecision:
        if now - self._directory.confirmed_at > MAXIMUM_CONTENT_AGE_SECONDS:
            return Drop(packet.flow, DropReason.STALE_CONTENT)
        if packet.kind is PacketKind.RST:
            return Drop(packet.flow, DropReason.UNEXPECTED)
        if packet.kind is PacketKind.SYN:
            return Refuse(packet.flow, packet.acknowledged, RefuseReason.NO_ROUTE)
        # The flow may have been opened through a route that is newer than this view.
        if not self._directory.is_withdrawn(packet.flow.service_host, packet.flow.service_port):
            return Drop(packet.flow, DropReason.NO_ROUTE)
        envelope = Envelope(self._host, self._directory.version, ANY_SERVICE, (), self._domain_mark)
        self._undecided.keep(envelope, packet, now)
        return Drop(packet.flow, DropReason.UNDECIDED)

    def _place(self, packet: FlowPacket, service: str, now: float) -> BalancerDecision:
        flow = packet.flow
        owner = self._owners.get(flow)
        if owner is not None and packet.copy and self._has_syn(owner, service, now):
            return self._forward(packet, owner.host, service, ForwardReason.KNOWN_OWNER)
        excluded = self._previously_tried(packet, service)
        host = self._placement.choose(flow, service, excluded, self._domain, now)
        if host is None and excluded:
            host = self._placement.choose(flow, service, (), self._domain, now)
        if host is None:
            if now - self._directory.confirmed_at > MAXIMUM_CONTENT_AGE_SECONDS:
                return Drop(flow, DropReason.NO_TARGET)
            is_evacuated = self._placement.has_evacuated_targets(service, now)
            reason = RefuseReason.EVACUATED if is_evacuated else RefuseReason.NO_TARGET
            return Refuse(flow, packet.acknowledged, reason)
        self._placement.note_sent(host, now)
        self._remember(flow, _Owner(host, service, (*excluded, host), now))
        return self._forward(packet, host, service, ForwardReason.NEW_FLOW)

    def _has_syn(self, owner: _Owner, service: str, now: float) -> bool:
        """Return whether an agent said lately that it has a flow's SYN packet.

        It says so again for each copy, so an older notice means that the copy didn't reach it.
        """
        if not owner.is_notified or owner.service != service:
            return False
        if self._placement.is_evacuated(owner.host, service):
            return False
        is_recent = now - owner.learned_at < SYN_NOTICE_SECONDS
        return is_recent and not self._presence.is_unreachable(owner.host, now)

    def _previously_tried(self, packet: FlowPacket, service: str) -> tuple[int, ...]:
        """Return the VMs to which earlier copies of a SYN packet went, or probably went."""
        if packet.copy == 0:
            return ()
        owner = self._owners.get(packet.flow)
        if owner is not None and owner.service == service:
            return owner.tried
        search = self._placement.search(packet.flow, (service,), self._domain)
        return tuple(islice(search, CHOICES * packet.copy))

    def _owner_has_left(self, owner: _Owner, now: float) -> bool:
        """Return whether a flow's cached owner has left.

        The flow may still be open elsewhere: the owner that this balancer chose may not have
        answered first, and the caller may have taken another target's SYN-ACK packet.
        """
        services = (owner.service,) if owner.service is not None else ()
        return self._presence.has_left(owner.host, services, now)

    def _forward(
        self, packet: FlowPacket, host: int, service: str | None, reason: ForwardReason
    ) -> Forward:
        mark = ANY_SERVICE if service is None else self._mark_of(service)
        envelope = Envelope(self._host, self._directory.version, mark, (), self._domain_mark)
        return Forward(host, envelope, reason, packet.flow, packet.datagram)

    def _mark_of(self, service: str) -> int:
        mark = self._marks.get(service)
        return mark if mark is not None else self._marks.setdefault(service, service_hash(service))

    def _remember(self, flow: FlowKey, owner: _Owner) -> None:
        self._owners.pop(flow, None)
        self._owners[flow] = owner
        if len(self._owners) > MAXIMUM_OWNERS:
            self._owners.popitem(last=False)
