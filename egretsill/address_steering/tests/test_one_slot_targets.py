"""Placement on targets of one slot at 80% load, with load reports a third of a second old.

All balancers see the same idle target in another domain at the same time. The more they choose
targets outside their own failure domain, the more flows collide at the same targets and the more
bytes cross between domains. The load mixes long flows of about seven requests with flows of one
request.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from ...directory import Directory, Snapshot
from ...directory.tests.revisions import rev
from ...fleet import PeerReport, PeerTable
from .. import BalancerSteering, Candidates, FlowPlacement, Forward, PacketKind
from .scene import RETENTION, SERVICE_HOST, flow, packet, table, target

TARGETS, DOMAINS, BALANCERS = 37, 4, 16
FIRST = 0x0A020001
REPORT_SECONDS = 0.35  # heartbeat interval plus the delay that hubs add
LONG_FLOWS, SHORT_FLOWS = 98.0, 195.0  # a second
REQUESTS, PAUSE_SECONDS = 6.3, 0.9  # of a long flow
WORK_SECONDS = (0.030, 0.039)  # per request, on a long and on a short flow
OBJECTIVE_SECONDS = 0.33
WARM_UP_SECONDS, END_SECONDS = 4.0, 16.0


@dataclass
class Load:
    """Simulates callers and the placement decisions of many balancers."""

    random: Random = field(default_factory=lambda: Random(1))
    late: int = 0
    answered: int = 0
    far: int = 0
    placed: int = 0
    _events: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)

    def play(self) -> None:
        """Run the simulation."""
        directory = Directory(RETENTION)
        domains = [f"d{number}" for number in range(DOMAINS)]
        entries = [
            target(FIRST + each, failure_domain=domains[each % DOMAINS], capacity=1)
            for each in range(TARGETS)
        ]
        directory.apply_snapshot(Snapshot(rev(100), table(), entries), 0.0)
        candidates = Candidates(directory)
        self._domain_of = {each.host: each.failure_domain for each in entries}
        self._tables = [PeerTable(number) for number in range(BALANCERS)]
        self._balancers = [
            BalancerSteering(
                number,
                domains[number % DOMAINS],
                directory,
                peers,
                FlowPlacement(directory, peers, candidates),
                RETENTION,
            )
            for number, peers in enumerate(self._tables)
        ]
        self._waiting: dict[int, list[tuple[float, int, int]]] = {e.host: [] for e in entries}
        self._flows = dict.fromkeys(self._waiting, 0)
        self._opened = 0
        for begin in (self._report_load, self._open_long, self._open_short):
            self._at(0.0, begin)
        while self._events and self._events[0][0] < END_SECONDS:
            now, _, event = heapq.heappop(self._events)
            event(now)

    def _at(self, when: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, self.random.getrandbits(48), event))

    def _report_load(self, now: float) -> None:
        reports = [
            PeerReport(host, pending=len(waiting), flows=self._flows[host])
            for host, waiting in self._waiting.items()
        ]
        for peers in self._tables:
            peers.receive_reports(reports, now)
        self._at(now + REPORT_SECONDS, self._report_load)

    def _open_long(self, now: float) -> None:
        requests = 1 + int(self.random.expovariate(1 / REQUESTS))
        self._open(now, 0, requests)
        self._at(now + self.random.expovariate(LONG_FLOWS), self._open_long)

    def _open_short(self, now: float) -> None:
        self._open(now, 1, 1)
        self._at(now + self.random.expovariate(SHORT_FLOWS), self._open_short)

    def _open(self, now: float, kind: int, requests: int) -> None:
        number = self.random.randrange(BALANCERS)
        self._opened += 1
        opening = packet(PacketKind.SYN, flow(self._opened))
        assert opening.flow.service_host == SERVICE_HOST
        decision = self._balancers[number].steer(opening, now)
        assert isinstance(decision, Forward)
        self.placed += 1
        self.far += self._domain_of[decision.host] != f"d{number % DOMAINS}"
        self._flows[decision.host] += 1
        self._send_request(now, decision.host, kind, requests)

    def _send_request(self, now: float, host: int, kind: int, requests: int) -> None:
        waiting = self._waiting[host]
        waiting.append((now, kind, requests))
        if len(waiting) == 1:
            self._begin(now, host)

    def _begin(self, now: float, host: int) -> None:
        work = WORK_SECONDS[self._waiting[host][0][1]] * self.random.lognormvariate(-0.11, 0.47)
        self._at(now + work, lambda then: self._answer(then, host))

    def _answer(self, now: float, host: int) -> None:
        requested_at, kind, requests = self._waiting[host].pop(0)
        if self._waiting[host]:
            self._begin(now, host)
        if requested_at > WARM_UP_SECONDS:
            self.answered += 1
            self.late += now - requested_at > OBJECTIVE_SECONDS
        if requests > 1:
            pause = self.random.expovariate(1 / PAUSE_SECONDS)
            self._at(now + pause, lambda then: self._send_request(then, host, kind, requests - 1))
        else:
            self._flows[host] -= 1


def test_flows_stay_near_and_meet_latency_objective() -> None:
    load = Load()
    load.play()
    assert load.answered > 8_000
    assert load.late <= 0.01 * load.answered
    assert load.far <= 0.2 * load.placed
