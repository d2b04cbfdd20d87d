"""Simulated fleet under load: balancers, agents, targets and callers in virtual time.

Every process has its own view of the others, which heartbeats update late. Callers behave as those
of the platform: copies of SYN packets, deadlines, and retries on new ports.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from functools import partial
from random import Random

from ...directory import (
    Route,
    RouteTable,
    ServiceShare,
    Snapshot,
    Target,
    WarmUpTerms,
)
from ...directory.tests.revisions import rev
from ...fleet import HEARTBEAT_SECONDS, PeerReport
from ...ranking import bucket_of
from .. import (
    AgentSteering,
    BalancerSteering,
    CapacityOffer,
    CapacityRequest,
    DeliverToTarget,
    Envelope,
    Failed,
    FlowKey,
    FlowPacket,
    Forward,
    NotifyBalancer,
    OfferCapacity,
    OwnerNotice,
    PacketKind,
    Refuse,
    RequestCapacity,
    SendToCaller,
    SteeringPolicy,
    syn_copy_delay,
)
from .load_parts import Attempt, LoadRecord, ModelTarget, Request, RequestKind, View
from .scene import IDLE, RETENTION, SERVICE, SERVICE_HOST, target

SYN_COPIES = 3
OPEN_TIMEOUT = 1.4
RETRIES = 2
CALLER_SECONDS = 0.001
NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.0035
MAXIMUM_HUB_SECONDS = 0.25  # until a hub sends on what it received, near or far
FAR_HUB_SECONDS = 0.25
WARM_UP_SECONDS, WARM_UP_FACTOR = 2.0, 1.6
TARGET_QUEUE = 16
RELEASE_SECONDS = 0.025
DOMAINS = ("a", "b", "c")


class LoadFleet(LoadRecord):
    """Plays callers against a fleet of real decisions and simulated targets.

    Args:
        seed: of all that is random.
        targets: number of targets, spread over three failure domains.
        balancers: number of balancers, spread likewise.
        slots: requests that a target works on concurrently.
        work_seconds: mean work of a request.
        start_at: returns when the agent and target of a number are up; 0 is before any caller.
        are_cold: whether targets that start are slow for a while.
        policy: of the agents.
        pace: flows a second that a cold target may get; 0 for any number.
        speeds: of the targets in turn; a target takes the work divided by its speed.
        uses_expected_finish: whether targets are chosen by when they are expected to finish.
        kinds: the kinds of requests that callers may send; one by default.
    """

    def __init__(
        self,
        seed: int = 1,
        targets: int = 7,
        balancers: int = 5,
        slots: int = 4,
        work_seconds: float = 0.06,
        start_at: Callable[[int], float] = lambda _: 0.0,
        are_cold: bool = False,
        policy: SteeringPolicy = SteeringPolicy(),  # noqa: B008, it is immutable
        pace: float = 0.0,
        speeds: Sequence[float] = (1.0,),
        uses_expected_finish: bool = True,
        kinds: Sequence[RequestKind] = (),
    ) -> None:
        super().__init__()
        kinds = kinds or (RequestKind(work_seconds=work_seconds),)
        self._usual_kind = kinds[0]
        self.random = Random(seed)
        self._pace = pace
        self.now = 0.0
        self.hops: Counter[str] = Counter()
        self.handshakes = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._packets: dict[bytes, FlowPacket] = {}
        self._attempts: dict[FlowKey, Attempt] = {}
        self._port = 1024
        entries = [
            target(1000 + n, SERVICE, failure_domain=DOMAINS[n % 3], capacity=slots)
            for n in range(targets)
        ]
        table = {(SERVICE_HOST, kind.port): _route(kind) for kind in kinds}
        warm_up = {SERVICE: WarmUpTerms(WARM_UP_SECONDS, pace)} if pace else {}
        routes = RouteTable(7, table, IDLE, warm_up)
        self._entries = {each.host: each for each in entries}
        snapshot = Snapshot(rev(100), routes, tuple(entries))
        for number, entry in enumerate(entries):
            up_at = start_at(number)
            started_at = up_at if are_cold and up_at > 0.0 else -10.0
            view = View(entry.host, snapshot, uses_expected_finish)
            agent = AgentSteering(
                entry.host,
                SERVICE,
                view.directory,
                view.peers,
                view.placement,
                RETENTION,
                started_at if pace else up_at,
                policy,
            )
            self.targets[entry.host] = ModelTarget(
                entry.host,
                entry.failure_domain,
                slots,
                started_at,
                view,
                agent,
                slowness=1.0 / speeds[number // len(DOMAINS) % len(speeds)],
                is_up=up_at <= 0.0,
            )
            self.at(up_at, self._start, entry.host)
        self.balancers: dict[int, tuple[str, View, BalancerSteering]] = {}
        for number in range(balancers):
            host, domain = 5000 + number, DOMAINS[number % 3]
            view = View(host, snapshot, uses_expected_finish)
            steering = BalancerSteering(
                host, domain, view.directory, view.peers, view.placement, RETENTION
            )
            self.balancers[host] = (domain, view, steering)

    def at(self, when: float, event: Callable[..., None], *arguments: object) -> None:
        """Schedule an event."""
        entry: tuple[float, int, Callable[[], None]] = (
            when,
            next(self._order),
            partial(event, *arguments),
        )
        heapq.heappush(self._events, entry)

    def ask(
        self,
        asked_at: float,
        domains: Sequence[str] = DOMAINS,
        kind: RequestKind | None = None,
        caller: int | None = None,
    ) -> None:
        """Schedule a request of a caller in one of some failure domains.

        Args:
            asked_at: when it is sent.
            domains: the failure domains in which its caller may be.
            kind: its kind; the first one by default.
            caller: number of its caller; drawn from the first 30 by default.
        """
        kind = kind or self._usual_kind
        work = kind.work_seconds * min(self.random.lognormvariate(-0.125, 0.5), 5.0)
        domain = self.random.choice(domains)
        request = Request(len(self.requests), asked_at, work, domain, kind, caller)
        self.requests.append(request)
        self.at(asked_at, self._attempt, request)
        self.at(asked_at + kind.deadline_seconds, self._give_up, request)

    def ask_at_rate(
        self,
        start: float,
        end: float,
        per_second: float,
        domains: Sequence[str] = DOMAINS,
        kind: RequestKind | None = None,
        caller: int | None = None,
    ) -> None:
        """Schedule requests that arrive at random, as a Poisson process; see `ask`."""
        when = start
        while (when := when + self.random.expovariate(per_second)) < end:
            self.ask(when, domains, kind, caller)

    def play(self, until: float = float("inf")) -> None:
        """Play until a time, or until nothing happens anymore."""
        while self._events and self._events[0][0] < until:
            self.now, _, event = heapq.heappop(self._events)
            event()
            if self.now > max(each.asked_at for each in self.requests[-50:]) + 3.0:
                return

    def _start(self, host: int) -> None:
        target = self.targets[host]
        target.is_up = True
        self._report(host)
        if self._pace and target.started_at > 0.0:
            # The entry of its new run reaches each process after its own delay.
            entry = replace(
                self._entries[host], warmup_seconds=WARM_UP_SECONDS, started_milliseconds=2
            )
            views = [view for _, view, _ in self.balancers.values()]
            for view in views + [each.view for each in self.targets.values()]:
                delay = self.random.uniform(0.0, MAXIMUM_HUB_SECONDS)
                self.at(self.now + delay, self._write, view, entry)

    def _write(self, view: View, entry: Target) -> None:
        view.write(entry, self.now)

    def _report(self, host: int) -> None:
        """Report an agent's load to all processes, each after its own delay."""
        target = self.targets[host]
        target.agent.sweep(self.now)
        flows = target.agent.flows
        pending = target.agent.load(self.now)
        is_silent = target.agent.is_target_silent(self.now)
        report = PeerReport(
            host,
            False,
            False,
            True,
            is_silent,
            pending,
            flows.owned,
            int(flows.delay_seconds * 1e3),
            backlog_milliseconds=target.agent.backlog_seconds(self.now) * 1e3,
            work_milliseconds=flows.work.usual_seconds * 1e3 if flows.work.is_known else 0.0,
            is_target_failing=target.agent.is_target_failing(self.now),
        )
        views = [(domain, view) for domain, view, _ in self.balancers.values()]
        views += [(e.domain, e.view) for e in self.targets.values() if e.is_up and e.host != host]
        for domain, view in views:
            delay = self.random.uniform(0.0, MAXIMUM_HUB_SECONDS)
            delay += 0.0 if domain == target.domain else self.random.uniform(0, FAR_HUB_SECONDS)
            sent = report._replace(silence_milliseconds=int(delay * 1000))
            self.at(self.now + delay, self._receive_report, view, sent)
        self.at(self.now + HEARTBEAT_SECONDS, self._report, host)

    def _attempt(self, request: Request) -> None:
        if request.is_given_up or request.attempts > RETRIES:
            return
        request.attempts += 1
        self._port += 1
        number = request.number % 30 if request.caller is None else request.caller
        caller = 0x64400001 + DOMAINS.index(request.domain) + 3 * number
        attempt = Attempt(FlowKey(caller, self._port, SERVICE_HOST, request.kind.port), request)
        self._attempts[attempt.key] = attempt
        for copy in range(SYN_COPIES):
            self.at(self.now + syn_copy_delay(copy), self._syn, attempt, copy)
        self.at(self.now + OPEN_TIMEOUT, self._check_open, attempt)

    def _syn(self, attempt: Attempt, copy: int) -> None:
        if attempt.owner is None and not attempt.is_ended:
            self._to_balancer(self._packet(attempt.key, PacketKind.SYN, copy=copy))

    def _check_open(self, attempt: Attempt) -> None:
        if attempt.owner is None and not attempt.is_ended:
            attempt.is_ended = True
            self._attempt(attempt.request)

    def _give_up(self, request: Request) -> None:
        if request.answered_at is None:
            request.is_given_up = True
            for attempt in self._attempts.values():
                if attempt.request is request and not attempt.is_ended:
                    self._close(attempt)

    def _close(self, attempt: Attempt) -> None:
        attempt.is_ended = True
        if attempt.owner is not None:
            self._to_balancer(self._packet(attempt.key, PacketKind.FIN, sequence=101))

    def _packet(
        self, key: FlowKey, kind: PacketKind, copy: int = 0, size: int = 0, sequence: int = 1
    ) -> FlowPacket:
        datagram = b"%d" % next(self._order)
        packet = FlowPacket(key, kind, False, copy, sequence, 1, size, datagram)
        self._packets[datagram] = packet
        return packet

    def _to_balancer(self, packet: FlowPacket) -> None:
        domain = self._attempts[packet.flow].request.domain
        near = [h for h, (d, _, _) in self.balancers.items() if d == domain]
        host = near[bucket_of(packet.flow.hash_key) % len(near)]
        self.at(self.now + CALLER_SECONDS, self._steer, host, packet)

    def _steer(self, host: int, packet: FlowPacket) -> None:
        domain, _, steering = self.balancers[host]
        match steering.steer(packet, self.now):
            case Forward(to, envelope, reason):
                self.hops[reason.value] += 1
                self._send(domain, to, self._arrive, to, envelope, packet)
            case Refuse(flow):
                self.at(self.now + CALLER_SECONDS, self._reset, flow)

    def _send(self, domain: str, to: int, event: Callable[..., None], *arguments: object) -> None:
        other = self.targets[to].domain if to in self.targets else self.balancers[to][0]
        self.at(self.now + (NEAR_SECONDS if domain == other else FAR_SECONDS), event, *arguments)

    def _receive_report(self, view: View, report: PeerReport) -> None:
        view.peers.receive_reports([report], self.now)

    def _notify(self, balancer: BalancerSteering, notice: OwnerNotice) -> None:
        balancer.record_owner(notice, self.now)

    def _arrive(self, host: int, envelope: Envelope, packet: FlowPacket) -> None:
        if self.targets[host].is_up:
            agent = self.targets[host].agent
            self._apply(host, agent.take_from_peer(envelope, packet, self.now))

    def _apply(self, host: int, effects: Iterable[object]) -> None:
        target = self.targets[host]
        for effect in effects:
            match effect:
                case Failed(_, error):
                    raise error
                case DeliverToTarget(datagram):
                    self._reach(target, self._packets[datagram])
                case SendToCaller(_, datagram):
                    packet = self._packets[datagram]
                    self.at(self.now + CALLER_SECONDS, self._receive, host, packet)
                case Forward(to, envelope, reason, _, datagram):
                    self.hops[reason.value] += 1
                    self._send(
                        target.domain, to, self._arrive, to, envelope, self._packets[datagram]
                    )
                case NotifyBalancer(balancer, notice):
                    steering = self.balancers[balancer][2]
                    self._send(target.domain, balancer, self._notify, steering, notice)
                case RequestCapacity(other, request):
                    self.hops["capacity-request"] += 1
                    self._send(target.domain, other, self._ask_capacity, other, request)
                case OfferCapacity(other, offer):
                    self.hops["capacity-offer"] += 1
                    self._send(target.domain, other, self._take_offer, other, offer)
                case Refuse(flow):
                    self.at(self.now + CALLER_SECONDS, self._reset, flow)
        if target.agent.is_waiting and not target.release_due:
            target.release_due = True
            self.at(self.now + RELEASE_SECONDS, self._release, target)

    def _ask_capacity(self, host: int, request: CapacityRequest) -> None:
        if self.targets[host].is_up:
            agent = self.targets[host].agent
            self._apply(host, agent.take_capacity_request(request, self.now))

    def _take_offer(self, host: int, offer: CapacityOffer) -> None:
        agent = self.targets[host].agent
        self._apply(host, agent.take_capacity_offer(offer, self.now))

    def _release(self, target: ModelTarget) -> None:
        target.release_due = False
        self._apply(target.host, target.agent.release(self.now))

    def _reach(self, target: ModelTarget, packet: FlowPacket) -> None:
        key = packet.flow
        if packet.kind is PacketKind.SYN:
            target.half_open.add(key)
            self.handshakes += 1
            target.syns.append(self.now)
            self._answer(target, self._packet(key, PacketKind.SYN_ACK))
        elif key not in target.open and not (
            key in target.half_open and self._attempts[key].owner == target.host
        ):
            self._answer(target, packet._replace(is_bounced=True))
        elif packet.kind is PacketKind.FIN:
            target.open.discard(key)
            self._answer(target, self._packet(key, PacketKind.FIN))
        elif packet.payload_bytes:
            target.open.add(key)
            if len(target.queue) >= TARGET_QUEUE:
                self._reject(self._attempts[key])
                return
            target.queue.append(self._attempts[key])
            self._work(target)

    def _reject(self, attempt: Attempt) -> None:
        """Reject a request unread, after which its caller tries again."""
        if not attempt.is_ended:
            self._close(attempt)
            self.at(self.now + CALLER_SECONDS, self._attempt, attempt.request)

    def _work(self, target: ModelTarget) -> None:
        while target.queue and target.working < target.slots:
            attempt = target.queue.pop(0)
            target.working += 1
            target.served.append(self.now)
            is_cold = self.now - target.started_at < WARM_UP_SECONDS
            seconds = attempt.request.work_seconds * target.slowness
            seconds *= WARM_UP_FACTOR if is_cold else 1.0
            self.at(self.now + seconds, self._finish, target, attempt)

    def _finish(self, target: ModelTarget, attempt: Attempt) -> None:
        target.working -= 1
        answer = self._packet(attempt.key, PacketKind.PLAIN, size=2000)
        has_failed = self.random.random() < target.failing_share
        self._answer(target, answer._replace(status=500 if has_failed else 200))
        self._work(target)

    def _answer(self, target: ModelTarget, packet: FlowPacket) -> None:
        self._packets[packet.datagram] = packet._replace(is_bounced=False)
        self._apply(target.host, target.agent.take_from_target(packet, self.now))

    def _receive(self, host: int, packet: FlowPacket) -> None:
        attempt = self._attempts[packet.flow]
        request = attempt.request
        if attempt.is_ended:
            return
        if packet.kind is PacketKind.SYN_ACK and attempt.owner is None:
            attempt.owner = host
            self._to_balancer(self._packet(packet.flow, PacketKind.PLAIN, size=100))
        elif packet.kind is PacketKind.PLAIN and request.answered_at is None:
            # Requests that may not be repeated: a failure is their answer.
            request.answered_at = self.now if packet.status < 500 else None
            self._close(attempt)

    def _reset(self, flow: FlowKey) -> None:
        attempt = self._attempts[flow]
        if attempt.owner is None and not attempt.is_ended:
            attempt.is_ended = True
            self._attempt(attempt.request)


def _route(kind: RequestKind) -> Route:
    shares = (ServiceShare(SERVICE, 1),)
    objective, deadline = kind.objective_seconds, kind.deadline_seconds
    return Route(
        kind.name, SERVICE_HOST, kind.port, shares, objective, deadline, priority=kind.priority
    )


def spread_starts(seconds: float, first: float = 0.0) -> Callable[[int], float]:
    """Return start times that are spread evenly over a span."""
    return lambda number: first + seconds * (number % 7) / 6
