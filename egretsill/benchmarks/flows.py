"""Cost of flows at an agent: handshakes, memory of open flows, and idle subscriptions."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import TypeVar

import trio
import trio.testing

from ..requests import Exchange
from ._cost import fit, in_child, processor_seconds, resident_bytes, slope_result
from ._flow_fleet import Caller, FlowFleet
from ._result import BenchmarkResult

BENCHMARK = "flows"
HANDSHAKES = 200
FLOW_SIZES = (125, 250, 500, 1_000, 2_000)
SUBSCRIPTION_SIZES = (20, 40, 60, 80, 100)
IDLE_SECONDS = 60.0
IDLE_STEP_SECONDS = 0.1
FLOW_GOAL_KILOBYTES = 40.0
SETTLE_EXCHANGES = 4
FIRST_PART = b"revision 1\n"
ResultT = TypeVar("ResultT")


def benchmark() -> Sequence[BenchmarkResult]:
    """Return all figures of flows."""
    return [
        *trio.run(_with_fleet, _handshakes),
        *_memory("an open flow", subscribing=False),
        *_memory("a flow with a subscription", subscribing=True),
        *trio.run(_with_fleet, _idle_subscriptions),
    ]


async def _with_fleet(
    measure: Callable[[FlowFleet], Awaitable[ResultT]],
) -> ResultT:
    async with trio.open_nursery() as nursery:
        results = await measure(FlowFleet(nursery, _subscribed))
        nursery.cancel_scope.cancel()
    return results


async def _subscribed(exchange: Exchange) -> None:
    await exchange.send_head(200, [])
    await exchange.send_data(FIRST_PART)
    await trio.sleep_forever()


def _result(case: str, value: float, unit: str, size: int | None = None) -> BenchmarkResult:
    return BenchmarkResult(BENCHMARK, case, value, unit, size)


async def _handshakes(fleet: FlowFleet) -> Sequence[BenchmarkResult]:
    fleet.open_flow()
    fleet.processor = 0.0
    began = time.process_time()
    callers = [fleet.open_flow() for _ in range(HANDSHAKES)]
    both = (time.process_time() - began) / HANDSHAKES
    own = fleet.processor / HANDSHAKES
    caller = sum(each.processor for each in callers) / HANDSHAKES
    return [
        _result("processor time of a handshake, both ends", 1e3 * both, "milliseconds"),
        _result("processor time of a handshake, agent", 1e3 * own, "milliseconds"),
        _result("processor time of a handshake, caller", 1e3 * caller, "milliseconds"),
        _result("handshakes a second of an agent on a whole core", 1 / own, "handshakes a second"),
    ]


def _memory(what: str, subscribing: bool) -> Sequence[BenchmarkResult]:
    """Return what a flow costs; its caller is discarded after it has opened the flow."""
    grown = in_child(grow_flows, subscribing)
    results = []
    for size, total in zip(FLOW_SIZES, grown, strict=True):
        kilobytes = total / size / 1e3
        goal = FLOW_GOAL_KILOBYTES if size == FLOW_SIZES[-1] else None
        holds = None if goal is None else kilobytes <= goal
        case = f"memory of {what} by flows"
        results.append(BenchmarkResult(BENCHMARK, case, kilobytes, "kB", size, goal, holds))
    slope = fit(list(zip(FLOW_SIZES, grown, strict=True))).slope / 1e3
    return [*results, _result(f"slope of memory of {what}", slope, "kB a flow")]


def grow_flows(subscribing: bool) -> Sequence[int]:
    """Return by how many bytes this process has grown at each number of flows."""
    return trio.run(_with_fleet, partial(_grow, subscribing))


async def _grow(subscribing: bool, fleet: FlowFleet) -> Sequence[int]:
    await _open(fleet, subscribing)
    before, opened = resident_bytes(), fleet.server.open_flows
    grown = []
    for size in FLOW_SIZES:
        while fleet.server.open_flows - opened < size:
            await _open(fleet, subscribing)
        grown.append(resident_bytes() - before)
    return grown


async def _open(fleet: FlowFleet, subscribing: bool) -> Caller:
    return await _open_subscription(fleet) if subscribing else fleet.open_flow()


async def _idle_subscriptions(fleet: FlowFleet) -> Sequence[BenchmarkResult]:
    callers: list[Caller] = []
    results = []
    for size in SUBSCRIPTION_SIZES:
        while len(callers) < size:
            callers.append(await _open_subscription(fleet))
        fleet.processor, fleet.datagrams = 0.0, 0
        own = processor_seconds(partial(_idle, fleet, callers))
        own -= sum(each.processor for each in callers)
        case = "processor time a second of idle subscriptions by subscriptions"
        results.append(_result(case, 1e3 * own / IDLE_SECONDS, "milliseconds", size))
    rate = fleet.datagrams / IDLE_SECONDS / len(callers)
    return [
        *results,
        slope_result(results, "milliseconds a subscription"),
        _result("datagrams a second of an idle subscription", rate, "datagrams a second"),
    ]


async def _open_subscription(fleet: FlowFleet) -> Caller:
    caller = fleet.open_flow()
    fleet.subscribe(caller)
    for _ in range(SETTLE_EXCHANGES):
        fleet.exchange(caller)
        await trio.testing.wait_all_tasks_blocked()
    return caller


def _idle(fleet: FlowFleet, callers: Sequence[Caller]) -> None:
    """Let the flows be idle; only their keep-alive and its answers go to and fro."""
    by_address = {each.address: each for each in callers}
    for each in callers:
        each.processor = 0.0
    for _ in range(round(IDLE_SECONDS / IDLE_STEP_SECONDS)):
        fleet.timer.advance(IDLE_STEP_SECONDS)
        fleet.answer(by_address)
