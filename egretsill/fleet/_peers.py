"""The processes that this one exchanges heartbeats with, and which of them are heard."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ..ranking import rank
from ._heartbeat import Heartbeat

HEARTBEAT_SECONDS = 0.25  # three fit between the first copies of a caller's opening packet
SILENT_SECONDS = 0.85  # three lost heartbeats and the delay of a busy sender
FORGET_SECONDS = 20.0  # a balancer that was silent for longer has left for good
MAXIMUM_BALANCERS = 2_000  # above the size that the fleet is built for
MAXIMUM_RECIPIENTS = 40  # heartbeats a period that one process sends
TOLD_BALANCERS = 6  # addresses a heartbeat; a newcomer is known to all after two rounds

_RING_KEY = b"heartbeat recipients"


@dataclass(frozen=True, slots=True)
class Peer:
    """What is known of one process.

    Attributes:
        heartbeat: the newest one.
        heard_at: local time of its arrival.
    """

    heartbeat: Heartbeat
    heard_at: float


class PeerTable:
    """Heartbeats of the other processes.

    Args:
        host: IPv4 address of this process, as a number.
        seeds: processes to tell before anything is known.
    """

    def __init__(self, host: int, seeds: Iterable[int]) -> None:
        self._host = host
        self._seeds = frozenset(seeds) - {host}
        self._peers: dict[int, Peer] = {}
        self._named: dict[int, float] = {}
        self._woken_at = float("-inf")

    @property
    def peers(self) -> Mapping[int, Peer]:
        """Return every peer that was ever heard and is not forgotten, by address."""
        return self._peers

    def replace_seeds(self, seeds: Iterable[int]) -> None:
        """Use other seeds from now on."""
        self._seeds = frozenset(seeds) - {self._host}

    def receive(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take over a heartbeat; return whether it is news."""
        if heartbeat.host == self._host:
            return False
        known = self._peers.get(heartbeat.host)
        if known is not None:
            before = known.heartbeat
            # A later run may have a lower number, as the clock of its VM may have been set back.
            is_same_run = heartbeat.incarnation == before.incarnation
            if is_same_run and heartbeat.sequence <= before.sequence:
                return False
        self._peers[heartbeat.host] = Peer(heartbeat, now)
        for host in heartbeat.balancers[:TOLD_BALANCERS]:
            if host != self._host and len(self._named) < MAXIMUM_BALANCERS:
                self._named.setdefault(host, now)
        return True

    def is_heard(self, host: int, now: float) -> bool:
        """Return whether a peer is alive as far as this process can tell."""
        peer = self._peers.get(host)
        return peer is not None and now - max(peer.heard_at, self._woken_at) < SILENT_SECONDS

    def is_silent(self, host: int, now: float) -> bool:
        """Return whether a peer that was heard before is heard no more."""
        peer = self._peers.get(host)
        return peer is not None and now - max(peer.heard_at, self._woken_at) >= SILENT_SECONDS

    def heard(self, now: float) -> Sequence[Peer]:
        """Return the peers that are alive."""
        return [each for host, each in self._peers.items() if self.is_heard(host, now)]

    def readers(self, now: float) -> frozenset[int]:
        """Return the peers that are alive and reach the store."""
        return frozenset(
            each.heartbeat.host
            for each in self.heard(now)
            if each.heartbeat.can_read and not each.heartbeat.is_leaving
        )

    def recipients(self, agents: Iterable[int], now: float) -> Sequence[int]:
        """Return the processes to send a heartbeat to.

        Args:
            agents: addresses of the targets' VMs.
            now: local time.
        """
        heard = {host for host in self._peers if self.is_heard(host, now)}
        wanted = {*agents, *self._seeds, *heard, *self._named} - {self._host}
        if len(wanted) <= MAXIMUM_RECIPIENTS:
            return tuple(wanted)
        key = _RING_KEY + self._host.to_bytes(4, "big")
        return rank(key, wanted)[:MAXIMUM_RECIPIENTS]

    def told_balancers(self, now: float, sequence: int) -> tuple[int, ...]:
        """Return some balancers for the next heartbeat, others each time."""
        known = sorted(
            host
            for host, each in self._peers.items()
            if each.heartbeat.is_balancer and self.is_heard(host, now)
        )
        if len(known) <= TOLD_BALANCERS:
            return tuple(known)
        start = sequence * TOLD_BALANCERS % len(known)
        return tuple((known + known)[start : start + TOLD_BALANCERS])

    def note_wake(self, now: float) -> None:
        """Don't count the own sleep as the others' silence."""
        self._woken_at = now

    def tick(self, now: float) -> None:
        """Forget what has been silent for long."""
        for host, peer in tuple(self._peers.items()):
            if now - max(peer.heard_at, self._woken_at) > FORGET_SECONDS:
                del self._peers[host]
        for host, named_at in tuple(self._named.items()):
            if now - named_at > FORGET_SECONDS:
                del self._named[host]
