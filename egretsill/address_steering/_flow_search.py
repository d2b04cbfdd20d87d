"""Where a packet goes whose flow isn't at the agent that it came to.

To the owner that told this agent as the flow's home, or else on along the flow's candidates, in the
manner of Beamer's daisy chaining (Olteanu and others, 2018).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..directory import Directory, Route
from ..fleet import PeerTable
from ._candidates import has_departed
from ._decisions import DropReason, ForwardReason, RefuseReason
from ._homes import HomeTable
from ._packet import FlowKey
from ._placement import FlowPlacement
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
        directory: routes and targets.
        peers: heartbeats of the others.
        placement: knows the candidates of flows.
    """

    def __init__(
        self, host: int, directory: Directory, peers: PeerTable, placement: FlowPlacement
    ) -> None:
        self._host = host
        self._directory = directory
        self._peers = peers
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
            return DropReason.NO_TARGET
        visited = {*envelope.visited, self._host}
        owner = self._homes.owner(flow)
        if owner is not None and owner not in visited:
            if not self._is_gone(owner, route, now):
                return SearchHop(owner, ForwardReason.TOLD_BY_OWNER)
            self._homes.forget(flow)
            return RefuseReason.OWNER_GONE
        domain = self._placement.candidates.domain_marked(envelope.domain_mark)
        for host in self._placement.search(flow, route.services, domain):
            if host not in visited and not self._is_empty(host, route, now):
                return SearchHop(host, ForwardReason.NOT_HERE)
        return RefuseReason.NOWHERE_OPEN

    def _is_gone(self, host: int, route: Route, now: float) -> bool:
        """Return whether a flow's owner is known to have left with its VM.

        An owner that isn't known here may be newer than this agent's directory.
        """
        views = [self._directory.target_at(host, service) for service in route.services]
        known = [each for each in views if each is not None]
        return (
            bool(known)
            and all(has_departed(each, now) for each in known)
            and not self._peers.is_heard(host, now)
        )

    def _is_empty(self, host: int, route: Route, now: float) -> bool:
        """Return whether no flow can be open on a VM, as its target has left."""
        views = [self._directory.target_at(host, service) for service in route.services]
        return all(view is None or view.is_gone(now) for view in views)
