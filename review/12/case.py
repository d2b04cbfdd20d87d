"""Callers use ports again whose former flow was at a target that left; balancers restart in turn."""

from __future__ import annotations

import asyncio
import os
import re
import sys
import time
from pathlib import Path

from stand_ins import Fleet, Record, Router

HERE = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PORTS = range(20_000, 24_400)
TRAFFIC_SECONDS = 22.0
REQUEST_PAUSE = 0.05
REQUESTS = 6


async def main() -> int:
    record = Record(HERE / "record.txt")
    fleet = Fleet(record)
    route = (fleet.host(250), 443)
    counts = {"answered": 0, "reset": 0, "no answer": 0, "not opened": 0}
    resets: list[str] = []
    tasks: list[asyncio.Task] = []
    try:
        await fleet.store.listen(*fleet.store_address)
        layout = [("za" if number < 23 else "zb", number) for number in range(20, 26)]
        targets = []
        for index, (zone, number) in enumerate(layout):
            targets.append(await fleet.add_target(f"i-{index}", number, "alpha", zone))
            fleet.start(f"side-{index}", "agent", number, zone, "alpha")
        fleet.put_config({route: "alpha"})
        names = []
        for index, zone in enumerate(("za", "zb", "za", "zb", "za", "zb", "za")):
            names.append(f"front-{index}")
            fleet.start(names[-1], "balancer", 10 + index, zone)
        client = await fleet.add_client(100)
        if not await fleet.wait_until_ready(30):
            record.write("not ready")
            return 2
        client.router = router = Router(fleet, names)
        tasks.append(asyncio.create_task(router.run()))
        await asyncio.sleep(5)  # longer than stable_window_ms

        async def first(port: int) -> tuple[int, str]:
            flow = client.flow(port, route)
            if not await flow.open() or await flow.ask(f"first-{port}") != "answered":
                return port, ""
            await asyncio.sleep(1.5)
            await flow.close()
            return port, flow.target

        started = []
        for port in PORTS:
            started.append(asyncio.create_task(first(port)))
            await asyncio.sleep(0.002)
        served = dict(await asyncio.gather(*started))
        record.write(f"first flows by target: { {each: list(served.values()).count(each) for each in set(served.values())} }")
        leaving = targets[0]
        logs = [name for name in fleet.machines if name.startswith("side")]
        if HAS_TROUBLE:
            await fleet.remove("side-0", leaving)
        else:
            await asyncio.sleep(5.5)
        await asyncio.sleep(1.5)

        async def second(port: int) -> None:
            flow = client.flow(port, route)
            if not await flow.open():
                counts["not opened"] += 1
                return
            for number in range(REQUESTS):
                outcome = await flow.ask(f"second-{port}-{number}")
                counts[outcome] += 1
                if outcome == "reset" and flow.is_open:
                    resets.append(f"port {port}, target {flow.target}, in rotation {router.rotation}")
                    record.write(f"reset of an open flow: {resets[-1]}, first at {served[port]}")
                if outcome != "answered":
                    record.write(f"second-{port}-{number}: {outcome}")
                    return
                await asyncio.sleep(REQUEST_PAUSE)
            await flow.close()

        async def traffic() -> None:
            # The ports of the target that has left, in the order in which they were used.
            again = [port for port in PORTS if served[port] == leaving.name]
            pause = TRAFFIC_SECONDS / max(len(again), 1)
            for port in again:
                started.append(asyncio.create_task(second(port)))
                await asyncio.sleep(pause)

        started.clear()
        record.write("ports are used again")
        flow_task = asyncio.create_task(traffic())
        begin = time.monotonic()
        if HAS_TROUBLE:
            for name in names:
                await fleet.roll(name)
                while not await fleet.is_ready(name):
                    await asyncio.sleep(0.1)
                await asyncio.sleep(0.3)
        await flow_task
        await asyncio.gather(*started)
        record.write(f"{time.monotonic() - begin:.1f} s, requests on second flows: {counts}")
        if fleet.ended() or fleet.forged:
            record.write(f"processes ended: {fleet.ended()}, forged packets: {fleet.forged}")
            return 2
        if counts["answered"] < 100:
            record.write("too few requests")
            return 2
        reasons = re.findall(r'flow-refused"|"reason":"([a-z-]+)"', "".join(map(fleet.log_of, logs)))
        record.write(f"reasons in the agents' logs: { {each: reasons.count(each) for each in sorted(set(reasons)) if each} }")
        record.write(f"{len(resets)} resets of open flows whose targets live")
        return 1 if resets else 0
    finally:
        for each in tasks:
            each.cancel()
        fleet.stop()


sys.exit(asyncio.run(main()))
