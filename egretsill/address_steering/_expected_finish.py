"""Expected time until a target would finish a request, as seen from another process.

It is the wait for a slot, the work at the speed of that target, and the distance to it (shortest
expected delay routing; Banawan and Zahorjan, 1989). Reports of the wait are old when they are used:
the target has worked since, and other processes have sent requests to it. So what was reported
shrinks with its age, and this process's own choices since the report are added (Mitzenmacher, "How
Useful Is Old Information?", 2000).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..fleet import PeerTable

# A target in use gets new requests while it works, so its backlog shrinks by less than the time.
DRAIN_SHARE = 0.5
# Two round trips to another failure domain, and a margin, as the traffic between them is expensive.
FAR_DISTANCE_SECONDS = 0.015
WORK_CACHE_SECONDS = 0.5  # how long a service's work is cached between heartbeats
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class ServiceWork:
    """What a service's targets take for a usual request.

    Attributes:
        usual_seconds: the median of the targets; 0 if none is known.
        fastest_seconds: the lowest of them.
    """

    usual_seconds: float = 0.0
    fastest_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class TargetOutlook:
    """What is known of a target.

    Attributes:
        backlog_seconds: reported time until it could start one more request.
        age_seconds: age of that report.
        work_seconds: time that it takes for a usual request.
        slots: number of requests that it works on at once.
        sent: requests that this process has sent to it since the report.
    """

    backlog_seconds: float
    age_seconds: float
    work_seconds: float
    slots: int
    sent: int = 0

    def wait_seconds(self) -> float:
        """Return the expected time until it could start one more request."""
        reported = max(self.backlog_seconds - DRAIN_SHARE * self.age_seconds, 0.0)
        return reported + self.sent * self.work_seconds / self.slots

    def finish_seconds(self, distance_seconds: float = 0.0) -> float:
        """Return the expected time until it would finish one more usual request.

        Args:
            distance_seconds: time that its packets spend on the way, beyond that of a near target.
        """
        return self.wait_seconds() + self.work_seconds + distance_seconds


class WorkTable:
    """What the services' targets take for a usual request, from the heartbeats of their agents.

    Args:
        peers: heartbeats of the other processes.
    """

    def __init__(self, peers: PeerTable) -> None:
        self._peers = peers
        self._services: dict[str, tuple[ServiceWork, float]] = {}

    def of(self, service: str, hosts: Iterable[int], now: float) -> ServiceWork:
        """Return the work of a service.

        Args:
            service: its name.
            hosts: the VMs of its targets.
            now: local time.
        """
        known = self._services.get(service)
        if known is None or now - known[1] > WORK_CACHE_SECONDS:
            known = self._services[service] = (self._find(hosts), now)
        return known[0]

    def outlook(
        self, host: int, slots: int, usual_seconds: float, sent: int, now: float
    ) -> TargetOutlook:
        """Return what is known of a target.

        Args:
            host: its VM.
            slots: number of requests that it works on at once.
            usual_seconds: its work for a usual request if its agent doesn't know it yet.
            sent: requests that this process has sent to it since its last report.
            now: local time.
        """
        peer = self._peers.peers.get(host)
        if peer is None:
            return TargetOutlook(0.0, 0.0, usual_seconds, slots, sent)
        report, age = peer.report, now - peer.last_seen_at
        if not report.work_milliseconds:
            # An agent that doesn't know the work of requests can't tell its target's backlog.
            backlog = report.pending * usual_seconds / slots if report.pending >= slots else 0.0
            return TargetOutlook(backlog, age, usual_seconds, slots, sent)
        return TargetOutlook(
            report.backlog_milliseconds / MILLISECONDS,
            age,
            report.work_milliseconds / MILLISECONDS,
            slots,
            sent,
        )

    def sweep(self, now: float) -> None:
        """Remove what is outdated."""
        for service, (_, found_at) in tuple(self._services.items()):
            if now - found_at > WORK_CACHE_SECONDS:
                del self._services[service]

    def _find(self, hosts: Iterable[int]) -> ServiceWork:
        peers = self._peers.peers
        known = sorted(
            peers[host].report.work_milliseconds
            for host in hosts
            if host in peers and peers[host].report.work_milliseconds
        )
        if not known:
            return ServiceWork()
        return ServiceWork(known[len(known) // 2] / MILLISECONDS, known[0] / MILLISECONDS)
