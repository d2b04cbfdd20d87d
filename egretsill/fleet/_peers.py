"""What is known of the other processes, from their own heartbeats and from their hubs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ._heartbeat import HeartbeatHead, PeerReport

HEARTBEAT_SECONDS = 0.25  # three fit between the first copies of a caller's opening packet
SILENT_SECONDS = 0.85  # three lost heartbeats and the delay of a busy sender
UNCERTAIN_SECONDS = 3.0  # without news of a peer for longer, its state is no longer relied on
FORGET_SECONDS = 20.0  # a process that was silent for longer has left for good
MILLISECONDS = 1000


@dataclass(slots=True)
class Peer:
    """What is known of one process.

    Attributes:
        report: the newest one.
        heard_at: local time at which somebody heard the process last.
        reported_at: local time at which somebody last told whether it was heard.
        news: counts the reports that told something newer.
    """

    report: PeerReport
    heard_at: float
    reported_at: float
    news: int = 0

    @property
    def is_silent(self) -> bool:
        """Return whether somebody who would have heard the process says that it is silent."""
        return self.reported_at - self.heard_at >= SILENT_SECONDS


class PeerTable:
    """The other processes.

    Silence is evidence only of somebody who would have heard: a process is silent if a hub that
    it tells says so, and never because nobody told this process of it.

    Args:
        host: IPv4 address of this process, as a number.
    """

    def __init__(self, host: int) -> None:
        self._host = host
        self._peers: dict[int, Peer] = {}
        self._runs: dict[int, tuple[int, int, float]] = {}
        self._woken_at = float("-inf")

    @property
    def peers(self) -> Mapping[int, Peer]:
        """Return every peer that was ever heard and is not forgotten, by address."""
        return self._peers

    def receive_head(self, head: HeartbeatHead, now: float) -> bool:
        """Note a sender; return whether its heartbeat is news."""
        if head.host == self._host:
            return False
        known = self._runs.get(head.host)
        # A later run may have a lower number, as the clock of its VM may have been set back.
        if known is not None and head.incarnation == known[0] and head.sequence <= known[1]:
            return False
        self._runs[head.host] = (head.incarnation, head.sequence, now)
        return True

    def receive_reports(self, reports: Iterable[PeerReport], now: float) -> None:
        """Take over what a sender told."""
        peers = self._peers
        for report in reports:
            if report.host == self._host:
                continue
            heard_at = now - report.silence_milliseconds / MILLISECONDS
            known = peers.get(report.host)
            if known is None:
                peers[report.host] = Peer(report, heard_at, now)
                continue
            known.reported_at = now
            if heard_at > known.heard_at:
                known.report = report
                known.heard_at = heard_at
                known.news += 1

    def is_heard(self, host: int, now: float) -> bool:
        """Return whether a peer is alive as far as this process can tell."""
        peer = self._peers.get(host)
        if peer is None or peer.is_silent:
            return False
        return now - max(peer.heard_at, self._woken_at) < UNCERTAIN_SECONDS

    @property
    def new_agents(self) -> frozenset[int]:
        """Return the VMs of agents that say they have just started."""
        return frozenset(host for host, each in self._peers.items() if each.report.is_new)

    def is_silent(self, host: int) -> bool:
        """Return whether somebody who would have heard a peer says that it is silent."""
        peer = self._peers.get(host)
        return peer is not None and peer.is_silent

    def heard(self, now: float) -> Sequence[Peer]:
        """Return the peers that are alive."""
        return [each for host, each in self._peers.items() if self.is_heard(host, now)]

    def can_read(self, host: int) -> bool:
        """Return whether a peer reaches the store, is there and stays, as far as is known."""
        peer = self._peers.get(host)
        if peer is None:
            return True
        return peer.report.can_read and not peer.report.is_leaving and not peer.is_silent

    def reports_of(self, hosts: Iterable[int], now: float) -> Sequence[PeerReport]:
        """Return what to tell of processes that tell this one.

        Args:
            hosts: they send their heartbeats here, so their silence is evidence.
            now: local time.
        """
        found = []
        for host in hosts:
            peer = self._peers.get(host)
            if peer is None:
                continue
            silence = max(now - max(peer.heard_at, self._woken_at), 0.0)
            peer.reported_at = max(peer.reported_at, min(now, peer.heard_at + silence))
            found.append(peer.report._replace(silence_milliseconds=int(silence * MILLISECONDS)))
        return found

    def note_wake(self, now: float) -> None:
        """Don't count the own sleep as the others' silence."""
        self._woken_at = now

    def tick(self, now: float) -> None:
        """Forget what has been silent for long."""
        for host, peer in tuple(self._peers.items()):
            if now - max(peer.heard_at, self._woken_at) > FORGET_SECONDS:
                del self._peers[host]
        for host, (_, _, heard_at) in tuple(self._runs.items()):
            if now - heard_at > FORGET_SECONDS:
                del self._runs[host]
