"""Search for the owner of a flow that is not at the agent that received its packet.

The packet goes to the owner that announced the flow to this agent as its home. Otherwise it goes to
the flow's next candidate, as in Beamer's daisy chaining (Olteanu and others, 2018).

Routes only tell where to look first. A flow stays at its target when its route moves to another
service, and a process that started later doesn't know of the move. So a flow is open nowhere only
if every agent of the fleet has denied it.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass
from itertools import islice
from typing import TypeAlias

from ..directory import Directory
from ..fleet import SILENT_SECONDS
from ._candidates import SEARCH_CANDIDATES
from ._decisions import DropReason, ForwardReason, RefuseReason
from ._homes import HomeTable
from ._packet import FlowKey, FlowPacket
from ._placement import FlowPlacement
from ._presence import Presence
from ._tunnel import MAXIMUM_HOPS, MAXIMUM_ROUTE_HOPS, Envelope

MAXIMUM_OTHER_SERVICES = 16  # services without the flow's route whose homes are asked


@dataclass(frozen=True, slots=True)
class SearchHop:
    """The next VM on which a flow may be, and the reason to look there.

    Attributes:
        host: the VM.
        reason: why the flow may be there.
        is_of_route: whether a target of the route's services is expected there.
    """

    host: int
    reason: ForwardReason
    is_of_route: bool = True


SearchStep: TypeAlias = SearchHop | RefuseReason | DropReason


class FlowSearch:
    """Searches for flows whose owner is another agent.

    Args:
        host: IPv4 address of the agent, as a number.
        service: the service of its target.
        directory: routes and targets.
        presence: determines which VMs may still have flows.
        placement: ranks the candidates of flows.
        started_at: local time since which the agent receives heartbeats.
    """

    def __init__(
        self,
        host: int,
        service: str,
        directory: Directory,
        presence: Presence,
        placement: FlowPlacement,
        started_at: float,
    ) -> None:
        self._host = host
        self._service = service
        self._directory = directory
        self._presence = presence
        self._placement = placement
        self._started_at = started_at
        self._homes = HomeTable()

    @property
    def homes(self) -> HomeTable:
        """Return the flows that owners announced to this agent as their home."""
        return self._homes

    def next_step(self, packet: FlowPacket, envelope: Envelope, now: float) -> SearchStep:
        """Return where a packet goes next, or why it is refused or dropped.

        Args:
            packet: the packet.
            envelope: its path to this agent.
            now: local time.
        """
        flow = packet.flow
        route = self._directory.route(flow.service_host, flow.service_port)
        if route is None:
            return DropReason.NO_ROUTE
        services = self._directory.flow_services(route)
        visited = {*envelope.visited, self._host}
        owner = self._homes.owner(packet, visited)
        if owner is not None:
            is_recent = self._homes.owner(packet, visited, since=now - SILENT_SECONDS) is not None
            if is_recent or not self._presence.has_left(owner, services, now):
                return SearchHop(owner, ForwardReason.ANNOUNCED_BY_OWNER, is_of_route=False)
            return RefuseReason.OWNER_GONE
        return next(
            self._unvisited(flow, services, envelope, visited, now), RefuseReason.NOWHERE_OPEN
        )

    def likelier_hop(self, flow: FlowKey, envelope: Envelope, now: float) -> SearchHop | None:
        """Return the next reachable VM with a target of the flow's route, None if there is none."""
        route = self._directory.route(flow.service_host, flow.service_port)
        services = self._directory.flow_services(route) if route is not None else ()
        visited = {*envelope.visited, self._host}
        for host in self._search(flow, services, envelope):
            if host in visited or self._presence.is_unreachable(host, now):
                continue
            if not self._presence.has_left(host, services, now):
                return SearchHop(host, ForwardReason.NOT_HERE)
        return None

    def may_be_here(self, flow: FlowKey) -> bool:
        """Return whether the route of a flow allows that the agent's target has it."""
        route = self._directory.route(flow.service_host, flow.service_port)
        return route is None or self._service in self._directory.flow_services(route)

    def is_announced_elsewhere(
        self, packet: FlowPacket, envelope: Envelope, since: float = float("-inf")
    ) -> bool:
        """Return whether an owner that a packet has not visited yet announced its flow here.

        Args:
            packet: the packet.
            envelope: its path to this agent.
            since: announcements received before this time are ignored.
        """
        return self._homes.owner(packet, {*envelope.visited, self._host}, since) is not None

    def _unvisited(
        self,
        flow: FlowKey,
        services: Sequence[str],
        envelope: Envelope,
        visited: Collection[int],
        now: float,
    ) -> Iterator[SearchHop | DropReason]:
        """Yield the VMs on which a flow may be and that were not visited, the likeliest first.

        A packet is lost at a VM that doesn't answer, so unreachable VMs of the route come late, but
        before agents of other services: while a flow's own agent is away, its packets must not go
        to many other targets instead. These agents are asked only if a packet can visit all.
        """
        seen = set(visited)
        unreachable = []
        for hop in self._likely_hops(flow, services, envelope):
            if hop.host in seen or self._presence.has_left(hop.host, services, now):
                continue
            if not self._presence.is_unreachable(hop.host, now):
                seen.add(hop.host)
                yield hop
            elif hop.is_of_route:
                seen.add(hop.host)
                unreachable.append(hop)
        for host in self._presence.reachable_agents(now):
            if host not in seen and not self._presence.has_routed_target(host):
                yield _elsewhere(host)
        yield from unreachable
        agents = (
            *self._presence.reachable_agents(now),
            *self._presence.unreachable_vms(self._started_at, now),
        )
        rest = [host for host in dict.fromkeys(agents) if host not in seen]
        if len(visited) + len(rest) > MAXIMUM_HOPS:
            yield DropReason.TOO_MANY_HOPS
        else:
            yield from map(_elsewhere, rest)

    def _likely_hops(
        self, flow: FlowKey, services: Sequence[str], envelope: Envelope
    ) -> Iterator[SearchHop]:
        """Yield the VMs of the flow's route, and its homes in other services.

        The homes come after the flow's candidates if a packet can't visit all VMs of the route.
        """
        of_route = tuple(islice(self._search(flow, services, envelope), MAXIMUM_ROUTE_HOPS + 1))
        if len(of_route) > MAXIMUM_ROUTE_HOPS:
            for service in services:
                for host in islice(self._search(flow, (service,), envelope), SEARCH_CANDIDATES):
                    yield SearchHop(host, ForwardReason.NOT_HERE)
            yield from self._homes_elsewhere(flow, services)
        for host in self._search(flow, services, envelope):
            yield SearchHop(host, ForwardReason.NOT_HERE)
        if len(of_route) <= MAXIMUM_ROUTE_HOPS:
            yield from self._homes_elsewhere(flow, services)

    def _homes_elsewhere(self, flow: FlowKey, services: Sequence[str]) -> Iterator[SearchHop]:
        """Yield the flow's homes in other services, which know flows that stayed there."""
        others = self._directory.other_services(services)
        for service in others[:MAXIMUM_OTHER_SERVICES]:
            for host in self._placement.candidates.of(service).homes(flow):
                if self._presence.is_known_agent(host):
                    yield _elsewhere(host)

    def _search(self, flow: FlowKey, services: Sequence[str], envelope: Envelope) -> Iterator[int]:
        domain = self._placement.candidates.domain_with_hash(envelope.domain_hash)
        return self._placement.search(flow, services, domain)


def _elsewhere(host: int) -> SearchHop:
    return SearchHop(host, ForwardReason.NOT_HERE, is_of_route=False)
