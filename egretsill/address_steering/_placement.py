"""Which target takes a new flow.

The less loaded of the flow's candidates is chosen: the first two of its rank that can take it near
the balancer, and the first of two other cells only if they have less to do. So load is balanced,
and any process that knows only the flow finds its owner.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable, Iterator, Sequence

from ..directory import Directory, Route, TargetPhase, TargetView
from ..fleet import PeerTable
from ..ranking import bucket_of
from ._candidates import CHOICES, Candidates, ServiceRank
from ._packet import FlowKey

REMOTE_REQUESTS = 2.0  # a near target may have more to do; all balancers see an idle distant one
FLOW_LOAD = 0.1  # share of a request that an open flow stands for; long flows mostly pause
COLD_LOAD = 1.6  # a target that has just started takes that much longer
SLOWEST_LOAD = 8.0  # a target is never counted as slower than that, so it can show recovery
FASTEST_DELAY_MILLISECONDS = 10.0  # shorter delays are compared as this one
USUAL_CAPACITY = 4  # for a target that doesn't say how many requests it works on
USUAL_DELAY_SECONDS = 0.5  # for how long a service's usual delay is kept; heartbeats bring more
FORGET_SENT_SECONDS = 5.0  # a count of flows is outdated by then, as heartbeats tell them


class Readiness(enum.IntEnum):
    """How well a VM can take a new flow, as far as heartbeats tell; the lower the better."""

    HEALTHY = 0
    UNCERTAIN = 1
    UNWILLING = 2
    SILENT = 3


class FlowPlacement:
    """Ranks and chooses targets for flows, by the directory and the peers' heartbeats."""

    def __init__(self, directory: Directory, peers: PeerTable, candidates: Candidates) -> None:
        self._directory = directory
        self._peers = peers
        self._candidates = candidates
        self._sent: dict[int, tuple[int, int, float]] = {}
        self._usual_delays: dict[str, tuple[float, float]] = {}

    @property
    def candidates(self) -> Candidates:
        """Return the ranks of the targets."""
        return self._candidates

    def service_of(self, route: Route, flow: FlowKey) -> str:
        """Return the service that a new flow of a route goes to, by the shares' weights."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(each.weight for each in shares)
        point = bucket_of(flow.hash_key) % total if total else 0
        for share in shares:
            point -= share.weight
            if point < 0:
                return share.service
        return shares[0].service

    def search(self, flow: FlowKey, services: Sequence[str], domain: str) -> Iterator[int]:
        """Yield the VMs on which a flow may be open, the likeliest first, each once.

        Args:
            flow: the flow.
            services: the services that may have it.
            domain: failure domain of the balancer that took its packet.
        """
        if len(services) == 1:
            yield from self._candidates.of(services[0]).search(flow, domain)
            return
        seen: set[int] = set()
        for service in services:
            for host in self._candidates.of(service).search(flow, domain):
                if host not in seen:
                    seen.add(host)
                    yield host

    def choose(
        self, flow: FlowKey, service: str, excluded: Collection[int], domain: str, now: float
    ) -> int | None:
        """Return the VM of the target that takes a new flow, or None if there is none.

        Args:
            flow: the flow.
            service: the service that it goes to.
            excluded: VMs that were tried already.
            domain: failure domain of the balancer that took its packet.
            now: local time.
        """
        rank = self._candidates.of(service)
        bucket = bucket_of(flow.hash_key)
        cell = rank.near_cell(domain, bucket)
        near = self._best(rank, rank.ranked(cell, bucket), excluded, CHOICES, now)
        costs = {host: self.load(rank.views[host], now) for host in near}
        extra = 0.0
        if near and self._readiness(near[0], now) is Readiness.HEALTHY:
            best = min(costs, key=costs.__getitem__)
            extra = REMOTE_REQUESTS / _capacity(rank.views[best])
            # No other cell's target of the same capacity can have less to do.
            if costs[best] <= extra + 1.0 / _capacity(rank.views[best]):
                return best
        far: list[int] = []
        for other in rank.cells(bucket):
            if other != cell:
                far += self._best(rank, rank.ranked(other, bucket), excluded, 1, now)
            if len(far) >= CHOICES and self._has_healthy(far, now):
                break
        costs |= {host: self.load(rank.views[host], now) + extra for host in far}
        if not costs:
            return None
        return min(costs, key=lambda host: (self._readiness(host, now), costs[host]))

    def note_sent(self, host: int, now: float) -> None:
        """Count a flow that was placed since the target's last report."""
        peer = self._peers.peers.get(host)
        news = peer.news if peer else 0
        count, counted_at, _ = self._sent.get(host, (0, news, now))
        self._sent[host] = (count + 1 if counted_at == news else 1, news, now)

    def tick(self, now: float) -> None:
        """Forget counts that are outdated."""
        for host, (_, _, sent_at) in tuple(self._sent.items()):
            if now - sent_at > FORGET_SENT_SECONDS:
                del self._sent[host]
        for service, (_, found_at) in tuple(self._usual_delays.items()):
            if now - found_at > FORGET_SENT_SECONDS:
                del self._usual_delays[service]

    def load(self, view: TargetView, now: float) -> float:
        """Return the load of a target, per request that it works on at once."""
        host = view.target.host
        peer = self._peers.peers.get(host)
        load = 1.0
        if peer is not None:
            report = peer.report
            count, counted_at, _ = self._sent.get(host, (0, 0, 0.0))
            load += report.pending + FLOW_LOAD * report.flows
            load += count if counted_at == peer.news else 0
            if report.delay_milliseconds > FASTEST_DELAY_MILLISECONDS:
                load *= self._slowness(report.delay_milliseconds, view.target.service, now)
        if view.cold_until > now:
            load *= COLD_LOAD
        return load / _capacity(view)

    def _best(
        self,
        rank: ServiceRank,
        ranked: Iterable[int],
        excluded: Collection[int],
        count: int,
        now: float,
    ) -> list[int]:
        """Return the first VMs of a rank that take new flows, healthy ones before others."""
        healthy: list[int] = []
        others: list[tuple[Readiness, int]] = []
        for host in ranked:
            if host in excluded or not _is_open(rank.views[host], now):
                continue
            readiness = self._readiness(host, now)
            if readiness is not Readiness.HEALTHY:
                others.append((readiness, host))
                continue
            healthy.append(host)
            if len(healthy) == count:
                break
        if healthy or not others:
            return healthy
        best = min(readiness for readiness, _ in others)
        return [host for readiness, host in others if readiness is best][:count]

    def _has_healthy(self, hosts: Iterable[int], now: float) -> bool:
        return any(self._readiness(each, now) is Readiness.HEALTHY for each in hosts)

    def _readiness(self, host: int, now: float) -> Readiness:
        peer = self._peers.peers.get(host)
        if peer is None:
            return Readiness.UNCERTAIN
        if self._peers.is_silent(host):
            return Readiness.SILENT
        if peer.report.is_leaving or peer.report.is_target_silent:
            return Readiness.UNWILLING
        return Readiness.HEALTHY if self._peers.is_heard(host, now) else Readiness.UNCERTAIN

    def _slowness(self, delay_milliseconds: int, service: str, now: float) -> float:
        usual, found_at = self._usual_delays.get(service, (0.0, float("-inf")))
        if now - found_at > USUAL_DELAY_SECONDS:
            usual = self._usual_delay(service)
            self._usual_delays[service] = (usual, now)
        return min(max(delay_milliseconds / usual, 1.0), SLOWEST_LOAD)

    def _usual_delay(self, service: str) -> float:
        """Return the lower median of what a service's targets take, in milliseconds."""
        peers = self._peers.peers
        delays = [
            peers[host].report.delay_milliseconds
            for host in self._candidates.of(service).views
            if host in peers
        ]
        # The module statistics would cost a start of the process 2% of its time.
        middle = sorted(delays)[(len(delays) - 1) // 2] if delays else 0
        return max(float(middle), FASTEST_DELAY_MILLISECONDS)


def _is_open(view: TargetView, now: float) -> bool:
    """Return whether a target takes new flows by its entry."""
    return view.target.phase is TargetPhase.READY and not view.is_gone(now)


def _capacity(view: TargetView) -> int:
    return max(view.target.capacity or USUAL_CAPACITY, 1)
