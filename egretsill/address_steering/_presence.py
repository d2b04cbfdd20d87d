"""Whether a flow may still be open on a VM, told from evidence and not from absence."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..directory import Directory, TargetView
from ..fleet import PeerTable

DEPARTED_SECONDS = 1.0  # a target whose entry vanished may answer for that long
LOST_SECONDS = 5.0  # a hub that fails is passed over for 3 s, and missed after 2 s by other cells


class Presence:
    """What the directory and the heartbeats together tell of VMs.

    Args:
        directory: routes and targets.
        peers: heartbeats of the others.
    """

    def __init__(self, directory: Directory, peers: PeerTable) -> None:
        self._directory = directory
        self._peers = peers

    def is_missed(self, host: int, now: float) -> bool:
        """Return whether a VM's agent was heard before and isn't any more."""
        return host in self._peers.peers and not self._peers.is_heard(host, now)

    def has_left(self, host: int, services: Iterable[str], now: float) -> bool:
        """Return whether the targets of some services on a VM are known to be over.

        A vanished entry alone is no proof, as entries also expire while their targets serve: its
        agent must be silent too, or another target must have its address. Silent is an agent of
        which a hub says so, or of which nobody has told for longer than hubs take to be replaced.
        A VM that the directory doesn't know may be newer than the directory.
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
        heard_at = peer.heard_at if peer is not None else max(view.gone_at or 0.0 for view in views)
        return now - heard_at > LOST_SECONDS

    def hosts_without_target(self, now: float) -> Sequence[int]:
        """Return the VMs of agents that are heard though no target there is known."""
        return [
            peer.report.host
            for peer in self._peers.heard(now)
            if not peer.report.is_balancer and not self._directory.knows_host(peer.report.host)
        ]


def _has_departed(view: TargetView, now: float) -> bool:
    """Return whether a target's entry vanished and its last packets have been answered."""
    if view.gone_at is None or not view.is_gone(now):
        return False
    return now - view.gone_at > DEPARTED_SECONDS
