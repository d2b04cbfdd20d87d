"""Measures how soon a leaving target stops starting work, and what planned changes break.

Draining, admission, placement and steering are the real classes. Configurations reach each process
up to 30 s late. Times count from when a signal reaches the leaving process; the health page is read
once a second.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from random import Random

from ..draining import BackendHealth, BackendState, DrainSignal, HealthPage
from ..steering import ConnectionIdCodec, ConnectionIdKey
from ._draining_fleet import DrainingFleet, LeavingAgent, OrderDispatcher, first_service
from ._measurement import Measurement
from ._steering_fleet import FleetAgent, short_packet

SEED = 5
TARGETS = 7
BALANCERS = 4
NO_NEW_WORK_SECONDS = 3.0
VIEW_LAG_SECONDS = 30.0
HEALTH_PAGE_SECONDS = 1.0
ORDERS_PER_SECOND = 40
SIGNAL_AT = 20.0
SIGNAL_RUN_SECONDS = 60.0
FLOWS = 2_000
LONG_FLOW_SECONDS = 4 * 3600.0
PACKETS_PER_FLOW = 8
REPLACEMENT_SECONDS = 30.0
NEW_TARGET_SECONDS = 40.0
REMOVAL_SECONDS = 60.0
FIXED_DRAIN_SECONDS = 60.0
PHASE_GAP_SECONDS = 120.0
ROUNDS = 2


def measure() -> Sequence[Measurement]:
    """Return the last start after each signal, and what replacing all processes breaks."""
    return [*(_last_start(signal) for signal in DrainSignal), *_replacements()]


def _last_start(signal: DrainSignal) -> Measurement:
    by_gate = _run_signal(signal, gate_signalled=True)
    by_views = _run_signal(signal, gate_signalled=False)
    return Measurement(
        "draining.last_start_seconds",
        f"{signal.value}, views lag up to 30 s, against views alone",
        by_gate,
        NO_NEW_WORK_SECONDS,
        by_views,
        by_gate <= NO_NEW_WORK_SECONDS,
    )


class _Clock:
    """A small event queue."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in seconds."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self) -> None:
        """Run all scheduled actions in order of time."""
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()


def _run_signal(signal: DrainSignal, gate_signalled: bool) -> float:
    """Return the seconds from the signal until the target's last start of an order."""
    random = Random(SEED)
    clock = _Clock()
    service = first_service(TARGETS)
    agents = {n: LeavingAgent(n, service, random) for n in range(1, TARGETS + 1)}
    dispatcher = OrderDispatcher(agents.get, clock.at)
    for order in range(int(ORDERS_PER_SECOND * SIGNAL_RUN_SECONDS)):
        requester = agents[random.randint(1, TARGETS)]
        when = order / ORDERS_PER_SECOND
        clock.at(when, lambda each=str(order), a=requester: dispatcher.place(each, a, clock.now))  # type: ignore[misc]
    if gate_signalled:
        _schedule_signal(signal, agents[1], clock, random)
    for agent in agents.values():
        applied_at = SIGNAL_AT + random.uniform(0.0, VIEW_LAG_SECONDS)
        clock.at(applied_at, partial(agent.placement.set_unavailable, {1}))
    clock.run()
    return max(0.0, max(dispatcher.orders.start_times[1]) - SIGNAL_AT)


def _schedule_signal(
    signal: DrainSignal, agent: LeavingAgent, clock: _Clock, random: Random
) -> None:
    if signal is not DrainSignal.HEALTH_PAGE:
        clock.at(SIGNAL_AT, lambda: agent.signal(signal, True, clock.now))
        return
    health = BackendHealth()
    offset = random.uniform(0.0, HEALTH_PAGE_SECONDS)
    for step in range(int(SIGNAL_RUN_SECONDS / HEALTH_PAGE_SECONDS)):
        clock.at(offset + step * HEALTH_PAGE_SECONDS, lambda: _read_page(health, agent, clock.now))


def _read_page(health: BackendHealth, agent: LeavingAgent, now: float) -> None:
    page = HealthPage.DRAINING if now >= SIGNAL_AT else HealthPage.HEALTHY
    leaves = health.page(page, now) is BackendState.DRAINING
    agent.signal(DrainSignal.HEALTH_PAGE, leaves, now)


