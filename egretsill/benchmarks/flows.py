"""Cost of flows at an agent: handshakes, memory of open flows and idle subscriptions."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import TypeVar

import trio
import trio.testing

from ..requests import Exchange
from ._cost import fit, processor_seconds, resident_bytes, run_in_subprocess, slope_result
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
    """Return all results of the flow benchmark."""
    return [
        *trio.run(_run_with_fleet, _handshakes),
        *_memory("an open flow", subscribing=False),
        *_memory("a flow with a subscription", subscribing=True),
        *trio.run(_run_with_fleet, _idle_subscriptions),
    ]


async def _run_with_fleet(
    measure: Callable[[FlowFleet], Awaitable[ResultT]],
) -> ResultT:
    async with trio.open_nursery() as nursery:
        results = await measure(FlowFleet(nursery, _serve_subscription))
        nursery.cancel_scope.cancel()
    return results


async def _serve_subscription(exchange: Exchange) -> None:
    await exchange.send_head(200, [])
    await exchange.send_data(FIRST_PART)
    await trio.sleep_forever()


def _result(case: str, value: float, unit: str, size: int | None = None) -> BenchmarkResult:
    return BenchmarkResult(BENCHMARK, case, value, unit, size)


async def _handshakes(fleet: FlowFleet) -> Sequence[BenchmarkResult]:
    fleet.open_flow()
    fleet.processor = 0.0
    start = time.process_time()
    callers = [fleet.open_flow() for _ in range(HANDSHAKES)]
    both_ends = (time.process_time() - start) / HANDSHAKES
    agent = fleet.processor / HANDSHAKES
    caller = sum(each.processor for each in callers) / HANDSHAKES
    return [
        _result("processor time of a handshake, both ends", 1e3 * both_ends, "milliseconds"),
        _result("processor time of a handshake, agent", 1e3 * agent, "milliseconds"),
        _result("processor time of a handshake, caller", 1e3 * caller, "milliseconds"),
        _result(
            "handshakes a second of an agent on a whole core", 1 / agent, "handshakes a second"
        ),
    ]


def _memory(what: str, subscribing: bool) -> Sequence[BenchmarkResult]:
    """Return the memory per flow; each caller is discarded once its flow is open."""
    grown = run_in_subprocess(measure_flow_memory, subscribing)
    results = []
    for size, total in zip(FLOW_SIZES, grown, strict=True):
        kilobytes = total / size / 1e3
        goal = FLOW_GOAL_KILOBYTES if size == FLOW_SIZES[-1] else None
        holds = None if goal is None else kilobytes <= goal
        case = f"memory of {what} by flows"
        results.append(BenchmarkResult(BENCHMARK, case, kilobytes, "kB", size, goal, holds))
    slope = fit(list(zip(FLOW_SIZES, grown, strict=True))).slope / 1e3
    return [*results, _result(f"slope of memory of {what}", slope, "kB a flow")]


def measure_flow_memory(subscribing: bool) -> Sequence[int]:
    """Return by how many bytes this process has grown at each of `FLOW_SIZES`."""
    return trio.run(_run_with_fleet, partial(_measure_growth_by_flows, subscribing))


async def _measure_growth_by_flows(subscribing: bool, fleet: FlowFleet) -> Sequence[int]:
    await _open_caller(fleet, subscribing)
    before, opened = resident_bytes(), fleet.server.open_flows
    grown = []
    for size in FLOW_SIZES:
        while fleet.server.open_flows - opened < size:
            await _open_caller(fleet, subscribing)
        grown.append(resident_bytes() - before)
    return grown


async def _open_caller(fleet: FlowFleet, subscribing: bool) -> Caller:
    return await _open_subscription(fleet) if subscribing else fleet.open_flow()


async def _idle_subscriptions(fleet: FlowFleet) -> Sequence[BenchmarkResult]:
    callers: list[Caller] = []
    results = []
    for size in SUBSCRIPTION_SIZES:
        while len(callers) < size:
            callers.append(await _open_subscription(fleet))
        fleet.processor, fleet.datagrams = 0.0, 0
        agent = processor_seconds(partial(_run_idle, fleet, callers))
        agent -= sum(each.processor for each in callers)
        case = "processor time a second of idle subscriptions by subscriptions"
        results.append(_result(case, 1e3 * agent / IDLE_SECONDS, "milliseconds", size))
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
        fleet.exchange_datagrams(caller)
        await trio.testing.wait_all_tasks_blocked()
    return caller


def _run_idle(fleet: FlowFleet, callers: Sequence[Caller]) -> None:
    """Keep the flows idle for `IDLE_SECONDS`, with only keep-alives and their replies."""
    callers_by_address = {each.address: each for each in callers}
    for each in callers:
        each.processor = 0.0
    for _ in range(round(IDLE_SECONDS / IDLE_STEP_SECONDS)):
        fleet.timer.advance(IDLE_STEP_SECONDS)
        fleet.deliver_agent_datagrams(callers_by_address)
