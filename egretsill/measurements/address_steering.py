"""Measures flows broken by changes when packets carry no owner ID, and the cost to find owners.

The real decision classes of balancers and agents run in a fleet whose views lag by up to two
seconds. Baselines get the same packets: a hash of the addresses alone, and a hash with bounced
packets passed to the next candidate, both over the targets in the balancer's view.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

from ..address_steering import FlowKey, PacketKind
from ..ranking import rank
from ._address_fleet import SERVICE_HOST, SERVICE_PORT, AddressFleet
from ._measurement import Measurement

MEASURE = "address_steering"
SEED = 20261204
FLOWS = 10_000
CHANGES = 50
SECONDS_BETWEEN_CHANGES = 6.0
LONGEST_FLOW_SECONDS = 50.0  # below the age at which flows may be forgotten
PACKETS = 8
TARGETS, BALANCERS = 10, 7
LEAST_TARGETS, LEAST_BALANCERS = 5, 3
LARGE_FLEETS = ((15, 9, 3), (42, 12, 3), (110, 45, 5))  # targets, balancers, failure domains
LEAVING_SECONDS = 55.0  # from the start of draining to removal, so that flows can end
MOST_HOPS_A_PACKET = 0.25
WRONG_TARGETS = 3
HOME_ANNOUNCEMENT_SECONDS = 2.0  # between announcements to homes, four times the real interval
RETRY_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6)  # delays before callers retransmit an unanswered packet
MOST_NOTICES = 200.0  # 32 bytes each: a third of the limit of 18 KB a second for control traffic
FLEET_DAEMONS, FLEET_FLOWS_A_SECOND = 1_300, 110_000  # the expected size in production


def measure() -> Sequence[Measurement]:
    """Return all values of steering by address."""
    run = _Run(Random(SEED), TARGETS, BALANCERS, 1)
    run.play()
    larger = [each for size in LARGE_FLEETS for each in _measure_large_fleet(*size)]
    return [
        *larger,
        _count_lost_flows("flows with a packet lost for good, against a hash alone", run, "hash"),
        _count_lost_flows(
            "flows with a packet lost for good, against a hash with bounces", run, "chain"
        ),
        _at_most("packets at a wrong target three times", run.misdelivered, 0),
        _at_most("hops from agent to agent, a packet", run.hops / run.packets, MOST_HOPS_A_PACKET),
        _measure_notices(run),
    ]


class _Run:
    """One run that sends the same packets through the fleet and the baselines."""

    def __init__(self, random: Random, targets: int, balancers: int, domains: int) -> None:
        self.random = random
        self.fleet = AddressFleet(random, targets, balancers, domains)
        self.lost: dict[str, set[int]] = {"steered": set(), "hash": set(), "chain": set()}
        self.misdelivered = self.hops = self.packets = 0
        self._owners: dict[int, int] = {}
        self._hash_owners: dict[int, int] = {}
        self._leaving: dict[int, float] = {}

    def play(self) -> None:
        """Send all packets and make all changes in order of time."""
        end = CHANGES * SECONDS_BETWEEN_CHANGES + LONGEST_FLOW_SECONDS
        events: list[tuple[float, int, int, int]] = []
        for flow in range(FLOWS):
            begin = self.random.uniform(0.0, end - LONGEST_FLOW_SECONDS)
            length = self.random.uniform(0.0, LONGEST_FLOW_SECONDS)
            events.append((begin, 0, flow, 0))
            events += [(begin + length * n / PACKETS, n, flow, 0) for n in range(1, PACKETS)]
        events += [(n * SECONDS_BETWEEN_CHANGES, -1, n, 0) for n in range(1, CHANGES + 1)]
        events += [
            (n * HOME_ANNOUNCEMENT_SECONDS, -2, n, 0)
            for n in range(1, int(end / HOME_ANNOUNCEMENT_SECONDS))
        ]
        heapq.heapify(events)
        while events:
            when, number, flow, tries = heapq.heappop(events)
            self.fleet.now = when
            if number == -2:
                self.fleet.announce_to_homes()
                continue
            if number < 0:
                self._make_random_change()
                continue
            kind = PacketKind.SYN if number == 0 else PacketKind.PLAIN
            if self._send(flow, kind):
                continue
            if tries < len(RETRY_SECONDS):
                heapq.heappush(events, (when + RETRY_SECONDS[tries], number, flow, tries + 1))
            else:
                self.lost["steered"].add(flow)

    def _send(self, flow: int, kind: PacketKind) -> bool:
        """Send a packet and return whether it arrived or its flow was reset."""
        key = FlowKey(
            0x0A000000 + flow // 50_000, 10_000 + flow % 50_000, SERVICE_HOST, SERVICE_PORT
        )
        delivery = self.fleet.deliver(key, kind)
        if kind is PacketKind.SYN:
            # The caller acknowledges the target's SYN-ACK at once, and the target answers that.
            self.fleet.deliver(key, PacketKind.PLAIN)
        self.packets += 1
        self.hops += delivery.hops
        self.misdelivered += delivery.bounces >= WRONG_TARGETS and delivery.reached is None
        self._send_hashed(flow, key, kind)
        if delivery.reached is None:
            if delivery.is_refused:
                self.lost["steered"].add(flow)
            return delivery.is_refused
        if self._owners.setdefault(flow, delivery.reached) != delivery.reached:
            self.lost["steered"].add(flow)
        return True

    def _send_hashed(self, flow: int, key: FlowKey, kind: PacketKind) -> None:
        balancer = self.fleet.balancers[self.random.choice(list(self.fleet.balancers))]
        balancer.view.apply_arrived_snapshots(self.fleet.now)
        known = [each.host for each in balancer.view.directory.targets]
        ranked = rank(key.hash_key, known)
        if kind is PacketKind.SYN:
            self._hash_owners.setdefault(flow, ranked[0])
            return
        owner = self._hash_owners[flow]
        if ranked[0] != owner:
            self.lost["hash"].add(flow)
        if owner not in ranked:
            self.lost["chain"].add(flow)

    def _make_random_change(self) -> None:
        fleet = self.fleet
        for host, until in tuple(self._leaving.items()):
            if fleet.now >= until:
                del self._leaving[host]
                fleet.remove_target(host)
        changes: list[Callable[[], None]] = [fleet.add_target, fleet.start_balancer]
        changes.append(lambda: fleet.restart_agent(self.random.choice(list(fleet.targets))))
        if len(fleet.ready()) > LEAST_TARGETS:
            changes += [self._drain_random_target] * 2
        if len(fleet.balancers) > LEAST_BALANCERS:
            changes += [fleet.stop_balancer] * 2
        self.random.choice(changes)()

    def _drain_random_target(self) -> None:
        host = self.random.choice(self.fleet.ready())
        self._leaving[host] = self.fleet.now + LEAVING_SECONDS
        self.fleet.drain_target(host)


def _measure_large_fleet(targets: int, balancers: int, domains: int) -> Sequence[Measurement]:
    """Measure lost flows, bounces, hops and home notices in a larger fleet."""
    run = _Run(Random(SEED), targets, balancers, domains)
    run.play()
    size = f"{targets} targets"
    notice_rate = run.fleet.home_notices / run.fleet.now / targets
    return [
        _count_lost_flows(
            f"flows with a packet lost for good, against a hash alone, {size}", run, "hash"
        ),
        _at_most(f"packets at a wrong target three times, {size}", run.misdelivered, 0),
        _at_most(
            f"hops from agent to agent, a packet, {size}",
            run.hops / run.packets,
            MOST_HOPS_A_PACKET,
        ),
        _at_most(f"messages to homes a second, an agent, {size}", notice_rate, MOST_NOTICES),
    ]


def _count_lost_flows(case: str, run: _Run, baseline: str) -> Measurement:
    lost = Counter({name: len(flows) for name, flows in run.lost.items()})
    return Measurement(
        MEASURE, case, lost["steered"], 0, lost[baseline], holds=lost["steered"] == 0
    )


def _at_most(case: str, value: float, bound: float) -> Measurement:
    return Measurement(MEASURE, case, value, bound, None, holds=value <= bound)


def _measure_notices(run: _Run) -> Measurement:
    """Measure the flow notices per balancer, against a full flow table at every balancer."""
    case = f"messages a second about flows, for one of {FLEET_DAEMONS} balancers"
    notice_rate = run.fleet.owner_notices / FLOWS * FLEET_FLOWS_A_SECOND / FLEET_DAEMONS
    return Measurement(
        MEASURE,
        case,
        notice_rate,
        MOST_NOTICES,
        FLEET_FLOWS_A_SECOND,
        holds=notice_rate <= MOST_NOTICES,
    )
