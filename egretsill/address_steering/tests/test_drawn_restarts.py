"""Open flows while routes move between services and processes restart, in orders drawn by seed.

Each process has its own view. Every target lives, and the flows' route always exists, so no packet
of an open flow may ever be refused. These tests need no network.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random

import pytest

from ...directory import ServiceShare
from ...directory.tests.revisions import rev
from ...fleet import PeerReport
from .. import AgentSteering, BalancerSteering, PacketKind
from .chase import PacketPath
from .moving_fleet import FIRST, FIRST_BALANCER, MovingFleet, View
from .scene import IDLE, OTHER_SERVICE, PORT, RETENTION, SERVICE, SERVICE_HOST, table, with_route

ORDERS, PARTS = 1_400, 4
FLOWS, STEPS, BALANCERS = 5, 14, 2
EVENTS = ("move", "move", "stop", "restart", "restart", "roll", "roll", "balancers", "open")
AWAY_SECONDS = (0.5, 3.0, 7.0, 12.0)
STARTUP_SECONDS = 2.0  # an agent reports that it is new for so long
STARTED_AT, FORMER_LEFT_AT, REUSED_AT = -8.0, -6.0, -4.0  # of addresses that were used before
LOST_HEARTBEATS = 0.1  # share of processes that miss a round of them
STEP_SECONDS = (0.05, 0.4, 1.0, 2.0, 2.9)


class DrawnFleet(MovingFleet):
    """Fleet of two services whose processes each have their own view.

    Args:
        draw: the source of all choices.
    """

    def __init__(self, draw: Random) -> None:
        self._draw = draw
        self._views: dict[int, View] = {}
        self._behind: set[int] = set()
        self._away: dict[int, tuple[float, float]] = {}
        self._unheard: dict[int, set[int]] = {}
        self._new_since: dict[int, float] = {}
        self.trace: list[str] = []
        self._used_at: dict[int, float] = {}
        self._opened, self._now = 0, STARTED_AT
        targets = draw.randint(3, draw.choice((4, 6, 10)))
        super().__init__(targets, draw.randint(1, 3), draw.choice([-RETENTION, STARTED_AT]))
        hosts = list(self.targets)
        others = draw.sample(hosts, draw.randint(1, len(hosts) - 1))
        self.targets |= {host: self.target(host, OTHER_SERVICE) for host in others}
        self.table = table(7, (SERVICE, OTHER_SERVICE))
        self._draw_further_route()
        for host in hosts:
            self.agent(host)
        for number in range(BALANCERS):
            self.balancer(number)
        if draw.random() < 0.3:
            self._reuse_addresses(draw.sample(hosts, len(hosts) // 2))
        self.receive_heartbeats(0.0)

    def restart_agent(self, host: int, now: float) -> None:
        view = self._start(host, now)
        service, place = self.targets[host].service, view.placement()
        self.agents[host] = AgentSteering(
            host, service, view.directory, view.peers, place, RETENTION, now
        )

    def balancer(self, domain: int, view: int = 0) -> BalancerSteering:
        host = FIRST_BALANCER + domain % BALANCERS
        if host not in self.balancers:
            known = self._start(host, self._now)
            name = self.domains[domain % len(self.domains)]
            self.balancers[host] = BalancerSteering(
                host, name, known.directory, known.peers, known.placement(), RETENTION
            )
        return self.balancers[host]

    def receive_heartbeats(self, now: float) -> None:
        for process in self._views:
            if self._draw.random() >= LOST_HEARTBEATS:
                self._hear(process, now)

    def happen(self, now: float) -> None:
        """Let a drawn event happen."""
        draw = self._draw
        hosts = [host for host in self.targets if host not in self._away]
        match draw.choice(EVENTS):
            case "move":
                self._move_route(now)
            case "stop" if len(hosts) > 1:
                self._stop(draw.choice(hosts), now)
            case "restart" if hosts:
                self._restart(draw.sample(hosts, draw.randint(1, len(hosts))), now)
            case "roll" if len(hosts) > 1:
                first, *others = draw.sample(hosts, len(hosts))
                self._stop(first, now)
                self._restart(others, now)
                self.balancers.clear()
            case "open" if not self._away:
                self.open_flows(now)
            case "balancers":
                self.trace.append(f"{now:.2f} balancers restarted")
                self.balancers.clear()

    def advance(self, now: float) -> None:
        """Start the processes that are back, update views, and let a period pass."""
        self._now = now
        for host, (_, until) in tuple(self._away.items()):
            if until <= now:
                del self._away[host]
                self.silent.discard(host)
                self._restart([host], now)
        caught_up = {host for host in self._behind if self._draw.random() < 0.5}
        self._behind -= caught_up
        self._publish(caught_up, now)
        idle = self._behind | self.silent
        self.views = tuple(view for host, view in self._views.items() if host not in idle)
        self._tick(now)
        self.receive_heartbeats(now)

    def open_flows(self, now: float) -> None:
        """Open further flows."""
        for number in range(self._opened, self._opened + FLOWS):
            owner = self.open(number, now, copies=self._draw.choice((1, 1, 2)))
            if owner is not None:
                self._used_at[number] = now
        self._opened += FLOWS

    def open_numbers(self, now: float) -> Sequence[int]:
        """Return the flows that were not idle for too long."""
        return [each for each, used_at in self._used_at.items() if now - used_at < IDLE]

    def send(self, number: int, now: float) -> PacketPath:
        """Send a packet of an open flow through a drawn balancer; its target answers it."""
        path = self.follow(self.balancer(self._draw.randrange(BALANCERS)), self.sent(number), now)
        if path.has_arrived:
            self._used_at[number] = now
            self.answer(self.owner(number), number, PacketKind.PLAIN, now)
        return path

    def _hear(self, process: int, now: float) -> None:
        """Deliver heartbeats; a process that started lately may not be told who is away."""
        reports = [
            PeerReport(host, is_new=now - self._new_since.get(host, -RETENTION) < STARTUP_SECONDS)
            for host in self.targets
            if host not in self._away
        ]
        reports += [
            PeerReport(host, silence_milliseconds=round(1_000 * (now - since)))
            for host, (since, _) in self._away.items()
            if host not in self._unheard[process]
        ]
        peers = self._views[process].peers
        peers.receive_reports(reports, now)
        peers.tick(now)

    def _restart(self, hosts: Sequence[int], now: float) -> None:
        for host in hosts:
            self.restart_agent(host, now)
        self.trace.append(f"{now:.2f} agents {[host - FIRST for host in hosts]} start anew")

    def _start(self, host: int, now: float) -> View:
        self._views[host] = View(self.targets.values(), self.table, now)
        self._behind.discard(host)
        self._new_since[host] = now
        self._unheard[host] = set(self._away) if self._draw.random() < 0.7 else set()
        if self._draw.random() < 0.5:
            self._hear(host, now)
        return self._views[host]

    def _stop(self, host: int, now: float) -> None:
        seconds = self._draw.choice(AWAY_SECONDS)
        self._away[host] = (now, now + seconds)
        self.silent.add(host)
        for each in self._unheard.values():
            each.discard(host)
        self.trace.append(f"{now:.2f} agent {host - FIRST} away for {seconds:.1f} s")

    def _reuse_addresses(self, hosts: Sequence[int]) -> None:
        """Let the targets on some VMs be the successors of targets of the other service there."""
        current = dict(self.targets)
        for host in hosts:
            service = SERVICE if current[host].service == OTHER_SERVICE else OTHER_SERVICE
            self.targets[host] = replace(self.target(host, service), name=f"former {host}")
            current[host] = replace(current[host], started_milliseconds=2, revision=rev(50))
        self._publish(set(self._views), FORMER_LEFT_AT - 1.0)
        for host in hosts:
            del self.targets[host]
        self._publish(set(self._views), FORMER_LEFT_AT)
        self.targets = current
        self._publish(set(self._views), REUSED_AT)
        self.trace.append(f"reused: {[host - FIRST for host in hosts]}")

    def _move_route(self, now: float) -> None:
        draw, version = self._draw, self.table.version + 1
        services = draw.sample([SERVICE, OTHER_SERVICE], draw.randint(1, 2))
        shares = tuple(ServiceShare(each, draw.randint(1, 9)) for each in services)
        route = replace(self.table.routes[SERVICE_HOST, PORT], shares=shares)
        self.table = replace(table(version), routes={(SERVICE_HOST, PORT): route})
        self._draw_further_route()
        self.trace.append(f"{now:.2f} route to {services}, all: {sorted(self.table.services)}")
        self._behind |= {each for each in self._views if draw.random() < 0.2}
        self._publish(set(self._views) - self._behind, now)

    def _draw_further_route(self) -> None:
        further = self._draw.choice([None, SERVICE, OTHER_SERVICE])
        if further is not None:
            self.table = with_route(self.table, further)

    def _publish(self, processes: set[int], now: float) -> None:
        for each in processes:
            self._views[each].publish(self.targets.values(), now, self.table)


def play(seed: int, make_fleet: Callable[[Random], DrawnFleet] = DrawnFleet) -> str:
    """Play a drawn order; return what went wrong, empty if nothing did."""
    draw = Random(seed)
    fleet = make_fleet(draw)
    now = 0.1
    fleet.open_flows(now)
    paths: list[tuple[int, float, PacketPath]] = []
    for _ in range(STEPS):
        now += draw.choice(STEP_SECONDS)
        fleet.advance(now)
        fleet.happen(now)
        for number in fleet.open_numbers(now):
            if draw.random() < 0.4:
                paths.append((number, now, fleet.send(number, now)))
    fleet.advance(now + 0.5)
    for number, sent_at, path in paths:
        if path.is_reset:
            owner = fleet.owner(number) - FIRST
            hosts = [host - FIRST for host in path.hosts]
            return (
                f"seed {seed}: flow {number} at {owner}, sent at {sent_at:.2f} by {hosts}: "
                f"{path.end}; {'; '.join(fleet.trace)}"
            )
    return ""


# Guards against resets of open flows by processes that don't know what was before they started.
@pytest.mark.parametrize("part", range(PARTS))
def test_open_flow_of_a_living_target_is_never_refused(part: int) -> None:
    found = [each for each in map(play, range(part, ORDERS, PARTS)) if each]
    assert not found, f"{len(found)} orders: {found[0]}"
