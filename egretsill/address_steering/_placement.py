"""Choice of the target for a new flow.

The one of the flow's candidates is chosen that is expected to finish its request first, or the
least loaded one while nothing is known about the work of requests. The candidates are the first two
targets in its rank that accept it near the balancer, and the first target of each of two other
cells if those may be better. This balances the load, and any process can find the owner from the
flow alone.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable, Iterator, Sequence
from itertools import islice

from ..directory import Directory, Route, TargetView
from ..fleet import Peer, PeerTable
from ..ranking import bucket_of
from ._candidates import CHOICES, Candidates, ServiceRank
from ._expected_finish import (
    FAR_DISTANCE_SECONDS,
    ServiceWork,
    TargetOutlook,
    WorkTable,
)
from ._failing_targets import FailingTargets
from ._packet import FlowKey
from ._warm_up_pace import paced_load_factor

# An idle target in another cell attracts all balancers at once, so a near one may have more to do.
REMOTE_PENALTY_REQUESTS = 2.0
FLOW_LOAD = 0.1  # load of an open flow, in requests; long flows are idle most of the time
WARM_UP_LOAD_FACTOR = 1.6  # requests take that much longer at a target that has just started
MAXIMUM_SLOWNESS = 8.0  # limits the load factor of slow targets, so that they can show recovery
MINIMUM_DELAY_MILLISECONDS = 10.0  # shorter delays are compared as this one
DEFAULT_CAPACITY = 4  # for a target that doesn't report how many requests it works on
MEDIAN_DELAY_CACHE_SECONDS = 0.5  # how long a service's median delay is cached between heartbeats
SENT_COUNT_LIFETIME_SECONDS = 5.0  # by then, heartbeats have reported the counted flows


class Readiness(enum.IntEnum):
    """How well a VM can accept a new flow according to heartbeats; lower is better."""

    HEALTHY = 0
    UNCERTAIN = 1
    FAILING = 2
    NOT_ACCEPTING = 3
    UNREACHABLE = 4


class FlowPlacement:
    """Ranks and chooses targets for flows, based on the directory and the peers' heartbeats.

    Args:
        directory: routes and targets.
        peers: heartbeats of the other processes.
        candidates: ranks of the targets.
        uses_expected_finish: whether targets are chosen by when they are expected to finish the
            request, if that is known; otherwise by their loads.
    """

    def __init__(
        self,
        directory: Directory,
        peers: PeerTable,
        candidates: Candidates,
        uses_expected_finish: bool = True,
    ) -> None:
        self._uses_expected_finish = uses_expected_finish
        self._directory = directory
        self._peers = peers
        self._candidates = candidates
        self._sent_counts: dict[int, tuple[int, int, float]] = {}
        self._median_delays: dict[str, tuple[float, float]] = {}
        self._work = WorkTable(peers)
        self._failing = FailingTargets(directory, peers, candidates)

    @property
    def failing(self) -> FailingTargets:
        """Return which services have too many failing targets to avoid them."""
        return self._failing

    @property
    def candidates(self) -> Candidates:
        """Return the ranks of the targets."""
        return self._candidates

    def service_of(self, route: Route, flow: FlowKey) -> str:
        """Return the service for a new flow of a route, according to the shares' weights."""
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
            domain: failure domain of the balancer that received its packet.
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
        """Return the VM of the target chosen for a new flow, or None if there is none.

        Args:
            flow: the flow.
            service: the service that it goes to.
            excluded: VMs that were tried already.
            domain: failure domain of the balancer that received its packet.
            now: local time.
        """
        rank = self._candidates.of(service)
        bucket = bucket_of(flow.hash_key)
        cell = rank.near_cell(domain, bucket)
        near = self._first_ready(rank, rank.ranked(cell, bucket), excluded, CHOICES, now)
        if self._uses_expected_finish:
            work = self.work_of(service, now)
            if work.usual_seconds and near and self._readiness(near[0], now) is Readiness.HEALTHY:
                return self._first_to_finish(rank, bucket, cell, near, excluded, work, now)
        costs = {host: self.load(rank.views[host], now) for host in near}
        extra = 0.0
        if near and self._readiness(near[0], now) is Readiness.HEALTHY:
            best = min(costs, key=costs.__getitem__)
            extra = REMOTE_PENALTY_REQUESTS / _capacity(rank.views[best])
            # A target of the same capacity in another cell can't have a lower cost.
            if costs[best] <= extra + 1.0 / _capacity(rank.views[best]):
                return best
        far: list[int] = []
        for other in rank.cells(bucket):
            if other != cell:
                far += self._first_ready(rank, rank.ranked(other, bucket), excluded, 1, now)
            if len(far) >= CHOICES and self._has_healthy(far, now):
                break
        costs |= {host: self.load(rank.views[host], now) + extra for host in far}
        if not costs:
            return None
        return min(costs, key=lambda host: (self._readiness(host, now), costs[host]))

    def alternatives(
        self, flow: FlowKey, service: str, excluded: Collection[int], domain: str, now: float
    ) -> tuple[int, ...]:
        """Return the candidates of a new flow that may accept it.

        Args:
            flow: the flow.
            service: the service that it goes to.
            excluded: VMs that were tried already.
            domain: failure domain of the balancer that received its packet.
            now: local time.
        """
        rank = self._candidates.of(service)
        bucket = bucket_of(flow.hash_key)
        near = rank.near_cell(domain, bucket)
        hosts: dict[int, None] = {}
        for cell in (near, *rank.cells(bucket)[: CHOICES + 1]):
            count = CHOICES if cell == near else 1
            usable = (
                host
                for host in rank.ranked(cell, bucket)
                if host not in excluded
                and self._takes_new_flows(rank.views[host], now)
                and self._readiness(host, now) <= Readiness.UNCERTAIN
            )
            hosts.update(dict.fromkeys(islice(usable, count)))
        return tuple(hosts)

    def is_evacuated(self, host: int, service: str) -> bool:
        """Return whether a service's target on a VM is in an evacuated failure domain."""
        view = self._candidates.of(service).views.get(host)
        return view is not None and self._directory.is_evacuated(view.target.failure_domain)

    def has_evacuated_targets(self, service: str, now: float) -> bool:
        """Return whether targets of a service would take new flows, were they not evacuated."""
        views = self._candidates.of(service).views
        return any(
            self.is_evacuated(host, service) and view.takes_new_flows(now)
            for host, view in views.items()
        )

    def work_of(self, service: str, now: float) -> ServiceWork:
        """Return what a service's targets take for a usual request."""
        return self._work.of(service, self._candidates.of(service).views, now)

    def expected_finish(self, view: TargetView, now: float) -> float | None:
        """Return the seconds until a target would finish a usual request; None if unknown.

        The distance to it isn't included.
        """
        work = self.work_of(view.target.service, now)
        return self._outlook(view, work, now).finish_seconds() if work.usual_seconds else None

    def _first_to_finish(
        self,
        rank: ServiceRank,
        bucket: int,
        cell: str,
        near: Sequence[int],
        excluded: Collection[int],
        work: ServiceWork,
        now: float,
    ) -> int:
        """Return the candidate that would finish a request first.

        Args:
            rank: rank of the service's targets.
            bucket: hash bucket of the flow.
            cell: the near cell.
            near: the candidates there, at least one.
            excluded: VMs that were tried already.
            work: of the service.
            now: local time.
        """
        finish = {
            host: self._outlook(rank.views[host], work, now).finish_seconds() for host in near
        }
        best = min(finish, key=finish.__getitem__)
        # Not even an idle target in another cell would be earlier.
        if finish[best] <= work.fastest_seconds + FAR_DISTANCE_SECONDS:
            return best
        others = (each for each in rank.cells(bucket) if each != cell)
        for other in islice(others, CHOICES):
            for host in self._first_ready(rank, rank.ranked(other, bucket), excluded, 1, now):
                outlook = self._outlook(rank.views[host], work, now)
                if self._readiness(host, now) is Readiness.HEALTHY:
                    finish[host] = outlook.finish_seconds(FAR_DISTANCE_SECONDS)
        return min(finish, key=finish.__getitem__)

    def _outlook(self, view: TargetView, work: ServiceWork, now: float) -> TargetOutlook:
        host = view.target.host
        peer = self._peers.peers.get(host)
        sent = self._sent_since_report(host, peer) if peer is not None else 0
        slowdown = self._warm_up_factor(view, now) if view.warmup_ends_at > now else 1.0
        return self._work.outlook(host, _capacity(view), work.usual_seconds * slowdown, sent, now)

    def note_sent(self, host: int, now: float) -> None:
        """Count a flow that was placed since the target's last report."""
        peer = self._peers.peers.get(host)
        report_count = peer.newer_reports if peer else 0
        count, counted_at, _ = self._sent_counts.get(host, (0, report_count, now))
        self._sent_counts[host] = (
            count + 1 if counted_at == report_count else 1,
            report_count,
            now,
        )

    def tick(self, now: float) -> None:
        """Remove counts and cached delays that are outdated."""
        for host, (_, _, sent_at) in tuple(self._sent_counts.items()):
            if now - sent_at > SENT_COUNT_LIFETIME_SECONDS:
                del self._sent_counts[host]
        for service, (_, found_at) in tuple(self._median_delays.items()):
            if now - found_at > SENT_COUNT_LIFETIME_SECONDS:
                del self._median_delays[service]
        self._work.sweep(now)

    def load(self, view: TargetView, now: float) -> float:
        """Return the load of a target, relative to its capacity in concurrent requests."""
        host = view.target.host
        peer = self._peers.peers.get(host)
        load = 1.0
        if peer is not None:
            report = peer.report
            load += report.pending + FLOW_LOAD * report.flows
            load += self._sent_since_report(host, peer)
            if report.delay_milliseconds > MINIMUM_DELAY_MILLISECONDS:
                load *= self._slowness(report.delay_milliseconds, view.target.service, now)
        if view.warmup_ends_at > now:
            load *= self._warm_up_factor(view, now)
        return load / _capacity(view)

    def _sent_since_report(self, host: int, peer: Peer) -> int:
        """Return the number of flows that were placed at a target since its last report."""
        count, counted_at, _ = self._sent_counts.get(host, (0, 0, 0.0))
        return count if counted_at == peer.newer_reports else 0

    def _first_ready(
        self,
        rank: ServiceRank,
        ranked: Iterable[int],
        excluded: Collection[int],
        count: int,
        now: float,
    ) -> list[int]:
        """Return the first VMs of a rank that accept new flows; others only if none is healthy."""
        healthy: list[int] = []
        others: list[tuple[Readiness, int]] = []
        for host in ranked:
            if host in excluded or not self._takes_new_flows(rank.views[host], now):
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

    def _takes_new_flows(self, view: TargetView, now: float) -> bool:
        is_evacuated = self._directory.is_evacuated(view.target.failure_domain)
        return not is_evacuated and view.takes_new_flows(now)

    def _has_healthy(self, hosts: Iterable[int], now: float) -> bool:
        return any(self._readiness(each, now) is Readiness.HEALTHY for each in hosts)

    def _readiness(self, host: int, now: float) -> Readiness:
        peer = self._peers.peers.get(host)
        if peer is None:
            return Readiness.UNCERTAIN
        if self._peers.is_silent(host):
            return Readiness.UNREACHABLE
        if peer.report.is_leaving or peer.report.is_target_silent:
            return Readiness.NOT_ACCEPTING
        if peer.report.is_target_failing and not self._failing.are_too_many(host, now):
            return Readiness.FAILING
        return Readiness.HEALTHY if self._peers.is_reachable(host, now) else Readiness.UNCERTAIN

    def _warm_up_factor(self, view: TargetView, now: float) -> float:
        terms = self._directory.warm_up_terms(view.target.service)
        if terms is None:
            return WARM_UP_LOAD_FACTOR
        usual = self._usual_delay(view.target.service, now)
        return paced_load_factor(terms, _capacity(view), usual, WARM_UP_LOAD_FACTOR)

    def is_preferable(self, host: int, now: float) -> bool:
        """Return whether a target is known to be better than one that fails its requests."""
        return self._readiness(host, now) is Readiness.HEALTHY

    def _slowness(self, delay_milliseconds: int, service: str, now: float) -> float:
        usual = self._usual_delay(service, now)
        return min(max(delay_milliseconds / usual, 1.0), MAXIMUM_SLOWNESS)

    def _usual_delay(self, service: str, now: float) -> float:
        usual, found_at = self._median_delays.get(service, (0.0, float("-inf")))
        if now - found_at > MEDIAN_DELAY_CACHE_SECONDS:
            usual = self._median_delay(service)
            self._median_delays[service] = (usual, now)
        return usual

    def _median_delay(self, service: str) -> float:
        """Return the lower median of the delays of a service's targets, in milliseconds."""
        peers = self._peers.peers
        delays = [
            peers[host].report.delay_milliseconds
            for host in self._candidates.of(service).views
            if host in peers
        ]
        # Importing the module statistics would make the start of the process 2% slower.
        middle = sorted(delays)[(len(delays) - 1) // 2] if delays else 0
        return max(float(middle), MINIMUM_DELAY_MILLISECONDS)


def _capacity(view: TargetView) -> int:
    return max(view.target.capacity or DEFAULT_CAPACITY, 1)
