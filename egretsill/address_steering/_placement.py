"""Which target takes a new flow.

The two first targets in the flow's rendezvous rank that can take it are compared, and the less
loaded one is chosen (the power of two choices; Mitzenmacher, 2001). So load is balanced, and any
process that knows only the flow finds its owner among the first of the rank. Targets in the failure
domain of the balancer that took the packet come first, and the others only if they have less to do.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from ..directory import Directory, Route, TargetPhase, TargetView
from ..fleet import Heartbeat, PeerTable
from ..ranking import bucket_of, rank
from ._packet import FlowKey

CHOICES = 2
REMOTE_LOAD = (
    0.5  # request a slot; a target next door may have so much more to do than a distant one
)
FLOW_LOAD = 0.1  # share of a request that an open flow stands for; long flows mostly pause
COLD_LOAD = 1.6  # a target that has just started takes that much longer
SLOWEST_LOAD = 8.0  # a target is never counted as slower than that, so it can show recovery
FASTEST_DELAY_MILLISECONDS = 10.0  # shorter delays are compared as this one
USUAL_CAPACITY = 4  # for a target that doesn't say how many requests it works on


class FlowPlacement:
    """Ranks and chooses targets for flows, by the directory and the peers' heartbeats."""

    def __init__(self, directory: Directory, peers: PeerTable) -> None:
        self._directory = directory
        self._peers = peers
        self._sent: dict[int, tuple[int, int]] = {}

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

    def ranked(self, flow: FlowKey, services: Sequence[str], domain: str) -> Sequence[int]:
        """Return the VMs on which a flow may be open, the likeliest first.

        VMs of targets that left come last, as few of their flows are still open.

        Args:
            flow: the flow.
            services: the services that may have it.
            domain: failure domain of the balancer that took its packet.
        """
        order: list[int] = []
        for service in services:
            places: dict[int, tuple[bool, bool]] = {}
            for each in self._directory.targets_of(service):
                place = (each.gone_at is not None, each.target.failure_domain != domain)
                places[each.target.host] = min(place, places.get(each.target.host, place))
            hosts = sorted(rank(flow.hash_key, places), key=places.__getitem__)
            order.extend(host for host in hosts if host not in order)
        return order

    def domain_of(self, balancer: int) -> str:
        """Return the failure domain of a balancer, empty if it is unknown."""
        peer = self._peers.peers.get(balancer)
        return peer.heartbeat.failure_domain if peer is not None else ""

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
        usable = {
            each.target.host: each
            for each in self._directory.targets_of(service)
            if each.target.phase is TargetPhase.READY
            and (each.gone_at is None or each.lapsed_until > now)
            and each.target.host not in excluded
        }
        heard = {host for host in usable if self._peers.is_heard(host, now)}
        silent = {host for host in heard if self._heartbeat(host).is_target_silent}
        leaving = {host for host in heard if self._heartbeat(host).is_leaving}
        unknown = {host for host in usable if host not in self._peers.peers}
        tiers = (heard - silent - leaving, unknown, usable.keys() - silent - leaving, usable)
        for tier in tiers:
            if tier:
                return self._lesser(flow, usable, tier, domain, now)
        return None

    def note_sent(self, host: int) -> None:
        """Count a flow that was placed since the target's last heartbeat."""
        peer = self._peers.peers.get(host)
        sequence = peer.heartbeat.sequence if peer else 0
        count, counted_at = self._sent.get(host, (0, sequence))
        self._sent[host] = (count + 1 if counted_at == sequence else 1, sequence)

    def load(self, view: TargetView, now: float) -> float:
        """Return the load of a target, per request that it works on at once."""
        host = view.target.host
        peer = self._peers.peers.get(host)
        load = 1.0
        if peer is not None:
            heartbeat = peer.heartbeat
            count, counted_at = self._sent.get(host, (0, 0))
            load += heartbeat.pending + FLOW_LOAD * heartbeat.flows
            load += count if counted_at == heartbeat.sequence else 0
            load *= self._slowness(heartbeat, view.target.service)
        if view.cold_until > now:
            load *= COLD_LOAD
        return load / max(view.target.capacity or USUAL_CAPACITY, 1)

    def _lesser(
        self,
        flow: FlowKey,
        usable: dict[int, TargetView],
        hosts: Collection[int],
        domain: str,
        now: float,
    ) -> int:
        ranked = rank(flow.hash_key, hosts)
        near = [host for host in ranked if usable[host].target.failure_domain == domain]
        far = [host for host in ranked if usable[host].target.failure_domain != domain]
        costs = {host: self.load(usable[host], now) for host in near[:CHOICES]}
        extra = REMOTE_LOAD if near else 0.0
        costs |= {host: self.load(usable[host], now) + extra for host in far[:CHOICES]}
        return min(costs, key=costs.__getitem__)

    def _slowness(self, heartbeat: Heartbeat, service: str) -> float:
        delays = [
            self._heartbeat(each.target.host).delay_milliseconds
            for each in self._directory.targets_of(service)
            if each.target.host in self._peers.peers
        ]
        # The lower median; the module statistics costs a start of the process 2% of its time.
        middle = sorted(delays)[(len(delays) - 1) // 2] if delays else 0
        usual = max(middle, FASTEST_DELAY_MILLISECONDS)
        return min(max(heartbeat.delay_milliseconds / usual, 1.0), SLOWEST_LOAD)

    def _heartbeat(self, host: int) -> Heartbeat:
        return self._peers.peers[host].heartbeat
