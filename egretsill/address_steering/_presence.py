"""Whether a flow may still be open on a VM, told from evidence and not from absence."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from ..directory import Directory, TargetView
from ..fleet import FORGET_SECONDS, PeerTable

DEPARTED_SECONDS = 1.0  # a target whose entry vanished may answer for that long


class Presence:
    """What the directory and the heartbeats together tell of VMs.

    Args:
        directory: routes and targets.
        peers: heartbeats of the others.
    """

    def __init__(self, directory: Directory, peers: PeerTable) -> None:
        self._directory = directory
        self._peers = peers

    def is_silent(self, host: int) -> bool:
        """Return whether somebody who would have heard a VM's agent says that it is silent."""
        return self._peers.is_silent(host)

    def has_left(self, host: int, services: Iterable[str], now: float) -> bool:
        """Return whether the targets of some services on a VM are known to be over.

        A vanished entry alone is no proof, as entries also expire while their targets serve: its
        agent must be known to be silent too, or another target must have its address. A VM that
        the directory doesn't know may be newer than the directory.
        """
        found = (self._directory.target_at(host, service) for service in services)
        views = [view for view in found if view is not None]
        if not views or not all(_has_departed(view, now) for view in views):
            return False
        if any(self._directory.is_replaced(view) for view in views):
            return True
        if self._peers.peers.get(host) is not None:
            return self._peers.is_silent(host)
        # Whoever was heard after the entry vanished would still be known.
        return all(now - (view.gone_at or now) > FORGET_SECONDS for view in views)

    def unexplained(self, now: float) -> Sequence[int]:
        """Return the VMs of agents that are heard though the directory knows no target there."""
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
