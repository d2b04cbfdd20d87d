"""Balancers and agents of one service with delayed configurations, for the steering measures."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from ..configuration import Address, Bundle, Service, Target, TargetState
from ..steering import (
    ANNOUNCEMENT_INTERVAL_SECONDS,
    AgentSteering,
    CallerPacket,
    ConnectionIdCodec,
    Forward,
    Keep,
    PassOn,
    RetainedTarget,
    SourceLimit,
    Steering,
)

LAG_SECONDS = 30.0
CALLER = Address("192.0.2.1", 5000)
SERVICE_ADDRESS = Address("10.0.0.1", 443)
SERVICE_NUMBER = 1
SERVICE_NAME = "lookup"
RETENTION_SECONDS = 3600.0
INITIAL_BYTES = 1200
NONCE_BYTES = 8
MAXIMUM_TUNNEL_STEPS = 8
NO_LIMIT = 1_000_000


def make_target(
    number: int,
    service: str = SERVICE_NAME,
    state: TargetState = TargetState.ACTIVE,
    endpoints_of: int | None = None,
) -> Target:
    """Return a target whose endpoints are derived from its number, or from `endpoints_of`."""
    machine = number if endpoints_of is None else endpoints_of
    host = f"10.1.{machine // 250}.{machine % 250 + 1}"
    return Target(
        name=str(number),
        number=number,
        service=service,
        failure_domain="a",
        tunnel=Address(host, 4000),
        relay=Address(host, 4001),
        gossip=Address(host, 4002),
        backend=Address(host, 80),
        slots=4,
        state=state,
    )


def make_service(name: str, number: int, address: Address, targets: Sequence[Target]) -> Service:
    """Return a service with one address."""
    return Service(name, number, "tenant", name, (address,), (), tuple(targets))


def make_bundle(revision: int, targets: Sequence[Target]) -> Bundle:
    """Return a configuration of one service with these targets."""
    service = make_service(SERVICE_NAME, SERVICE_NUMBER, SERVICE_ADDRESS, targets)
    return Bundle(revision, str(revision), {SERVICE_NAME: service})


def initial_packet(connection_id: bytes) -> bytes:
    """Return an Initial packet of QUIC version 1."""
    head = b"\xc0\0\0\0\1" + bytes((len(connection_id),)) + connection_id
    return head.ljust(INITIAL_BYTES, b"\0")


def short_packet(connection_id: bytes) -> bytes:
    """Return a packet with a short header."""
    return b"\x40" + connection_id + bytes(40)


@dataclass(slots=True, eq=False)
class FleetAgent:
    """An agent and the connection IDs of the flows that it owns."""

    number: int
    tunnel: Address
    steering: AgentSteering
    connection_ids: set[bytes] = field(default_factory=set)
    is_draining: bool = False


@dataclass(slots=True, eq=False)
class FleetBalancer:
    """A balancer and the targets of its last configuration."""

    name: int
    tunnel: Address
    steering: Steering
    targets: Sequence[Target] = ()


class SteeringFleet:
    """Passes packets through balancers and agents until an agent keeps them.

    Args:
        random: for lags and nonces.
        codec: of the first connection ID keys.
        targets: in the first configuration.
        balancers: how many there are at first.
    """

    def __init__(
        self, random: Random, codec: ConnectionIdCodec, targets: int, balancers: int
    ) -> None:
        self.now = 0.0
        self.random = random
        self.codec = codec
        self.targets = {number: make_target(number) for number in range(1, targets + 1)}
        self.balancers: list[FleetBalancer] = []
        self.agents: dict[Address, FleetAgent] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._balancer_names = itertools.count(1)
        self._bundles = [(0.0, self._bundle(1))]
        for number in self.targets:
            self._start_agent(number, started_at=-1e9)
        for _ in range(balancers):
            self.start_balancer()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in seconds."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, end: float) -> None:
        """Run all scheduled actions and the announcements until `end` seconds, in order of time."""
        for step in range(1, round(end / ANNOUNCEMENT_INTERVAL_SECONDS)):
            self.at(step * ANNOUNCEMENT_INTERVAL_SECONDS, self._announce)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def add_target(self) -> None:
        """Publish a configuration with one more target; its agent runs already."""
        number = max(each.number for each in self.agents.values()) + 1
        self.targets[number] = make_target(number)
        self._start_agent(number, self.now)
        self._publish()

    def drain_target(self, number: int) -> None:
        """Publish a configuration in which a target drains."""
        self.targets[number] = replace(self.targets[number], state=TargetState.DRAINING)
        self._publish()

    def remove_target(self, number: int) -> None:
        """Publish a configuration without a target; its agent runs on while it has flows."""
        del self.targets[number]
        self._publish()

    def start_balancer(self) -> None:
        """Start a balancer with a recently published configuration and no other state."""
        name = next(self._balancer_names)
        steering = Steering(self.codec, SourceLimit(NO_LIMIT))
        balancer = FleetBalancer(name, Address(f"10.2.0.{name}", 4000), steering)
        seen = self.now - self.random.uniform(0.0, LAG_SECONDS)
        latest = [each for each in self._bundles if each[0] <= seen][-1:] or self._bundles[:1]
        self._apply_balancer_bundle(balancer, latest[0][1])
        for published_at, bundle in self._bundles:
            if published_at > seen:
                self._schedule_balancer_bundle(balancer, bundle, published_at)
        self.balancers.append(balancer)

    def stop_balancer(self) -> None:
        """Stop a random balancer; the fabric sends it no more packets."""
        self.balancers.remove(self.random.choice(self.balancers))

    def replace_codec(self, codec: ConnectionIdCodec, makers: bool) -> None:
        """Roll out connection ID keys to each process, with a delay of up to 30 s.

        Args:
            codec: reads the IDs of all keys in use.
            makers: whether agents make IDs with the new first key from now on.
        """
        if makers:
            self.codec = codec
        for balancer in self.balancers:
            self.at(self._draw_arrival(), lambda each=balancer: each.steering.replace_codec(codec))  # type: ignore[misc]
        for agent in self.agents.values():
            self.at(self._draw_arrival(), lambda each=agent: each.steering.replace_codec(codec))  # type: ignore[misc]

    def open_flow(self) -> tuple[FleetAgent, bytes] | None:
        """Send a first packet and return the owner with the connection ID that it gave."""
        client_id = self.random.randbytes(NONCE_BYTES)
        owner = self.deliver(initial_packet(client_id))
        if owner is None:
            return None
        nonce = self.random.randbytes(NONCE_BYTES)
        connection_id = self.codec.encode(SERVICE_NUMBER, owner.number, nonce)
        owner.connection_ids.add(connection_id)
        return owner, connection_id

    def deliver(self, datagram: bytes) -> FleetAgent | None:
        """Send a packet through a random balancer.

        Returns the agent that keeps it if the balancer accepts answers from it, or None.
        """
        balancer = self.random.choice(self.balancers)
        steering = balancer.steering
        decision = steering.steer(SERVICE_ADDRESS, CALLER.host, datagram, self.now)
        if not isinstance(decision, Forward):
            return None
        packet = CallerPacket(*CALLER, *SERVICE_ADDRESS, SERVICE_NUMBER, 0, None, 0, datagram)
        keeping_agent = self._follow_tunnel(balancer, packet, decision.tunnel)
        if keeping_agent is None or steering.agent_by_tunnel(keeping_agent.tunnel) is None:
            return None
        return keeping_agent

    def _follow_tunnel(
        self, balancer: FleetBalancer, packet: CallerPacket, tunnel: Address
    ) -> FleetAgent | None:
        sender = balancer.tunnel
        for _ in range(MAXIMUM_TUNNEL_STEPS):
            agent = self.agents[tunnel]
            decision = agent.steering.decide(packet, sender, self.now)
            if isinstance(decision, Keep):
                return agent
            if not isinstance(decision, PassOn):
                return None
            notice = decision.notice
            expires_at = self.now + RETENTION_SECONDS
            retained = RetainedTarget(
                notice.target_number, notice.service_number, decision.tunnel, expires_at
            )
            balancer.steering.retain([retained], self.now)
            sender, packet, tunnel = tunnel, decision.packet, decision.tunnel
        return None

    def _announce(self) -> None:
        for agent in self.agents.values():
            if agent.connection_ids:
                for each in agent.steering.announcements():
                    self.agents[each.tunnel].steering.retain_owner(each.notice, self.now)

    def _start_agent(self, number: int, started_at: float) -> None:
        tunnel = make_target(number).tunnel
        connection_ids: set[bytes] = set()
        steering = AgentSteering(
            number,
            SERVICE_NUMBER,
            self.codec,
            connection_ids.__contains__,
            lambda: self.agents[tunnel].is_draining,
            started_at,
        )
        agent = FleetAgent(number, tunnel, steering, connection_ids)
        self.agents[tunnel] = agent
        steering.apply_bundle(self._bundle(len(self._bundles)), self.now)

    def _bundle(self, revision: int) -> Bundle:
        return make_bundle(revision, list(self.targets.values()))

    def _publish(self) -> None:
        bundle = self._bundle(len(self._bundles) + 1)
        self._bundles.append((self.now, bundle))
        for balancer in self.balancers:
            self._schedule_balancer_bundle(balancer, bundle, self.now)
        for agent in self.agents.values():
            self.at(self._draw_arrival(), lambda each=agent: self._apply_agent_bundle(each, bundle))  # type: ignore[misc]

    def _schedule_balancer_bundle(
        self, balancer: FleetBalancer, bundle: Bundle, published_at: float
    ) -> None:
        when = max(self.now, published_at + self.random.uniform(0.0, LAG_SECONDS))
        self.at(when, lambda: self._apply_balancer_bundle(balancer, bundle))

    def _apply_balancer_bundle(self, balancer: FleetBalancer, bundle: Bundle) -> None:
        balancer.targets = bundle.services[SERVICE_NAME].targets
        balancer.steering.apply_bundle(bundle, self.now)

    def _apply_agent_bundle(self, agent: FleetAgent, bundle: Bundle) -> None:
        states = {each.number: each.state for each in bundle.services[SERVICE_NAME].targets}
        agent.is_draining = states.get(agent.number) is not TargetState.ACTIVE
        agent.steering.apply_bundle(bundle, self.now)

    def _draw_arrival(self) -> float:
        return self.now + self.random.uniform(0.0, LAG_SECONDS)
