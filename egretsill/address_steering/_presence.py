"""Evidence of whether a flow may still be open on a VM; absence of data is not evidence."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..directory import Directory, TargetView
from ..fleet import PeerTable

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
        In addition, the agent must be unreachable or another target must have its address. An
        agent is unreachable if a hub reports it so, or if it was not reported for longer than
        replacing a hub takes. A VM that the directory doesn't know may be newer than the directory.
        """
        found = (self._directory.target_at(host, service) for service in services)
        views = [view for view in found if view is not None]
        if not views or not all(_has_departed(view, now) for view in views):
            return False
        if any(self._directory.is_replaced(view) for view in views):
            return True
        if self._peers.is_silent(host):
            return True
        peer = self._peers.peers.get(host)
        last_seen_at = (
            peer.last_seen_at
            if peer is not None
            else max(view.missing_since or 0.0 for view in views)
        )
        return now - last_seen_at > UNREACHABLE_SECONDS

    def hosts_without_target(self, now: float) -> Sequence[int]:
        """Return the VMs whose agents are reachable but on which no target is known."""
        return [
            peer.report.host
            for peer in self._peers.heard(now)
            if not peer.report.is_balancer and not self._directory.has_target_on(peer.report.host)
        ]


def _has_departed(view: TargetView, now: float) -> bool:
    """Return whether a target's entry vanished long enough ago for its last answers to be sent."""
    if view.missing_since is None or not view.has_departed(now):
        return False
    return now - view.missing_since > DEPARTURE_GRACE_SECONDS
