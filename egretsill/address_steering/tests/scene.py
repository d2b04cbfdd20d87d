"""Fixture of one service with its targets, and the heartbeats of their agents."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

from ...directory import (
    Directory,
    Evacuation,
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    Target,
    TargetPhase,
)
from ...directory.tests.revisions import rev
from ...fleet import PeerReport, PeerTable
from .. import (
    AgentSteering,
    Candidates,
    Envelope,
    FlowKey,
    FlowPacket,
    FlowPlacement,
    PacketKind,
    SteeringPolicy,
    service_hash,
)
from .._tunnel import domain_hash

BALANCER = 0x0A010001
AGENTS = tuple(0x0A020001 + number for number in range(5))
OTHER_AGENT = 0x0A030001
SERVICE_HOST = 0xC6120001
PORT = 443
SERVICE = "lookup"
DOMAIN = "a"
OTHER_SERVICE = "intake"
RETENTION = 60.0
IDLE = 15.0
OBJECTIVE = 0.2
DEADLINE = 1.5


def target(host: int, service: str = SERVICE, **fields: object) -> Target:
    """Return a ready target on a VM, with some fields replaced."""
    plain = Target(f"t{host:x}", host, 8080, service, DOMAIN, TargetPhase.READY, 4, 0.0, 1, rev(10))
    return replace(plain, **fields)  # type: ignore[arg-type]


def table(version: int = 7, services: Sequence[str] = (SERVICE,), port: int = PORT) -> RouteTable:
    """Return a configuration with one route."""
    shares = tuple(ServiceShare(each, 1) for each in services)
    route = Route("r", SERVICE_HOST, port, shares, OBJECTIVE, DEADLINE)
    return RouteTable(version, {(SERVICE_HOST, port): route}, IDLE)


def with_route(route_table: RouteTable, service: str, port: int = PORT + 1) -> RouteTable:
    """Return a configuration with a further route, to another service."""
    route = Route("further", SERVICE_HOST, port, (ServiceShare(service, 1),))
    return replace(route_table, routes={**route_table.routes, (SERVICE_HOST, port): route})


class Scene:
    """View of one process, and updates to it."""

    def __init__(self, host: int = BALANCER, targets: Sequence[Target] | None = None) -> None:
        self.directory = Directory(RETENTION)
        self.peers = PeerTable(host)
        self.targets = {each.name: each for each in (targets or [target(host) for host in AGENTS])}
        self.revision = 100
        self.table = table()
        self.evacuations: tuple[Evacuation, ...] = ()
        self.publish(0.0)

    def publish(self, now: float, route_table: RouteTable | None = None) -> None:
        """Apply the current content of the store to the process's directory."""
        self.revision += 1
        self.table = route_table or self.table
        targets = tuple(self.targets.values())
        snapshot = Snapshot(rev(self.revision), self.table, targets, evacuations=self.evacuations)
        self.directory.apply_snapshot(snapshot, now)

    def evacuate(self, now: float, *failure_domains: str) -> None:
        """Evacuate these failure domains and no others."""
        at = rev(self.revision + 1)
        self.evacuations = tuple(Evacuation(each, at) for each in failure_domains)
        self.publish(now)

    def change_target(self, host: int, now: float, **fields: object) -> None:
        """Change a target's entry."""
        for name, each in self.targets.items():
            if each.host == host:
                changed: Mapping[str, object] = {"revision": rev(self.revision + 1), **fields}
                self.targets[name] = replace(each, **changed)  # type: ignore[arg-type]
        self.publish(now)

    def remove_target(self, host: int, now: float) -> None:
        """Remove a target's entry."""
        self.targets = {name: each for name, each in self.targets.items() if each.host != host}
        self.publish(now)

    @property
    def placement(self) -> FlowPlacement:
        """Return a placement based on the view of the process."""
        return FlowPlacement(self.directory, self.peers, Candidates(self.directory))

    def receive_heartbeats(self, now: float, hosts: Sequence[int] = AGENTS, **fields: Any) -> None:
        """Receive a hub's reports: some agents are reachable, the others silent for some time."""
        reports = []
        for host in hosts:
            known = self.peers.peers.get(host)
            before = known.report if known else PeerReport(host)
            reports.append(before._replace(silence_milliseconds=0, **fields))
        for host, peer in self.peers.peers.items():
            if host not in hosts:
                silence = round((now - peer.last_seen_at) * 1000)
                reports.append(peer.report._replace(silence_milliseconds=silence))
        self.peers.receive_reports(reports, now)


def make_agent(
    scene: Scene,
    host: int = AGENTS[0],
    service: str = SERVICE,
    started_at: float = -RETENTION,
    policy: SteeringPolicy = SteeringPolicy(),  # noqa: B008, it is immutable
) -> AgentSteering:
    """Return the agent on a VM; by default it has seen every packet of its target."""
    return AgentSteering(
        host, service, scene.directory, scene.peers, scene.placement, RETENTION, started_at, policy
    )


def flow(number: int = 0) -> FlowKey:
    """Return one of many flows to the scene's route."""
    return FlowKey(0x64400001 + number // 20_000, 20_000 + number % 20_000, SERVICE_HOST, PORT)


def packet(
    kind: PacketKind = PacketKind.PLAIN,
    key: FlowKey | None = None,
    copy: int = 0,
    payload_bytes: int = 0,
    is_bounced: bool = False,
    sequence: int = 1,
) -> FlowPacket:
    """Return a packet of a flow."""
    return FlowPacket(
        key or flow(), kind, is_bounced, copy, sequence, 1000, payload_bytes, b"packet"
    )


def envelope(visited: Sequence[int] = (), version: int = 7, service: str = SERVICE) -> Envelope:
    """Return the envelope of a packet that arrives at an agent."""
    return Envelope(BALANCER, version, service_hash(service), tuple(visited), domain_hash(DOMAIN))
