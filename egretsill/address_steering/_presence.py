"""Evidence of whether a flow may still be open on a VM; absence of data is not evidence."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from ..directory import Directory, TargetView
from ..fleet import FORGET_SECONDS, PeerTable

DEPARTURE_GRACE_SECONDS = 1.0  # a target may still answer this long after its entry vanished
UNREACHABLE_SECONDS = 5.0  # a failed hub is bypassed for 3 s; other cells notice it after 2 s


class Presence:
    """Combines the directory and the heartbeats into the state of VMs.

    Args:
        directory: routes and targets.
        peers: heartbeats of the other processes.
    """

    def __init__(self, directory: Directory, peers: PeerTable) -> None:
        self._directory = directory
        self._peers = peers

    def is_unreachable(self, host: int, now: float) -> bool:
        """Return whether a VM's agent was reachable before and no longer is."""
        return host in self._peers.peers and not self._peers.is_reachable(host, now)

    def has_left(self, host: int, services: Iterable[str], now: float) -> bool:
        """Return whether the targets of some services on a VM are known to have ended.

        A vanished entry alone is no proof, because entries also expire while their targets serve.
        Another entry for its VM is none either, because any writer may make one. In addition, the
        agent must be unreachable; one that answers knows which flows its target has. An agent is
        unreachable if a hub reports it so, or if it was not reported for longer than replacing a
        hub takes. A VM that the directory doesn't know may be newer than the directory.

        Args:
            host: the VM.
            services: the services; if none of them has a target there, those of routed services
                count, and without these all targets.
            now: local time.
        """
        views = (
            self._targets_of(host, services)
            or self._targets_of(host, self._routed_services_on(host))
            or self._directory.targets_on(host)
        )
        if not views or not all(_has_departed(view, now) for view in views):
            return False
        if self._peers.is_silent(host):
            return True
        peer = self._peers.peers.get(host)
        last_seen_at = (
            peer.last_seen_at
            if peer is not None
            else max(view.missing_since or 0.0 for view in views)
        )
        return now - last_seen_at > UNREACHABLE_SECONDS

    def is_known_agent(self, host: int) -> bool:
        """Return whether an agent on a VM has been heard of lately, whether it answers or not."""
        peer = self._peers.peers.get(host)
        return peer is not None and not peer.report.is_balancer

    def reachable_agents(self, now: float) -> Iterator[int]:
        """Yield the VMs of the agents that are reachable, whatever is known of their targets."""
        for host in self._peers.peers:
            if self.is_known_agent(host) and self._peers.is_reachable(host, now):
                yield host

    def has_routed_target(self, host: int) -> bool:
        """Return whether a target of a routed service is known on a VM, or was until recently."""
        return bool(self._routed_services_on(host))

    def unreachable_vms(self, listening_since: float, now: float) -> Iterator[int]:
        """Yield the VMs that don't answer, but on which flows may be open.

        An entry of a service without a route doesn't show that an agent runs beside its target. If
        one does, it is heard of within `FORGET_SECONDS`. It may be away just then, and hubs that
        started later than it stopped don't know of it either.

        Args:
            listening_since: local time since which this process receives heartbeats.
            now: local time.
        """
        for host, peer in self._peers.peers.items():
            if not self.is_known_agent(host) or self._peers.is_reachable(host, now):
                continue
            if self._directory.targets_on(host):
                has_left = self.has_left(host, (), now)
            else:
                has_left = now - peer.last_seen_at > UNREACHABLE_SECONDS
            if not has_left:
                yield host
        is_starting = now - listening_since <= FORGET_SECONDS
        for host in self._directory.target_hosts:
            if self.is_known_agent(host):
                continue
            if is_starting or (self.has_routed_target(host) and not self.has_left(host, (), now)):
                yield host

    def _targets_of(self, host: int, services: Iterable[str]) -> Sequence[TargetView]:
        """Return the newest target of each service on a VM."""
        found = (self._directory.target_at(host, service) for service in services)
        return [view for view in found if view is not None]

    def _routed_services_on(self, host: int) -> Sequence[str]:
        services = (view.target.service for view in self._directory.targets_on(host))
        return [each for each in services if self._directory.is_routed(each)]


def _has_departed(view: TargetView, now: float) -> bool:
    """Return whether a target's entry vanished long enough ago for its last answers to be sent."""
    if view.missing_since is None or view.superseded_by or not view.has_departed(now):
        return False
    return now - view.missing_since > DEPARTURE_GRACE_SECONDS
