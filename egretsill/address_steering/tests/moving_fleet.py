"""A fleet whose targets, cells and routers change under open flows, without a network.

Processes have one of two views, which learn of changes at different times. Targets give back what
isn't theirs, so a packet is followed until its own target has it or nobody passes it on.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence

from xxhash import xxh3_64_intdigest

from ...directory import Directory, Snapshot, Target
from ...fleet import CELL_TARGETS, PeerReport, PeerTable
from .. import (
    AgentEffect,
    AgentSteering,
    BalancerDecision,
    BalancerSteering,
    Candidates,
    Drop,
    FlowKey,
    FlowPacket,
    FlowPlacement,
    Forward,
    ForwardReason,
    HandToTarget,
    PacketKind,
    Refuse,
    TellOwner,
    Undecided,
)
from .chase import ASTRAY_SECONDS, Chase, Figures, Trip
from .scene import OTHER_SERVICE, RETENTION, SERVICE, envelope, flow, packet, table, target

FIRST = 0x0A020001
FIRST_BALANCER = 0x0A010001
COPY_SECONDS = (0.0, 0.2, 0.6, 1.4)  # when callers send a packet that nobody acknowledges
TELL_SECONDS = 0.5
DATA_BYTES = 100
NUMBERS = 2**32


class View:
    """What some processes believe."""

    def __init__(self, targets: Iterable[Target]) -> None:
        self.directory = Directory(RETENTION)
        self.peers = PeerTable(0)
        self.candidates = Candidates(self.directory)
        self._revision = 100
        self.publish(targets, 0.0)

    def publish(self, targets: Iterable[Target], now: float) -> None:
        """Let the processes learn of other targets."""
        self._revision += 1
        self.directory.apply_snapshot(Snapshot(self._revision, table(), tuple(targets)), now)

    def confirm(self, now: float) -> None:
        """Let the processes learn that nothing else has changed."""
        self.directory.confirm(self.directory.content_revision, 0.0, now)
        self.directory.tick(now)

    def placement(self) -> FlowPlacement:
        """Return a placement of a process of its own."""
        return FlowPlacement(self.directory, self.peers, self.candidates)


class MovingFleet:
    """Targets of a service with their agents, and balancers that know nothing of any flow.

    Args:
        targets: of the service.
        domains: failure domains over which they are spread.
        started_at: when the agents started.
        is_filled: whether other services' targets fill the domains' cells.
    """

    def __init__(
        self, targets: int, domains: int, started_at: float, is_filled: bool = False
    ) -> None:
        self.domains = [f"d{number}" for number in range(domains)]
        self.started_at = started_at
        self.targets = {FIRST + each: self.target(FIRST + each) for each in range(targets)}
        if is_filled:
            a_domain = -(-targets // domains)
            filled = domains * -(-a_domain // CELL_TARGETS) * CELL_TARGETS
            for host in range(FIRST + targets, FIRST + filled):
                self.targets[host] = self.target(host, OTHER_SERVICE)
        self.views = tuple(View(self.targets.values()) for _ in range(2))
        self.agents: dict[int, AgentSteering] = {}
        self.balancers: dict[int, BalancerSteering] = {}
        self.owners: dict[FlowKey, int] = {}
        self.ended: set[tuple[int, FlowKey]] = set()
        self.half_open: set[tuple[int, FlowKey]] = set()
        self.silent: set[int] = set()
        self.full: set[int] = set()
        self.is_deaf = False
        self._kept: dict[FlowKey, Trip] = {}
        self.hear(-1.0)

    def target(self, host: int, service: str = SERVICE) -> Target:
        """Return a target on a VM."""
        domain = self.domains[(host - FIRST) % len(self.domains)]
        return target(host, service, failure_domain=domain)

    def hosts(self) -> list[int]:
        """Return the VMs of the service's targets."""
        return [host for host, each in self.targets.items() if each.service == SERVICE]

    def some(self, share: float) -> set[int]:
        """Return about a share of the service's VMs."""
        least = share * 2**64
        return {each for each in self.hosts() if xxh3_64_intdigest(each.to_bytes(4, "big")) < least}

    def add_targets(self) -> set[int]:
        """Let the service have one target more in each domain, which no process knows yet."""
        first = max(self.targets) + 1
        # Domains follow each other, so that many hosts in a row are one of each.
        added = {first + each: self.target(first + each) for each in range(len(self.domains))}
        self.targets |= added
        return set(added)

    def publish(self, now: float, views: Sequence[View] | None = None) -> None:
        """Let processes learn which targets there are."""
        for view in views or self.views:
            view.publish(self.targets.values(), now)

    def hear(self, now: float) -> None:
        """Let the processes hear of every agent that isn't silent."""
        reports = [PeerReport(host) for host in self.targets if host not in self.silent]
        for view in self.views:
            view.peers.receive_reports(reports, now)

    def report(self, hosts: Iterable[int], now: float, **fields: int | bool) -> None:
        """Let the processes hear something special of some agents."""
        reports = [PeerReport(host, **fields) for host in hosts]  # type: ignore[arg-type]
        for view in self.views:
            view.peers.receive_reports(reports, now)

    def view_of(self, host: int) -> View:
        """Return what an agent believes; half of them believe the same."""
        return self.views[xxh3_64_intdigest(host.to_bytes(4, "big")) % 2]

    def agent(self, host: int) -> AgentSteering:
        """Return the agent on a VM."""
        if host not in self.agents:
            self.restart_agent(host, self.started_at)
        return self.agents[host]

    def restart_agent(self, host: int, now: float) -> None:
        """Let an agent start that knows nothing of its target's flows."""
        view = self.view_of(host)
        self.agents[host] = AgentSteering(
            host, SERVICE, view.directory, view.peers, view.placement(), RETENTION, now
        )

    def move_routers(self) -> None:
        """Let all packets come to balancers that know nothing of any flow."""
        self.balancers.clear()

    def balancer(self, domain: int, view: int = 0) -> BalancerSteering:
        """Return a balancer of a failure domain that has one of the views."""
        number = domain % len(self.domains)
        host = FIRST_BALANCER + 2 * number + view
        if host not in self.balancers:
            knows = self.views[view]
            self.balancers[host] = BalancerSteering(
                host,
                self.domains[number],
                knows.directory,
                knows.peers,
                knows.placement(),
                RETENTION,
            )
        return self.balancers[host]

    def owner(self, number: int) -> int:
        """Return the VM whose target has a flow."""
        return self.owners[flow(number)]

    def homes(self, number: int) -> Sequence[int]:
        """Return the homes of a flow."""
        return self.views[0].candidates.of(SERVICE).homes(flow(number))

    def sent(
        self, number: int, kind: PacketKind = PacketKind.PLAIN, copy: int = 0, epoch: int = 0
    ) -> FlowPacket:
        """Return a packet that a flow's caller sends; an epoch is one of its runs."""
        first = (number * 1_000_003 + epoch * 2_000_000_011) % NUMBERS
        key = flow(number)
        if kind is PacketKind.OPENING:
            return packet(kind, key, copy, sequence=first)
        acknowledged = first_number(self.owners[key]) + 1
        size = DATA_BYTES if kind is PacketKind.PLAIN else 0
        plain = packet(kind, key, sequence=(first + 1) % NUMBERS, payload_bytes=size)
        return plain._replace(acknowledged=acknowledged)

    def answer(self, host: int, number: int, kind: PacketKind, now: float) -> None:
        """Let a target send a packet of a flow."""
        ahead = 0 if kind is PacketKind.OPENING_ANSWER else 1
        size = DATA_BYTES if kind is PacketKind.PLAIN else 0
        number_sent = first_number(host) + ahead
        sent = packet(kind, flow(number), sequence=number_sent, payload_bytes=size)
        self.agent(host).take_from_target(sent, now)

    def open(
        self,
        number: int,
        now: float,
        domain: int | None = None,
        copies: int = 1,
        epoch: int = 0,
        is_answered: bool = True,
    ) -> int | None:
        """Let a flow open, and its target answer; return the owner's VM, None if nobody took it.

        Args:
            domain: of the balancer; one that follows from the number if it is None.
            copies: how many opening packets come; the caller takes the last one's answer.
            is_answered: whether the target has sent more than its answer to the opening packet.
        """
        balancer = self.balancer(number if domain is None else domain)
        owner = None
        for copy in range(copies):
            opening = self.sent(number, PacketKind.OPENING, copy, epoch)
            owner = self.follow(balancer, opening, now).answered_by
        if owner is None:
            return None
        self.owners[flow(number)] = owner
        self.half_open.discard((owner, flow(number)))
        trip = self.follow(balancer, self.sent(number, epoch=epoch), now)
        assert trip.is_reached, "the balancer that placed a flow knows where it is"
        if is_answered:
            self.answer(owner, number, PacketKind.PLAIN, now)
        return owner

    def end(self, number: int, now: float) -> None:
        """Let both ends close a flow; its target answers later data with a reset."""
        owner = self.owners[flow(number)]
        closing = self.sent(number, PacketKind.CLOSING)
        assert self.follow(self.balancer(number), closing, now).is_reached
        self.answer(owner, number, PacketKind.CLOSING, now)
        self.ended.add((owner, flow(number)))

    def tell_homes(self, now: float) -> None:
        """Let all agents tell the homes of their flows."""
        told = [
            each
            for host, agent in tuple(self.agents.items())
            if host not in self.silent
            for each in agent.tell_homes(now)
        ]
        for each in told:
            if each.home not in self.silent:
                self.agent(each.home).learn_home(each.notice, now)

    def follow(self, balancer: BalancerSteering, sent: FlowPacket, now: float) -> Trip:
        """Follow a packet."""
        trip = Trip(sent)
        self._carry(trip, [(0, balancer.steer(sent, now))], now)
        return trip

    def follow_from(self, host: int, sent: FlowPacket, now: float, visited: Sequence[int]) -> Trip:
        """Follow a packet from an agent on."""
        trip = Trip(sent)
        forward = Forward(
            host, envelope(visited), ForwardReason.FIRST_CANDIDATE, sent.flow, sent.datagram
        )
        self._carry(trip, [(0, forward)], now)
        return trip

    def chase(
        self,
        numbers: Iterable[int],
        start: float,
        balancer_of: Callable[[int], BalancerSteering],
        events: Sequence[tuple[float, Callable[[float], None]]] = (),
        epoch: int = 0,
    ) -> Figures:
        """Follow a packet of each flow, and its copies until the target has one of them."""
        chases = {number: Chase() for number in numbers}
        happens = [
            (start + each, 2, self._send_all(chases, start, balancer_of, epoch))
            for each in COPY_SECONDS
        ]
        happens += [(moment, 0, event) for moment, event in events]
        happens += [(moment, 1, self._tick) for moment in ticks(start, start + ASTRAY_SECONDS)]
        for moment, _, event in sorted(happens, key=lambda each: each[:2]):
            event(moment)
        return Figures(list(chases.values()))

    def live(self, start: float, end: float) -> None:
        """Let time pass, with heartbeats and notices to homes."""
        for moment in ticks(start, end):
            self._tick(moment)

    def _send_all(
        self,
        chases: dict[int, Chase],
        start: float,
        balancer_of: Callable[[int], BalancerSteering],
        epoch: int,
    ) -> Callable[[float], None]:
        def send_all(now: float) -> None:
            for number, chase in chases.items():
                if chase.seconds is None and not chase.is_reset:
                    trip = self.follow(balancer_of(number), self.sent(number, epoch=epoch), now)
                    chase.trips.append(trip)
                    chase.seconds = now - start if trip.is_reached else None

        return send_all

    def _tick(self, now: float) -> None:
        # Heartbeats come more often, but that changes nothing here and takes most of the time.
        if now.is_integer():
            self.hear(now)
        for view in self.views:
            view.confirm(now)
        self.tell_homes(now)
        for host, agent in tuple(self.agents.items()):
            agent.sweep(now)
            if agent.undecided and host not in self.silent:
                for effect in agent.decide(now):
                    if isinstance(effect, Forward | Refuse | Drop):
                        self._carry(self._kept[effect.flow], [(host, effect)], now)

    def _carry(
        self, trip: Trip, effects: Iterable[tuple[int, AgentEffect | BalancerDecision]], now: float
    ) -> None:
        queue = deque(effects)
        while queue:
            host, effect = queue.popleft()
            found: Sequence[AgentEffect] = ()
            match effect:
                case Forward(host, envelope):
                    trip.hosts.append(host)
                    if host in self.silent:
                        trip.end = "silent VM"
                    else:
                        found = self.agent(host).take_from_peer(envelope, trip.sent, now)
                case HandToTarget():
                    found = self._hand(host, trip, now)
                case TellOwner(balancer, notice) if balancer in self.balancers:
                    self.balancers[balancer].learn_owner(notice, now)
                case Refuse(_, _, reason):
                    trip.is_reset, trip.end = True, reason.value
                case Drop(_, drop_reason):
                    trip.end = drop_reason.value
                case Undecided(key):
                    trip.end = "undecided"
                    self._kept[key] = trip
            queue.extend((host, each) for each in found)

    def _hand(self, host: int, trip: Trip, now: float) -> Sequence[AgentEffect]:
        """Let a target take a packet; return what its agent does with the answer."""
        sent, key = trip.sent, trip.sent.flow
        agent = self.agent(host)
        if sent.kind is PacketKind.OPENING and host not in self.full:
            trip.answered_by = host
            self.half_open.add((host, key))
            answer = packet(PacketKind.OPENING_ANSWER, key, sequence=first_number(host))
            return agent.take_from_target(answer, now)
        if sent.kind is not PacketKind.OPENING:
            if self.owners.get(key) == host:
                trip.is_reached = True
                return ()
            trip.others.append(host)
            if (host, key) in self.ended and sent.payload_bytes:
                trip.is_reset, trip.end = True, "reset by another target"
                return agent.take_from_target(packet(PacketKind.RESET, key), now)
            if (host, key) in self.half_open and self.is_deaf:
                trip.end = "deaf target"
                return ()
        return agent.take_from_target(sent._replace(is_bounced=True), now)


def ticks(start: float, end: float) -> Sequence[float]:
    """Return the moments after a start and up to an end when agents tell homes."""
    numbers = range(int(start / TELL_SECONDS) + 1, int(end / TELL_SECONDS) + 1)
    return [number * TELL_SECONDS for number in numbers]


def first_number(host: int) -> int:
    """Return the number that a target's first packet of any flow has."""
    return host * 100_003 % NUMBERS