class _Replacements:
    """Flows and orders while every balancer and every target is replaced, twice."""

    def __init__(self) -> None:
        self.random = Random(SEED)
        codec = ConnectionIdCodec([ConnectionIdKey(0, bytes(16))])
        self.fleet = DrainingFleet(self.random, codec, TARGETS, BALANCERS)
        self.dispatcher = OrderDispatcher(self.fleet.agent_of, self.fleet.at)
        self.broken: set[int] = set()
        self.not_opened: set[int] = set()
        self.cut_by_timeout = 0
        self.changes_end = self._schedule_changes()
        self.end = self.changes_end + LONG_FLOW_SECONDS
        self._schedule_flows()

    def run(self) -> None:
        """Run until every flow has ended."""
        for second in range(int(self.end) + 120):
            self.fleet.at(second, self.fleet.tick)
        self.fleet.run(self.end)

    def _schedule_changes(self) -> float:
        now = 60.0
        for _ in range(ROUNDS):
            for balancers, targets in ((True, False), (False, True), (True, True)):
                now = self._schedule_phase(now, balancers, targets) + PHASE_GAP_SECONDS
        return now

    def _schedule_phase(self, begin: float, balancers: bool, targets: bool) -> float:
        for step in range(BALANCERS if balancers else 0):
            when = begin + step * REPLACEMENT_SECONDS
            self.fleet.at(when, self.fleet.replace_balancer)
        for step in range(TARGETS if targets else 0):
            when = begin + step * REPLACEMENT_SECONDS
            self.fleet.at(when, self.fleet.add_target)
            self.fleet.at(when + NEW_TARGET_SECONDS, self._drain_oldest)
        count = TARGETS if targets else BALANCERS
        return begin + count * REPLACEMENT_SECONDS + NEW_TARGET_SECONDS + REMOVAL_SECONDS

    def _drain_oldest(self) -> None:
        active = [
            number for number, each in self.fleet.targets.items() if each.state.value == "active"
        ]
        oldest = min(active)
        self.fleet.drain_target(oldest)
        self.fleet.at(self.fleet.now + REMOVAL_SECONDS, lambda: self.fleet.remove_target(oldest))

    def _schedule_flows(self) -> None:
        for flow in range(FLOWS):
            opened_at = self.random.uniform(0.0, self.changes_end)
            longest = LONG_FLOW_SECONDS if flow % 10 == 0 else 600.0
            ends_at = opened_at + self.random.uniform(0.1, 1.0) * longest
            self.fleet.at(opened_at, partial(self._open, flow, opened_at, ends_at))

    def _open(self, flow: int, opened_at: float, ends_at: float) -> None:
        opened = self.fleet.open_flow()
        if opened is None:
            self.not_opened.add(flow)
            return
        owner, connection_id = opened
        agent = self.fleet.leaving[owner.number]
        agent.open_flow(opened_at)
        for _ in range(PACKETS_PER_FLOW):
            when = self.random.uniform(opened_at, ends_at)
            self.fleet.at(when, partial(self._send, flow, owner, connection_id, when))
        self.fleet.at(ends_at, partial(self._close, flow, owner, connection_id, ends_at))

    def _send(self, flow: int, owner: FleetAgent, connection_id: bytes, when: float) -> None:
        if self.fleet.deliver(short_packet(connection_id)) is not owner:
            self.broken.add(flow)
            return
        agent = self.fleet.leaving[owner.number]
        self.dispatcher.place(f"{flow}-{when}", agent, when)

    def _close(self, flow: int, owner: FleetAgent, connection_id: bytes, when: float) -> None:
        self._send(flow, owner, connection_id, when)
        owner.connection_ids.discard(connection_id)
        agent = self.fleet.leaving[owner.number]
        if agent.has_left:
            self.broken.add(flow)
        signalled_at = agent.signalled_at
        if signalled_at is not None and when > signalled_at + FIXED_DRAIN_SECONDS:
            self.cut_by_timeout += 1
        agent.close_flow(when)


def _replacements() -> Iterator[Measurement]:
    run = _Replacements()
    run.run()
    orders = run.dispatcher.orders
    agents = run.fleet.leaving.values()
    old = [each for each in agents if each.signalled_at is not None]
    case = "balancers, targets, then both replaced one by one, twice"
    values = (
        ("flows_broken", len(run.broken), run.cut_by_timeout),
        ("flows_not_opened", len(run.not_opened), None),
        ("orders_doubled", orders.doubled, None),
        ("orders_refused", len(orders.refused), None),
        ("left_with_work", sum(each.left_with_work for each in agents), None),
        ("leaving_targets_that_stay", sum(not each.has_left for each in old), None),
    )
    for name, value, baseline in values:
        yield Measurement(f"draining.{name}", case, value, 0, baseline, value == 0)
