"""All machines lose power while the target of a service drains; its next start is never used."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

from stand_ins import (
    PACKETS,
    STORE,
    Client,
    Process,
    Record,
    Router,
    Store,
    Target,
    choose_network,
    machine_fields,
)

SERVICE = "lookup"
ROUTE_PORT = 8443
READY_S = 12.0  # traffic starts that long after the machines at the latest
BEFORE_S = 8.0  # of traffic before the drain
DRAIN_S = 0.2  # between the accepted report and the loss of power, which comes right after it
DOWN_S = 1.1  # `down_s` of a final fault in the site file
RECOVERY_S = 12.0  # `recovery_s`
JUDGED_S = 40.0
REQUESTS_PER_S = 10


async def run(has_trouble: bool, folder: Path, record: Record) -> int:
    network = choose_network()
    balancers, side, store_host = [f"{network}.{each}" for each in (10, 11)], f"{network}.20", f"{network}.30"
    route_host, client_host = f"{network}.240", f"{network}.100"
    store = Store(record)
    server = await asyncio.start_server(store.serve, store_host, STORE)
    tasks = [asyncio.create_task(store.expire())]
    store.put("op/config", configuration(route_host))
    processes = [
        Process(folder, machine_fields(f"frontend-{n}", host, "a", store_host, balancers), "balancer", record)
        for n, host in enumerate(balancers)
    ]
    agent_fields = machine_fields("side-1", side, "a", store_host, balancers)
    agent = Process(folder, {**agent_fields, "service": SERVICE}, "agent", record)
    processes.append(agent)
    target = Target(store, record, side, SERVICE, "a")
    router = Router(balancers)
    client = Client(client_host, (route_host, ROUTE_PORT), router, record)
    try:
        await client.start()
        await target.start()
        await asyncio.gather(*(each.start(is_first=True) for each in processes))
        tasks.append(asyncio.create_task(router.run()))
        if not await wait_until(lambda: router.all_ready, READY_S):
            record.write("the balancers did not become ready")
            return 2
        await asyncio.sleep(1.0)
        traffic = asyncio.create_task(send_requests(client))
        tasks.append(traffic)
        await asyncio.sleep(BEFORE_S)
        drained_at = time.monotonic()
        target.drain()
        await asyncio.sleep(DRAIN_S)
        if has_trouble:
            target.crash()
            await asyncio.gather(*(each.stop(signal.SIGKILL) for each in processes))
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*(each.start(is_first=False) for each in processes))
        else:
            await asyncio.sleep(4.0)  # the drain bound and a little longer
            target.leave()
            await agent.stop(signal.SIGTERM)  # after its target has terminated
            await asyncio.sleep(DOWN_S)
            await agent.start(is_first=False)
        target = Target(store, record, side, SERVICE, "a")
        await target.start()
        back_at = time.monotonic()
        record.write("all machines are back")
        await asyncio.sleep(RECOVERY_S + JUDGED_S)
        traffic.cancel()
        before = share_served(client, 0.0, drained_at)
        after = share_served(client, back_at + RECOVERY_S, back_at + RECOVERY_S + JUDGED_S - 5.0)
        record.write(f"served before the drain: {before}, later than recovery_s: {after}")
        print(f"served before the drain: {before}, later than recovery_s: {after}")
        if any(not each.is_running for each in processes) or not after[1] or not before[1]:
            return 2
        if before[0] / before[1] < 0.25:
            return 2
        return 1 if after[0] / after[1] < 0.25 else 0
    finally:
        for task in tasks:
            task.cancel()
        for process in processes:
            if process.is_running:
                await process.stop(signal.SIGKILL)
        server.close()


def configuration(route_host: str) -> dict:
    route = {
        "name": "r-lookup",
        "host": route_host,
        "prefix": f"/{ROUTE_PORT}/",
        "type": "idempotent",
        "timeout_ms": 4000,
        "aim_ms": 325,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": 2,
    }
    service = {"name": SERVICE, "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": False}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": 7, "routes": [route], "services": [service], "limits": limits}


async def send_requests(client: Client) -> None:
    pending = set()
    for n in range(100_000):
        task = asyncio.create_task(client.request(f"a{n}"))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


def share_served(client: Client, since: float, until: float) -> tuple[int, int]:
    judged = [served for sent_at, served in client.outcomes if since <= sent_at < until]
    return sum(judged), len(judged)


async def wait_until(condition, seconds: float) -> bool:
    ends_at = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > ends_at:
            return False
        await asyncio.sleep(0.1)
    return True


def main() -> int:
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(__file__).with_name("record.txt"))
    record.write(f"trouble: {has_trouble}, network ports from {PACKETS}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(run(has_trouble, Path(folder), record))
        except Exception as error:
            record.write(f"the case could not run: {type(error).__name__}: {error}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
