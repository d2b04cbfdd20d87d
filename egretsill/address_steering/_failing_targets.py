"""Services of which so many targets are failing that the others couldn't take their flows."""

from __future__ import annotations

from collections import Counter

from ..directory import Directory
from ..fleet import PeerTable
from ._candidates import Candidates

# With more failing targets the others would be overloaded, so the reports are ignored (the panic
# threshold of Envoy's load balancing).
MAXIMUM_FAILING_SHARE = 0.4
CACHE_SECONDS = 0.5  # how long the services are cached between heartbeats


class FailingTargets:
    """Compares the number of failing targets with that of the targets that take new flows.

    Args:
        directory: the targets.
        peers: heartbeats of the agents, which report whether their targets are failing.
        candidates: ranks of the targets.
    """

    def __init__(self, directory: Directory, peers: PeerTable, candidates: Candidates) -> None:
        self._directory = directory
        self._peers = peers
        self._candidates = candidates
        self._services: frozenset[str] = frozenset()
        self._found_at = float("-inf")

    def are_too_many(self, host: int, now: float) -> bool:
        """Return whether too many targets of a service are failing for others to take their flows.

        Args:
            host: a VM of the service.
            now: local time.
        """
        if now - self._found_at > CACHE_SECONDS:
            self._found_at = now
            self._services = self._find_services(now)
        views = self._directory.targets_on(host)
        return any(each.target.service in self._services for each in views)

    def _find_services(self, now: float) -> frozenset[str]:
        failing: Counter[str] = Counter()
        for host, peer in self._peers.peers.items():
            if peer.report.is_target_failing and self._accepts(host):
                failing.update({each.target.service for each in self._directory.targets_on(host)})
        return frozenset(
            service
            for service, count in failing.items()
            if count > MAXIMUM_FAILING_SHARE * self._count_accepting(service, now)
        )

    def _count_accepting(self, service: str, now: float) -> int:
        """Return the number of targets of a service that take new flows, as far as is known."""
        return sum(
            view.takes_new_flows(now) and self._accepts(host)
            for host, view in self._candidates.of(service).views.items()
        )

    def _accepts(self, host: int) -> bool:
        peer = self._peers.peers.get(host)
        if peer is None:
            return True
        is_closed = peer.report.is_leaving or peer.report.is_target_silent
        return not (is_closed or self._peers.is_silent(host))
