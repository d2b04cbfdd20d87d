"""State of the other processes, from their own heartbeats and from reports of hubs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from ._heartbeat import HeartbeatHead, PeerReport

HEARTBEAT_SECONDS = 0.25  # three fit between the first copies of a caller's SYN packet
SILENT_SECONDS = 0.85  # three lost heartbeats and the delay of a busy sender
UNCERTAIN_SECONDS = 3.0  # the state of a peer that was last seen earlier is not relied on
FORGET_SECONDS = 20.0  # a process that was silent for longer has left for good
MILLISECONDS = 1000


@dataclass(slots=True)
class Peer:
    """State of one process as last received.

    Attributes:
        report: the newest report.
        last_seen_at: local time at which any process last received a heartbeat of it.
        reported_at: local time of the last report about it, whether newer or not.
        newer_reports: number of reports that were newer than the one before.
    """

    report: PeerReport
    last_seen_at: float
    reported_at: float
    newer_reports: int = 0

    @property
    def is_silent(self) -> bool:
        """Return whether a hub that receives the process's heartbeats reports it as silent."""
        return self.reported_at - self.last_seen_at >= SILENT_SECONDS


class PeerTable:
    """State of the other processes.

    A process counts as silent only if a hub that it sends heartbeats to reports so. That this
    process received no report about it proves nothing.

    Args:
        host: IPv4 address of this process, as a number.
    """

    def __init__(self, host: int) -> None:
        self._host = host
        self._peers: dict[int, Peer] = {}
        self._runs: dict[int, tuple[int, int, float]] = {}
        self._resumed_at = float("-inf")
        self._first_report_at: float | None = None
        self._last_report_at = 0.0

    @property
    def listening_seconds(self) -> float:
        """Return the time from the first to the last report received, 0 before the first."""
        if self._first_report_at is None:
            return 0.0
        return self._last_report_at - self._first_report_at

    @property
    def peers(self) -> Mapping[int, Peer]:
        """Return the peers that have been seen and are not forgotten, by address."""
        return self._peers

    def receive_head(self, head: HeartbeatHead, now: float) -> bool:
        """Record the sender of a heartbeat; return whether the heartbeat is new."""
        if head.host == self._host:
            return False
        known = self._runs.get(head.host)
        # A later run may have a lower number if the clock of its VM was set back.
        if known is not None and head.incarnation == known[0] and head.sequence <= known[1]:
            return False
        self._runs[head.host] = (head.incarnation, head.sequence, now)
        return True

    def receive_reports(self, reports: Iterable[PeerReport], now: float) -> None:
        """Merge the reports of a heartbeat, keeping the newest of each process."""
        peers = self._peers
        self._last_report_at = now
        if self._first_report_at is None:
            self._first_report_at = now
        for report in reports:
            if report.host == self._host:
                continue
            last_seen_at = now - report.silence_milliseconds / MILLISECONDS
            known = peers.get(report.host)
            if known is None:
                peers[report.host] = Peer(report, last_seen_at, now)
                continue
            known.reported_at = now
            if last_seen_at > known.last_seen_at:
                known.report = report
                known.last_seen_at = last_seen_at
                known.newer_reports += 1

    def is_reachable(self, host: int, now: float) -> bool:
        """Return whether a peer was seen recently and isn't reported as silent."""
        peer = self._peers.get(host)
        if peer is None or peer.is_silent:
            return False
        return now - max(peer.last_seen_at, self._resumed_at) < UNCERTAIN_SECONDS

    @property
    def new_agents(self) -> frozenset[int]:
        """Return the VMs of agents that report that they have just started."""
        return frozenset(host for host, each in self._peers.items() if each.report.is_new)

    def reads_levels(self, now: float) -> bool:
        """Return whether peers were heard, and all of them decode the current heartbeats.

        A hub of an earlier release doesn't pass on that others do, so it counts for them as well.
        """
        heard = self.heard(now)
        return bool(heard) and all(each.report.reads_levels for each in heard)

    def is_silent(self, host: int) -> bool:
        """Return whether a hub that receives a peer's heartbeats reports it as silent."""
        peer = self._peers.get(host)
        return peer is not None and peer.is_silent

    def heard(self, now: float) -> Sequence[Peer]:
        """Return the peers that were seen recently and aren't reported as silent."""
        return [each for host, each in self._peers.items() if self.is_reachable(host, now)]

    def can_read(self, host: int) -> bool:
        """Return whether a peer reaches the store and is neither leaving nor silent.

        True also for an unknown peer.
        """
        peer = self._peers.get(host)
        if peer is None:
            return True
        return peer.report.can_read and not peer.report.is_leaving and not peer.is_silent

    def reports_of(self, hosts: Iterable[int], now: float) -> Sequence[PeerReport]:
        """Return reports of the processes that send their heartbeats to this one.

        Args:
            hosts: these processes; as they send to this one, silence shows that they have failed.
            now: local time.
        """
        found = []
        for host in hosts:
            peer = self._peers.get(host)
            if peer is None:
                continue
            silence = max(now - max(peer.last_seen_at, self._resumed_at), 0.0)
            peer.reported_at = max(peer.reported_at, min(now, peer.last_seen_at + silence))
            found.append(peer.report._replace(silence_milliseconds=int(silence * MILLISECONDS)))
        return found

    def note_scheduling_pause(self, now: float) -> None:
        """Record the end of a scheduling pause, which must not count as silence of peers."""
        self._resumed_at = now

    def tick(self, now: float) -> None:
        """Forget processes that have been silent for `FORGET_SECONDS`."""
        for host, peer in tuple(self._peers.items()):
            if now - max(peer.last_seen_at, self._resumed_at) > FORGET_SECONDS:
                del self._peers[host]
        for host, (_, _, last_seen_at) in tuple(self._runs.items()):
            if now - last_seen_at > FORGET_SECONDS:
                del self._runs[host]
