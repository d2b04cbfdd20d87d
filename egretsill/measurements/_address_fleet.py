"""Simulated balancers, agents and targets with delayed directories, for address-steering measures.

Packets carry no owner ID, only a four-tuple, and any balancer may receive them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random

from ..address_steering import (
    AgentSteering,
    BalancerSteering,
    Candidates,
    DeliverToTarget,
    FlowKey,
    FlowPacket,
    FlowPlacement,
    Forward,
    NotifyBalancer,
    NotifyHome,
    PacketKind,
    Refuse,
)
from ..directory import (
    Directory,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    StoreRevision,
    Target,
    TargetPhase,
)
from ..fleet import PeerTable
from ..ranking import bucket_of

# A change reaches each process after a uniform random delay up to this.
MAXIMUM_PROPAGATION_DELAY_SECONDS = 2.0
RETENTION_SECONDS = 60.0
ERA = 1
SERVICE = "lookup"
SERVICE_HOST, SERVICE_PORT = 1, 443
ROUTE = Route("lookup", SERVICE_HOST, SERVICE_PORT, (ServiceShare(SERVICE, 1),))
TABLE = RouteTable(1, {(SERVICE_HOST, SERVICE_PORT): ROUTE}, RETENTION_SECONDS)
FIRST_AGENT_HOST, FIRST_BALANCER_HOST = 1000, 1_000_000


@dataclass(slots=True, eq=False)
class ProcessView:
    """The directory and peers of one process, and the snapshots that have yet to reach it."""

    directory: Directory = field(default_factory=lambda: Directory(RETENTION_SECONDS))
    pending: list[tuple[float, Snapshot]] = field(default_factory=list)
    peers: PeerTable = field(default_factory=lambda: PeerTable(0))

    @property
    def placement(self) -> FlowPlacement:
        """Return a placement based on this view."""
        return FlowPlacement(self.directory, self.peers, Candidates(self.directory))

    def apply_arrived_snapshots(self, now: float) -> None:
        """Apply the snapshots that have arrived by `now`."""
        while self.pending and self.pending[0][0] <= now:
            self.directory.apply_snapshot(self.pending.pop(0)[1], now)
        self.directory.tick(now)


@dataclass(slots=True, eq=False)
class FleetTarget:
    """A target with its agent.

    Attributes:
        flows: open flows of the target, whether or not its agent knows them.
    """

    view: ProcessView
    steering: AgentSteering
    flows: set[FlowKey] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class FleetBalancer:
    """A balancer and its view."""

    view: ProcessView
    steering: BalancerSteering
    domain: str


@dataclass(frozen=True, slots=True)
class Delivery:
    """The result of delivering a packet.

    Attributes:
        reached: VM of the target that accepted the packet, or None.
        hops: number of agents that forwarded it to another agent.
        bounces: number of targets that returned it to their agent because they don't have its flow.
        is_refused: whether its flow was reset.
    """

    reached: int | None
    hops: int
    bounces: int
    is_refused: bool


class AddressFleet:
    """Simulates a fleet whose processes come and go, and delivers packets of callers in it."""

    def __init__(
        self, random: Random, target_count: int, balancer_count: int, domain_count: int = 1
    ) -> None:
        self.random = random
        self.domains = [f"domain-{number}" for number in range(domain_count)]
        self.now = 0.0
        self.entries: dict[int, Target] = {}
        self.targets: dict[int, FleetTarget] = {}
        self.balancers: dict[int, FleetBalancer] = {}
        self.owner_notices = 0
        self.home_notices = 0
        self._revision = 0
        for _ in range(target_count):
            self.add_target(maximum_delay_seconds=0.0)
        for _ in range(balancer_count):
            self.start_balancer()

    def add_target(self, maximum_delay_seconds: float = MAXIMUM_PROPAGATION_DELAY_SECONDS) -> None:
        """Start a target with its agent."""
        host = FIRST_AGENT_HOST + self._revision
        domain = self.domains[self._revision % len(self.domains)]
        target = Target(
            f"t{host}",
            host,
            80,
            SERVICE,
            domain,
            TargetPhase.READY,
            4,
            0.0,
            1,
            StoreRevision(ERA, self._revision),
        )
        self.entries[host] = target
        view = ProcessView()
        self.targets[host] = FleetTarget(view, self._make_agent(host, view))
        self._publish(maximum_delay_seconds)

    def drain_target(self, host: int) -> None:
        """Drain a target, so that it takes no new flows."""
        self.entries[host] = replace(
            self.entries[host],
            phase=TargetPhase.DRAINING,
            revision=StoreRevision(ERA, self._revision + 1),
        )
        self._publish(MAXIMUM_PROPAGATION_DELAY_SECONDS)

    def remove_target(self, host: int) -> None:
        """Remove a target and its agent."""
        del self.entries[host]
        del self.targets[host]
        self._publish(MAXIMUM_PROPAGATION_DELAY_SECONDS)

    def restart_agent(self, host: int) -> None:
        """Restart an agent without its state while its target keeps running."""
        view = ProcessView()
        self.targets[host].view = view
        self.targets[host].steering = self._make_agent(host, view)
        view.pending.append((self.now, self._snapshot()))

    def start_balancer(self) -> None:
        """Start a balancer with the current snapshot, without propagation delay."""
        # Different revisions give different addresses for fewer than 100 balancers.
        host = FIRST_BALANCER_HOST + self._revision * 100 + len(self.balancers)
        view = ProcessView(pending=[(self.now, self._snapshot())])
        domain = self.domains[len(self.balancers) % len(self.domains)]
        steering = BalancerSteering(
            host,
            domain,
            view.directory,
            view.peers,
            view.placement,
            RETENTION_SECONDS,
        )
        self.balancers[host] = FleetBalancer(view, steering, domain)

    def stop_balancer(self) -> None:
        """Stop a random balancer without notice."""
        del self.balancers[self.random.choice(list(self.balancers))]

    def ready(self) -> Sequence[int]:
        """Return the VMs of the targets that take new flows."""
        return [h for h, each in self.entries.items() if each.phase is TargetPhase.READY]

    def announce_to_homes(self) -> None:
        """Deliver the due home notices of all agents.

        The homes of a flow are the VMs whose agents are told which agent has it.
        """
        for host in tuple(self.targets):
            for effect in self._agent(host).due_home_notices(self.now):
                self._deliver_notices([effect])

    def deliver(self, key: FlowKey, kind: PacketKind) -> Delivery:
        """Deliver a packet to a balancer, and process it until it is accepted, reset or lost."""
        balancer = self._choose_balancer(key)
        balancer.view.apply_arrived_snapshots(self.now)
        packet = FlowPacket(key, kind, False, 0, 1, 1, 0, b"")
        effects: list[object] = [balancer.steering.steer(packet, self.now)]
        hops = bounces = 0
        host = 0
        while effects:
            match effects.pop():  # other effects don't forward the packet
                case Forward(to, envelope):
                    if to not in self.targets:
                        return Delivery(None, hops, bounces, False)
                    hops += len(envelope.visited) > 0  # forwarded by an agent, not by the balancer
                    host = to
                    agent = self._agent(host)
                    effects.extend(agent.take_from_peer(envelope, packet, self.now))
                case DeliverToTarget():
                    if kind is PacketKind.SYN or key in self.targets[host].flows:
                        self._accept_packet(host, key, kind)
                        self._deliver_notices(effects)
                        return Delivery(host, hops, bounces, False)
                    bounces += 1
                    bounced = packet._replace(is_bounced=True)
                    effects.extend(self._agent(host).take_from_target(bounced, self.now))
                case NotifyBalancer() as owner_notice:
                    self._deliver_notices([owner_notice])
                case Refuse():
                    return Delivery(None, hops, bounces, True)
        return Delivery(None, hops, bounces, False)

    def _choose_balancer(self, key: FlowKey) -> FleetBalancer:
        """Return the balancer that receives a flow's next packet.

        With one failure domain it is random for each packet, as with routers that keep no flow
        affinity, the worst case. With several it is chosen in the caller's domain by hash modulo
        the number of balancers, so adding or removing a balancer moves most flows.
        """
        balancers = list(self.balancers.values())
        if len(self.domains) == 1:
            return self.random.choice(balancers)
        domain = self.domains[key.caller_port % len(self.domains)]
        near = [each for each in balancers if each.domain == domain] or balancers
        return near[bucket_of(key.hash_key) % len(near)]

    def _accept_packet(self, host: int, key: FlowKey, kind: PacketKind) -> None:
        if kind is PacketKind.SYN:
            self.targets[host].flows.add(key)
        answers = PacketKind.SYN_ACK if kind is PacketKind.SYN else PacketKind.PLAIN
        answer = FlowPacket(key, answers, False, 0, 1, 1, 0, b"")
        self._agent(host).take_from_target(answer, self.now)

    def _deliver_notices(self, effects: Sequence[object]) -> None:
        for effect in effects:
            if isinstance(effect, NotifyHome) and effect.home in self.targets:
                self.home_notices += 1
                self._agent(effect.home).record_home_notice(effect.notice, self.now)
            if isinstance(effect, NotifyBalancer) and effect.balancer in self.balancers:
                self.owner_notices += 1
                balancer = self.balancers[effect.balancer]
                balancer.steering.record_owner(effect.notice, self.now)

    def _agent(self, host: int) -> AgentSteering:
        self.targets[host].view.apply_arrived_snapshots(self.now)
        return self.targets[host].steering

    def _make_agent(self, host: int, view: ProcessView) -> AgentSteering:
        return AgentSteering(
            host,
            SERVICE,
            view.directory,
            view.peers,
            view.placement,
            RETENTION_SECONDS,
            self.now,
        )

    def _snapshot(self) -> Snapshot:
        return Snapshot(
            StoreRevision(ERA, max(self._revision, 1)), TABLE, tuple(self.entries.values())
        )

    def _publish(self, maximum_delay_seconds: float) -> None:
        self._revision += 1
        snapshot = self._snapshot()
        views = [each.view for each in self.targets.values()]
        views += [each.view for each in self.balancers.values()]
        for view in views:
            last = view.pending[-1][0] if view.pending else 0.0
            arrival = self.now + self.random.uniform(0.0, maximum_delay_seconds)
            view.pending.append((max(arrival, last), snapshot))
