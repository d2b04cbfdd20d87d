"""Plays a day in virtual time and tells what came of it."""

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
from ._events import begin
from ._judge import Outcome, Violation
from ._world import World

LEAD_SECONDS = 4.0  # until callers come
TAIL_SECONDS = 6.0  # until the last of them has given up
WORST_WINDOWS = 2


@dataclass(frozen=True, slots=True)
class WindowService:
    """How callers fared in two seconds.

    Attributes:
        at: seconds after the first caller could ask.
        requests: asked in it.
        in_time: of them, answered as soon as their callers wanted.
    """

    at: float
    requests: int
    in_time: int


@dataclass(frozen=True, slots=True)
class Played:
    """What came of a day.

    Attributes:
        requests: that callers asked for.
        outcomes: how they ended, by outcome.
        violations: promises that were broken, in the order in which they were seen.
        windows: all, in order.
        flows_by_target: flows that were open at each target.
        hops: datagrams from one agent to another that carried a caller's packet.
        store_calls: calls to the store.
        datagrams: carried by the network.
        virtual_seconds: length of the day.
        real_seconds: how long it took to play.
        log: lines of all processes.
    """

    requests: int
    outcomes: Mapping[Outcome, int]
    violations: tuple[Violation, ...]
    windows: tuple[WindowService, ...]
    flows_by_target: Mapping[str, int]
    hops: int
    store_calls: int
    datagrams: int
    virtual_seconds: float
    real_seconds: float
    log: tuple[Mapping[str, object], ...]

    @property
    def worst_windows(self) -> tuple[WindowService, ...]:
        """Return the windows in which the smallest shares were served in time, the worst first."""
        ordered = sorted(self.windows, key=lambda each: (each.in_time / each.requests, each.at))
        return tuple(ordered[:WORST_WINDOWS])

    @property
    def served(self) -> int:
        """Return how many requests were answered, in time or late."""
        return self.outcomes.get(Outcome.IN_TIME, 0) + self.outcomes.get(Outcome.LATE, 0)


def play(day: Day, adapter: Adapter, seed: int) -> Played:
    """Play a day; the same day and seed give the same again.

    Args:
        day: what is there and what happens.
        adapter: makes packets and the store.
        seed: of all chance.
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
        WindowService(at - LEAD_SECONDS, requests, in_time)
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
        datagrams=world.network.carried,
        virtual_seconds=LEAD_SECONDS + day.seconds + TAIL_SECONDS,
        real_seconds=time.monotonic() - began,
        log=tuple(log),
    )


def _make_scheduling_repeatable(seed: int) -> None:
    """Let the seed decide in which order trio runs tasks, as its plugin for hypothesis does."""
    scheduling = trio._core._run
    scheduling._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduling._r.seed(seed)


async def _play(day: Day, adapter: Adapter, random: Random) -> World:
    async with trio.open_nursery() as nursery:
        world = World(day, adapter, random, nursery)
        await world.open()
        await trio.sleep(LEAD_SECONDS)
        for event in day.events:
            world.scheduler.call_later(event.at, _beginner(event, world))
        await world.ask(day.seconds)
        await trio.sleep(TAIL_SECONDS)
        world.judge.check_recovery(world.last_fault_ended_at, trio.current_time())
        nursery.cancel_scope.cancel()
    return world


def _beginner(event: Event, world: World) -> Callable[[], None]:
    return lambda: begin(event, world)
