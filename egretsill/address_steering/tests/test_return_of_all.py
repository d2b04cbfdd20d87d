"""Pattern: restart of all. Every caller returns at the same moment and meets cold targets.

A small world without network: one balancer, an agent and a first-in-first-out target each, and
callers that open a flow, send one request and wait until their time limit.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import pytest

from .. import AgentSteering, BalancerSteering, FlowKey, Forward, HandToTarget, PacketKind
from .scene import (
    AGENTS,
    AIM,
    BALANCER,
    DOMAIN,
    LIMIT,
    RETENTION,
    SERVICE,
    Scene,
    envelope,
    flow,
    packet,
)

SLOTS = 4
SERVICE_SECONDS = 0.05  # of a cold target
NETWORK_SECONDS = 0.005
CALLERS_AT_ONCE = 250
CALLERS_A_SECOND = 250  # five eighths of what the targets can do
SECONDS = 4
AFTER_SECONDS = 0.5  # callers that begin later than this did not return but came anew


@dataclass
class World:
    """Plays the return and counts how callers fare."""

    in_time: int = 0
    late: int = 0
    lost: int = 0
    new_callers: int = 0
    new_in_time: int = 0
    waiting_most: int = 0
    events: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)

    def play(self) -> None:
        """Play it from beginning to end."""
        scene = Scene()
        scene.hear(0.0)
        self.order = itertools.count()
        self.balancer = BalancerSteering(
            BALANCER, DOMAIN, scene.directory, scene.peers, scene.placement, RETENTION
        )
        self.agents = {
            host: AgentSteering(
                host,
                SERVICE,
                scene.directory,
                scene.peers,
                scene.placement,
                RETENTION,
                -RETENTION,
            )
            for host in AGENTS
        }
        self.free_at = {host: [0.0] * SLOTS for host in AGENTS}
        self.began: dict[bytes, float] = {}
        begins = [0.0] * CALLERS_AT_ONCE
        begins += [number / CALLERS_A_SECOND for number in range(CALLERS_A_SECOND * SECONDS)]
        self.new_callers = sum(each > AFTER_SECONDS for each in begins)
        for number, begin in enumerate(begins):
            self.at(begin, lambda now, number=number: self.open(number, now))  # type: ignore[misc]
        for step in range(SECONDS * 4):
            self.at(step / 4, lambda now: self.report(scene, now))
        while self.events:
            now, _, event = heapq.heappop(self.events)
            event(now)

    def at(self, when: float, event: Callable[[float], None]) -> None:
        """Let something happen."""
        heapq.heappush(self.events, (when, next(self.order), event))

    def report(self, scene: Scene, now: float) -> None:
        """Let the balancer hear of the agents' load."""
        for host, agent in self.agents.items():
            pending = agent.flows.pending + len(agent.queue)
            self.waiting_most = max(self.waiting_most, len(agent.queue))
            scene.hear(now, [host], pending=pending, flows=agent.flows.owned)

    def open(self, number: int, now: float) -> None:
        """Let a caller open its flow."""
        key = flow(number)
        decision = self.balancer.steer(packet(PacketKind.OPENING, key), now)
        assert isinstance(decision, Forward)
        agent = self.agents[decision.host]
        agent.take_from_peer(decision.envelope, packet(PacketKind.OPENING, key), now)
        agent.take_from_target(packet(PacketKind.OPENING_ANSWER, key), now)
        self.at(now + 3 * NETWORK_SECONDS, lambda then: self.ask(decision.host, key, now, then))

    def ask(self, host: int, key: FlowKey, began: float, now: float) -> None:
        """Let a caller send its request."""
        datagram = str(key).encode()
        self.began[datagram] = began
        request = packet(key=key, payload_bytes=100)._replace(datagram=datagram)
        self.hand(host, self.agents[host].take_from_peer(envelope(), request, now), now)

    def hand(self, host: int, effects: Sequence[object], now: float) -> None:
        """Let the target start what its agent hands over, in the order of arrival."""
        for effect in effects:
            if isinstance(effect, HandToTarget):
                slot = min(range(SLOTS), key=self.free_at[host].__getitem__)
                done = max(self.free_at[host][slot], now) + SERVICE_SECONDS
                self.free_at[host][slot] = done
                datagram = effect.datagram
                self.at(done, lambda then, datagram=datagram: self.answer(host, datagram, then))  # type: ignore[misc]

    def answer(self, host: int, datagram: bytes, now: float) -> None:
        """Let a caller get its answer, and the agent hand over the next request."""
        began = self.began[datagram]
        caller, _, service = datagram.decode().partition(">")
        port = int(caller.rpartition(":")[2])
        (key,) = (each for each in (flow(port - 20_000),) if str(each).endswith(service))
        answered = packet(key=key, payload_bytes=1000)
        is_in_time = now - began <= AIM
        self.in_time += is_in_time
        self.late += AIM < now - began <= LIMIT
        self.lost += now - began > LIMIT
        self.new_in_time += is_in_time and began > AFTER_SECONDS
        self.hand(host, self.agents[host].take_from_target(answered, now), now)


def play(is_queued: bool, monkeypatch: pytest.MonkeyPatch) -> World:
    with monkeypatch.context() as patch:
        if not is_queued:
            patch.setattr(AgentSteering, "_most_pending", lambda _: 100_000)
        world = World()
        world.play()
    return world


def test_callers_that_come_after_the_return_are_served_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    queued = play(True, monkeypatch)
    unqueued = play(False, monkeypatch)
    callers = CALLERS_AT_ONCE + CALLERS_A_SECOND * SECONDS
    expired = sum(each.queue.expired for each in queued.agents.values())
    assert queued.in_time + queued.late + queued.lost + expired == callers
    assert queued.new_in_time == queued.new_callers > unqueued.new_in_time
    assert queued.in_time > unqueued.in_time
    assert queued.late < unqueued.late
    # The price: some of those who returned at once are passed by until they give up.
    assert queued.lost + expired < CALLERS_AT_ONCE / 10
    assert queued.waiting_most < CALLERS_AT_ONCE
