"""Where a packet goes whose flow isn't at the agent that it came to.

To the owner that told this agent as the flow's home, or else on along the flow's candidates, in the
manner of Beamer's daisy chaining (Olteanu and others, 2018).
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
    """The next VM on which a flow may be, and why."""

    host: int
    reason: ForwardReason


SearchStep: TypeAlias = SearchHop | RefuseReason | DropReason


class FlowSearch:
    """Looks for flows that are elsewhere.

    Args:
        host: IPv4 address of the agent, as a number.
        service: the service of its target.
        directory: routes and targets.
        presence: tells which VMs may still have flows.
        placement: knows the candidates of flows.
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
        """Return the flows that this agent is home of."""
        return self._homes

    def next_step(self, flow: FlowKey, envelope: Envelope, now: float) -> SearchStep:
        """Return where a packet goes next, or why it goes nowhere.

        Args:
            flow: its flow.
            envelope: how it came here.
            now: local time.
        """
        route = self._directory.route(flow.service_host, flow.service_port)
        if route is None:
            return DropReason.NO_ROUTE
        services = self._directory.flow_services(route)
        visited = {*envelope.visited, self._host}
        owner = self._homes.owner(flow)
        if owner is not None and owner not in visited:
            has_just_told = self._homes.owner(flow, since=now - SILENT_SECONDS) is not None
            if has_just_told or not self._presence.has_left(owner, services, now):
                return SearchHop(owner, ForwardReason.TOLD_BY_OWNER)
            return RefuseReason.OWNER_GONE
        for host in self._places(flow, services, envelope, visited, now):
            return SearchHop(host, ForwardReason.NOT_HERE)
        return RefuseReason.NOWHERE_OPEN

    def may_be_here(self, flow: FlowKey) -> bool:
        """Return whether the agent's target may have a flow by its route."""
        route = self._directory.route(flow.service_host, flow.service_port)
        return route is None or self._service in self._directory.flow_services(route)

    def is_told_elsewhere(
        self, flow: FlowKey, envelope: Envelope, since: float = float("-inf")
    ) -> bool:
        """Return whether an owner that wasn't asked yet told this agent of a flow.

        Args:
            flow: the flow.
            envelope: how a packet of it came here.
            since: what was told before counts for nothing.
        """
        owner = self._homes.owner(flow, since)
        return owner not in (None, self._host) and owner not in envelope.visited

    def _places(
        self,
        flow: FlowKey,
        services: Sequence[str],
        envelope: Envelope,
        visited: Collection[int],
        now: float,
    ) -> Iterator[int]:
        """Yield the VMs on which a flow may be and that were not asked, the likeliest first.

        The search ends at a VM that doesn't answer, so those that aren't heard any more come last.
        """
        domain = self._placement.candidates.domain_marked(envelope.domain_mark)
        missed = []
        for host in self._placement.search(flow, services, domain):
            if host in visited or self._presence.has_left(host, services, now):
                continue
            if self._presence.is_missed(host, now):
                missed.append(host)
            else:
                yield host
        for host in self._presence.hosts_without_target(now):
            if host not in visited:
                yield host
        yield from missed
