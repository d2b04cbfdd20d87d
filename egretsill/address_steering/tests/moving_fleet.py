"""Simulated fleet whose targets, cells and routers change while flows are open.

Each process has one of two views, which receive changes at different times. Targets bounce packets
of flows that they don't have, so a packet is followed until its own target has it or no agent
passes it on.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence

from xxhash import xxh3_64_intdigest

from ...directory import Directory, RouteTable, Snapshot, Target
from ...directory.tests.revisions import rev
from ...fleet import CELL_TARGETS, PeerReport, PeerTable
from .. import (
    AgentEffect,
    AgentSteering,
    BalancerDecision,
    BalancerSteering,
    Candidates,
    DeliverToTarget,
    Drop,
    Failed,
    FlowKey,
    FlowPacket,
    FlowPlacement,
    Forward,
    ForwardReason,
    NotifyBalancer,
    PacketKind,
    Refuse,
    SendToCaller,
    Undecided,
)
from .chase import MAXIMUM_SEARCH_SECONDS, FlowOutcome, OutcomeSummary, PacketPath
from .scene import OTHER_SERVICE, RETENTION, SERVICE, envelope, flow, packet, table, target

FIRST, FIRST_BALANCER = 0x0A020001, 0x0A010001
COPY_SECONDS = (0.0, 0.2, 0.6, 1.4)  # when callers send copies of an unacknowledged packet
HOME_NOTICE_INTERVAL_SECONDS = 0.5
DATA_BYTES, NUMBERS = 100, 2**32


class View:
    """View that is shared by several processes."""

    def __init__(
        self, targets: Iterable[Target], routes: RouteTable | None = None, now: float = 0.0
    ) -> None:
        self.directory = Directory(RETENTION)
        self.peers = PeerTable(0)
        self.candidates = Candidates(self.directory)
        self._revision = 100
        self.publish(targets, now, routes)

    def publish(
        self, targets: Iterable[Target], now: float, routes: RouteTable | None = None
    ) -> None:
        """Replace the targets in the view, and the configuration if one is given."""
        self._revision += 1
        snapshot = Snapshot(rev(self._revision), routes or table(), tuple(targets))
        self.directory.apply_snapshot(snapshot, now)

    def confirm(self, now: float) -> None:
        """Confirm that the view matches the store."""
        self.directory.confirm(self.directory.content_revision, 0.0, now)
        self.directory.tick(now)

    def placement(self) -> FlowPlacement:
        """Return a new placement for one process."""
        return FlowPlacement(self.directory, self.peers, self.candidates)


class MovingFleet:
    """Targets of a service with their agents, and balancers without cached owners.

    Args:
        targets: number of targets of the service.
        domains: number of failure domains over which they are spread.
        started_at: when the agents started.
        is_filled: whether targets of another service fill the domains' cells.
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
        self.ignores_half_open = False
        self._undecided_paths: dict[FlowKey, PacketPath] = {}
        self.receive_heartbeats(-1.0)

    def target(self, host: int, service: str = SERVICE) -> Target:
        """Return a target on a VM."""
        domain = self.domains[(host - FIRST) % len(self.domains)]
        return target(host, service, failure_domain=domain)

    def hosts(self) -> list[int]:
        """Return the VMs of the service's targets."""
        return [host for host, each in self.targets.items() if each.service == SERVICE]

    def sample_hosts(self, share: float) -> set[int]:
        """Return approximately a share of the service's VMs."""
        least = share * 2**64
        return {each for each in self.hosts() if xxh3_64_intdigest(each.to_bytes(4, "big")) < least}

    def add_targets(self) -> set[int]:
        """Add one target in each domain without publishing it to the views."""
        first = max(self.targets) + 1
        # Hosts are assigned to domains in turn, so consecutive hosts are one of each domain.
        added = {first + each: self.target(first + each) for each in range(len(self.domains))}
        self.targets |= added
        return set(added)

    def publish(self, now: float, views: Sequence[View] | None = None) -> None:
        """Publish the current targets to some views, by default to all."""
        for view in views or self.views:
            view.publish(self.targets.values(), now)

    def receive_heartbeats(self, now: float) -> None:
        """Deliver heartbeats of every agent that isn't silent to the views."""
        reports = [PeerReport(host) for host in self.targets if host not in self.silent]
        for view in self.views:
            view.peers.receive_reports(reports, now)

    def report(self, hosts: Iterable[int], now: float, **fields: int | bool) -> None:
        """Deliver reports of some agents with given fields to the views."""
        reports = [PeerReport(host, **fields) for host in hosts]  # type: ignore[arg-type]
        for view in self.views:
            view.peers.receive_reports(reports, now)

    def view_of(self, host: int) -> View:
        """Return the view of an agent; half of the agents share each view."""
        return self.views[xxh3_64_intdigest(host.to_bytes(4, "big")) % 2]

    def agent(self, host: int) -> AgentSteering:
        """Return the agent on a VM."""
        if host not in self.agents:
            self.restart_agent(host, self.started_at)
        return self.agents[host]

    def restart_agent(self, host: int, now: float) -> None:
        """Start an agent that has not seen its target's flows."""
        view = self.view_of(host)
        self.agents[host] = AgentSteering(
            host, SERVICE, view.directory, view.peers, view.placement(), RETENTION, now
        )

    def move_routers(self) -> None:
        """Route all packets to new balancers, which have no cached owners."""
        self.balancers.clear()

    def balancer(self, domain: int, view: int = 0) -> BalancerSteering:
        """Return the balancer of a failure domain with one of the views."""
        number = domain % len(self.domains)
        host = FIRST_BALANCER + 2 * number + view
        if host not in self.balancers:
            known = self.views[view]
            self.balancers[host] = BalancerSteering(
                host,
                self.domains[number],
                known.directory,
                known.peers,
                known.placement(),
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
        """Return a packet from a flow's caller; each epoch is a new flow with the same key."""
        first = (number * 1_000_003 + epoch * 2_000_000_011) % NUMBERS
        key = flow(number)
        if kind is PacketKind.SYN:
            return packet(kind, key, copy, sequence=first)
        acknowledged = first_number(self.owners[key]) + 1
        size = DATA_BYTES if kind is PacketKind.PLAIN else 0
        plain = packet(kind, key, sequence=(first + 1) % NUMBERS, payload_bytes=size)
        return plain._replace(acknowledged=acknowledged)

    def answer(self, host: int, number: int, kind: PacketKind, now: float) -> None:
        """Send a packet of a flow from a target."""
        ahead = 0 if kind is PacketKind.SYN_ACK else 1
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
        """Open a flow; return the owner's VM, or None if no target accepted it.

        Args:
            domain: index of the balancer's domain; None selects one by the flow's number.
            copies: number of SYN packets; the caller accepts the answer to the last one.
            is_answered: whether the target sends more than a SYN-ACK packet.
        """
        balancer = self.balancer(number if domain is None else domain)
        owner = None
        for copy in range(copies):
            opening = self.sent(number, PacketKind.SYN, copy, epoch)
            owner = self.follow(balancer, opening, now).answered_by
        if owner is None:
            return None
        self.owners[flow(number)] = owner
        self.half_open.discard((owner, flow(number)))
        path = self.follow(balancer, self.sent(number, epoch=epoch), now)
        assert path.has_arrived, "the balancer that placed a flow knows where it is"
        if is_answered:
            self.answer(owner, number, PacketKind.PLAIN, now)
        return owner

    def end(self, number: int, now: float) -> None:
        """Close a flow at both ends; its target answers later data with an RST packet."""
        owner = self.owners[flow(number)]
        closing = self.sent(number, PacketKind.FIN)
        assert self.follow(self.balancer(number), closing, now).has_arrived
        self.answer(owner, number, PacketKind.FIN, now)
        self.ended.add((owner, flow(number)))

    def announce_to_homes(self, now: float) -> None:
        """Send the due notices of all agents to the homes of their flows."""
        notices = [
            each
            for host, agent in tuple(self.agents.items())
            if host not in self.silent
            for each in agent.due_home_notices(now)
        ]
        for each in notices:
            if each.home not in self.silent:
                self.agent(each.home).record_home_notice(each.notice, now)

    def follow(self, balancer: BalancerSteering, sent: FlowPacket, now: float) -> PacketPath:
        """Follow a packet from a balancer."""
        path = PacketPath(sent)
        self._carry(path, [(0, balancer.steer(sent, now))], now)
        return path

    def follow_from(
        self, host: int, sent: FlowPacket, now: float, visited: Sequence[int]
    ) -> PacketPath:
        """Follow a packet from an agent."""
        path = PacketPath(sent)
        forward = Forward(
            host, envelope(visited), ForwardReason.FIRST_CANDIDATE, sent.flow, sent.datagram
        )
        self._carry(path, [(0, forward)], now)
        return path

    def follow_flows(
        self,
        numbers: Iterable[int],
        start: float,
        balancer_of: Callable[[int], BalancerSteering],
        events: Sequence[tuple[float, Callable[[float], None]]] = (),
        epoch: int = 0,
    ) -> OutcomeSummary:
        """Follow a packet of each flow, and its copies until the target receives one."""
        outcomes = {number: FlowOutcome() for number in numbers}
        happens = [
            (start + each, 2, self._packet_sender(outcomes, start, balancer_of, epoch))
            for each in COPY_SECONDS
        ]
        happens += [(moment, 0, event) for moment, event in events]
        happens += [
            (moment, 1, self._tick) for moment in ticks(start, start + MAXIMUM_SEARCH_SECONDS)
        ]
        for moment, _, event in sorted(happens, key=lambda each: each[:2]):
            event(moment)
        return OutcomeSummary(list(outcomes.values()))

    def live(self, start: float, end: float) -> None:
        """Advance time, with heartbeats and notices to homes."""
        for moment in ticks(start, end):
            self._tick(moment)

    def _packet_sender(
        self,
        outcomes: dict[int, FlowOutcome],
        start: float,
        balancer_of: Callable[[int], BalancerSteering],
        epoch: int,
    ) -> Callable[[float], None]:
        def send_all(now: float) -> None:
            for number, outcome in outcomes.items():
                if outcome.seconds is None and not outcome.is_reset:
                    path = self.follow(balancer_of(number), self.sent(number, epoch=epoch), now)
                    outcome.paths.append(path)
                    outcome.seconds = now - start if path.has_arrived else None

        return send_all

    def _tick(self, now: float) -> None:
        # Real heartbeats are more frequent; one a second gives the same results and saves run time.
        if now.is_integer():
            self.receive_heartbeats(now)
        for view in self.views:
            view.confirm(now)
        self.announce_to_homes(now)
        for host, agent in tuple(self.agents.items()):
            agent.sweep(now)
            if agent.undecided and host not in self.silent:
                for effect in agent.decide(now):
                    if isinstance(effect, Forward | Refuse | Drop):
                        self._carry(self._undecided_paths[effect.flow], [(host, effect)], now)

    def _carry(
        self,
        path: PacketPath,
        effects: Iterable[tuple[int, AgentEffect | BalancerDecision]],
        now: float,
    ) -> None:
        queue = deque(effects)
        sent = path.sent
        while queue:
            host, effect = queue.popleft()
            found: Sequence[AgentEffect] = ()
            match effect:
                case Forward(host, envelope):
                    path.hosts.append(host)
                    if host in self.silent:
                        path.end = "silent VM"
                    else:
                        found = self.agent(host).take_from_peer(envelope, path.sent, now)
                case DeliverToTarget():
                    found = self._deliver(host, path, now)
                case NotifyBalancer(balancer, notice) if balancer in self.balancers:
                    self.balancers[balancer].record_owner(notice, now)
                case SendToCaller() if sent.kind is not PacketKind.SYN:
                    if not path.has_arrived:
                        path.is_reset, path.end = True, "answered by another target"
                case Refuse(_, _, reason):
                    path.is_reset, path.end = True, reason.value
                case Drop(_, drop_reason):
                    path.end = drop_reason.value
                case Failed(_, error):
                    raise error
                case Undecided(key):
                    path.end = "undecided"
                    self._undecided_paths[key] = path
            queue.extend((host, each) for each in found)

    def _deliver(self, host: int, path: PacketPath, now: float) -> Sequence[AgentEffect]:
        """Deliver a packet to a target; return what its agent does with the answer."""
        sent, key = path.sent, path.sent.flow
        agent = self.agent(host)
        if sent.kind is PacketKind.SYN and host not in self.full:
            path.answered_by = host
            self.half_open.add((host, key))
            answer = packet(PacketKind.SYN_ACK, key, sequence=first_number(host))
            return agent.take_from_target(answer, now)
        if sent.kind is not PacketKind.SYN:
            if self.owners.get(key) == host:
                path.has_arrived = True
                return ()
            path.other_targets.append(host)
            if (host, key) in self.ended and sent.payload_bytes:
                answer = packet(PacketKind.RST, key, sequence=sent.acknowledged)
                return agent.take_from_target(answer, now)
            if (host, key) in self.ended and sent.kind is PacketKind.FIN:
                answer = packet(PacketKind.PLAIN, key, sequence=first_number(host) + 1)
                return agent.take_from_target(answer, now)
            if (host, key) in self.half_open and self.ignores_half_open:
                path.end = "target ignored the packet"
                return ()
        return agent.take_from_target(sent._replace(is_bounced=True), now)


def ticks(start: float, end: float) -> Sequence[float]:
    """Return the times after a start and up to an end at which agents notify homes."""
    numbers = range(
        int(start / HOME_NOTICE_INTERVAL_SECONDS) + 1, int(end / HOME_NOTICE_INTERVAL_SECONDS) + 1
    )
    return [number * HOME_NOTICE_INTERVAL_SECONDS for number in numbers]


def first_number(host: int) -> int:
    """Return the sequence number of a target's first packet in any flow."""
    return host * 100_003 % NUMBERS
