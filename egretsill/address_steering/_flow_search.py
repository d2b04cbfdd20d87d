"""Search for the owner of a flow that is not at the agent that received its packet.

The packet goes to the owner that announced the flow to this agent as its home. Otherwise it goes to
the flow's next candidate, as in Beamer's daisy chaining (Olteanu and others, 2018).
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from ..directory import Directory
from ..fleet import SILENT_SECONDS
from ._decisions import DropReason, ForwardReason, RefuseReason
from ._homes import HomeTable
from ._packet import FlowKey
from ._placement import FlowPlacement
from ._presence import Presence
from ._tunnel import Envelope


@dataclass(frozen=True, slots=True)
class SearchHop:
    """The next VM on which a flow may be, and the reason to look there."""

    host: int
    reason: ForwardReason


SearchStep: TypeAlias = SearchHop | RefuseReason | DropReason


class FlowSearch:
    """Searches for flows whose owner is another agent.

    Args:
        host: IPv4 address of the agent, as a number.
        service: the service of its target.
        directory: routes and targets.
        presence: determines which VMs may still have flows.
        placement: ranks the candidates of flows.
    """

    def __init__(
        self,
        host: int,
        service: str,
        directory: Directory,
        presence: Presence,
        placement: FlowPlacement,
    ) -> None:
        self._host = host
        self._service = service
        self._directory = directory
        self._presence = presence
        self._placement = placement
        self._homes = HomeTable()

    @property
    def homes(self) -> HomeTable:
        """Return the flows that owners announced to this agent as their home."""
        return self._homes

    def next_step(self, flow: FlowKey, envelope: Envelope, now: float) -> SearchStep:
        """Return where a packet goes next, or why it is refused or dropped.

        Args:
            flow: its flow.
            envelope: path of the packet to this agent.
            now: local time.
        """
        route = self._directory.route(flow.service_host, flow.service_port)
        if route is None:
            return DropReason.NO_ROUTE
        services = self._directory.flow_services(route)
        visited = {*envelope.visited, self._host}
        owner = self._homes.owner(flow)
        if owner is not None and owner not in visited:
            is_recent = self._homes.owner(flow, since=now - SILENT_SECONDS) is not None
            if is_recent or not self._presence.has_left(owner, services, now):
                return SearchHop(owner, ForwardReason.ANNOUNCED_BY_OWNER)
            return RefuseReason.OWNER_GONE
        for host in self._unvisited_hosts(flow, services, envelope, visited, now):
            return SearchHop(host, ForwardReason.NOT_HERE)
        return RefuseReason.NOWHERE_OPEN

    def may_be_here(self, flow: FlowKey) -> bool:
        """Return whether the route of a flow allows that the agent's target has it."""
        route = self._directory.route(flow.service_host, flow.service_port)
        return route is None or self._service in self._directory.flow_services(route)

    def is_announced_elsewhere(
        self, flow: FlowKey, envelope: Envelope, since: float = float("-inf")
    ) -> bool:
        """Return whether an owner that a packet has not visited yet announced the flow here.

        Args:
            flow: the flow.
            envelope: path of a packet of the flow to this agent.
            since: announcements received before this time are ignored.
        """
        owner = self._homes.owner(flow, since)
        return owner not in (None, self._host) and owner not in envelope.visited

    def _unvisited_hosts(
        self,
        flow: FlowKey,
        services: Sequence[str],
        envelope: Envelope,
        visited: Collection[int],
        now: float,
    ) -> Iterator[int]:
        """Yield the VMs on which a flow may be and that were not visited, the likeliest first.

        A packet is lost at a VM that doesn't answer, so unreachable ones come last.
        """
        domain = self._placement.candidates.domain_with_hash(envelope.domain_hash)
        unreachable = []
        for host in self._placement.search(flow, services, domain):
            if host in visited or self._presence.has_left(host, services, now):
                continue
            if self._presence.is_unreachable(host, now):
                unreachable.append(host)
            else:
                yield host
        for host in self._presence.hosts_without_target(now):
            if host not in visited:
                yield host
        yield from unreachable
