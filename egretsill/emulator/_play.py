"""Runs a day in virtual time and returns its results."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random

import eliot
import trio
import trio.testing

from ._adapter import Adapter
from ._day import Day, Event
from ._events import apply_event
from ._judge import Outcome, Violation
from ._world import World

LEAD_SECONDS = 4.0  # before the first request
TAIL_SECONDS = 6.0  # after the last request, until it has timed out
WORST_WINDOWS = 2


@dataclass(frozen=True, slots=True)
class WindowSummary:
    """Service statistics of a two-second window.

    Attributes:
        at: start of the window, in seconds after the start of the traffic.
        requests: number of requests started in it.
        in_time: number of them that met their latency objective.
    """

    at: float
    requests: int
    in_time: int


@dataclass(frozen=True, slots=True)
class Played:
    """Results of a day.

    Attributes:
        requests: number of requests started by callers.
        outcomes: number of requests by outcome.
        violations: broken rules, in the order of detection.
        windows: statistics of all windows, in order.
        flows_by_target: number of flows opened at each target.
        hops: number of datagrams with a caller's packet from one agent to another.
        store_calls: number of calls to the store.
        datagrams: number of datagrams sent over the network.
        virtual_seconds: duration of the day in virtual time.
        real_seconds: real time of the run.
        log: log lines of all processes.
    """

    requests: int
    outcomes: Mapping[Outcome, int]
    violations: tuple[Violation, ...]
    windows: tuple[WindowSummary, ...]
    flows_by_target: Mapping[str, int]
    hops: int
    store_calls: int
    datagrams: int
    virtual_seconds: float
    real_seconds: float
    log: tuple[Mapping[str, object], ...]

    @property
    def worst_windows(self) -> tuple[WindowSummary, ...]:
        """Return the windows with the smallest shares of requests in time, worst first."""
        ordered = sorted(self.windows, key=lambda each: (each.in_time / each.requests, each.at))
        return tuple(ordered[:WORST_WINDOWS])

    @property
    def served(self) -> int:
        """Return how many requests were answered, in time or late."""
        return self.outcomes.get(Outcome.IN_TIME, 0) + self.outcomes.get(Outcome.LATE, 0)


def play(day: Day, adapter: Adapter, seed: int) -> Played:
    """Run a day; the same day and seed give the same results.

    Args:
        day: day to run.
        adapter: provides the packet format and the store.
        seed: seed of all randomness.
    """
    _make_scheduling_repeatable(seed)
    log: list[Mapping[str, object]] = []
    began = time.monotonic()
    eliot.add_destinations(log.append)
    try:
        clock = trio.testing.MockClock(autojump_threshold=0)
        world = trio.run(_play, day, adapter, Random(seed), clock=clock)
    finally:
        eliot.remove_destination(log.append)
    judge = world.judge
    windows = tuple(
        WindowSummary(at - LEAD_SECONDS, requests, in_time)
        for at, requests, in_time in judge.windows
    )
    return Played(
        requests=judge.asked,
        outcomes=dict(judge.outcomes),
        violations=tuple(judge.violations),
        windows=windows,
        flows_by_target=dict(judge.flows_by_target),
        hops=world.hops,
        store_calls=world.store.answered,
        datagrams=world.network.datagrams_sent,
        virtual_seconds=LEAD_SECONDS + day.seconds + TAIL_SECONDS,
        real_seconds=time.monotonic() - began,
        log=tuple(log),
    )


def _make_scheduling_repeatable(seed: int) -> None:
    """Seed the order in which trio runs tasks, in the same way as its Hypothesis plugin."""
    scheduling = trio._core._run
    scheduling._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduling._r.seed(seed)


async def _play(day: Day, adapter: Adapter, random: Random) -> World:
    async with trio.open_nursery() as nursery:
        world = World(day, adapter, random, nursery)
        await world.open()
        await trio.sleep(LEAD_SECONDS)
        for event in day.events:
            world.scheduler.call_later(event.at, _event_starter(event, world))
        await world.ask(day.seconds)
        await trio.sleep(TAIL_SECONDS)
        world.judge.check_recovery(world.last_fault_ended_at, trio.current_time())
        nursery.cancel_scope.cancel()
    return world


def _event_starter(event: Event, world: World) -> Callable[[], None]:
    return lambda: apply_event(event, world)
