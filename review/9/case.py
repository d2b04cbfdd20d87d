"""Two of three side machines are lost; routes that are dropped then are served for too long."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

from stand_ins import (
    STORE,
    Client,
    Process,
    Record,
    Router,
    Store,
    Target,
    is_network_free,
    machine_fields,
)

# Networks in which the balancer's and the third agent's addresses come last in the turns of reading
# (`ReadPlan`), and the third agent last among the readers; one draw in some hundreds is such a one.
NETWORKS = ("127.67.85", "127.183.90", "127.76.169", "127.136.172", "127.43.43", "127.82.136")
SERVICE = "lookup"
ZONES = ("a", "b", "c")
FIRST_PORT = 8000
ROUTES = 14
READY_S = 12.0
BEFORE_S = 8.0  # of traffic before the loss
LOST_BEFORE_STORM_S = 1.5
STORM_GAP_S, STORM_CHANGES = 0.33, 12  # `config_storm` of the site file: 4 s, a change each 0.33 s
APPLY_S = 3.0  # `config_apply_ms`
PROBES_S = [3.02 + 0.07 * n for n in range(10)]  # after the confirmation, on a dropped route
REQUESTS_PER_S = 5


async def run(has_trouble: bool, folder: Path, record: Record) -> int:
    network = next((each for each in NETWORKS if is_network_free(each)), None)
    if network is None:
        record.write("no free network")
        return 2
    balancer, store_host = f"{network}.10", f"{network}.30"
    sides = [f"{network}.{each}" for each in (20, 21, 22)]
    route_host = f"{network}.240"
    store = Store(record)
    server = await asyncio.start_server(store.serve, store_host, STORE)
    tasks = [asyncio.create_task(store.expire())]
    store.put("op/config", configuration(1, route_host, range(ROUTES)))
    fields = machine_fields("frontend-a", balancer, "a", store_host, [balancer])
    processes = [Process(folder, fields, "balancer", record)]
    targets = []
    for zone, host in zip(ZONES, sides):
        fields = machine_fields(f"side-{zone}", host, zone, store_host, [balancer])
        processes.append(Process(folder, {**fields, "service": SERVICE}, "agent", record))
        targets.append(Target(store, record, host, SERVICE, zone))
    router = Router([balancer])
    clients = [
        Client(f"{network}.{100 + n}", (route_host, FIRST_PORT + n), router, record)
        for n in range(ROUTES)
    ]
    late: list[str] = []
    try:
        for each in (*clients, *targets):
            await each.start()
        await asyncio.gather(*(each.start(is_first=True) for each in processes))
        tasks.append(asyncio.create_task(router.run()))
        if not await wait_until(lambda: router.all_ready, READY_S):
            record.write("the balancer did not become ready")
            return 2
        await asyncio.sleep(1.0)
        tasks.append(asyncio.create_task(send_requests(clients[0])))
        await asyncio.sleep(BEFORE_S)
        if has_trouble:
            for target, process in zip(targets[:2], processes[1:3]):
                target.crash()
                await process.stop(signal.SIGKILL)
        await asyncio.sleep(LOST_BEFORE_STORM_S)
        probes = []
        for n in range(STORM_CHANGES):
            store.put("op/config", configuration(3 * n + 4, route_host, (0, *range(n + 2, ROUTES))))
            confirmed_at = time.monotonic()
            probes.append(asyncio.create_task(probe(clients[n + 1], n + 1, confirmed_at, record, late)))
            await asyncio.sleep(STORM_GAP_S)
        await asyncio.gather(*probes)
        await asyncio.sleep(1.0)
        usual = clients[0].outcomes
        line = f"on dropped routes, sent over {APPLY_S} s after the confirmation: {len(late)} ran {late}"
        record.write(f"usual requests served: {sum(each[1] for each in usual)} of {len(usual)}")
        record.write(line)
        print(line)
        left = [processes[0], *processes[3 if has_trouble else 1 :]]
        if any(not each.is_running for each in left) or not any(each[1] for each in usual):
            return 2
        return 1 if late else 0
    finally:
        for task in tasks:
            task.cancel()
        for process in processes:
            if process.is_running:
                await process.stop(signal.SIGKILL)
        server.close()


async def probe(
    client: Client, number: int, confirmed_at: float, record: Record, late: list[str]
) -> None:
    """Try a route that was dropped, later than `config_apply_ms` after the confirmation."""

    async def request(name: str) -> None:
        if await client.request(name, limit_s=1.5, retries=0):
            late.append(name)

    requests = []
    for seconds in PROBES_S:
        await asyncio.sleep(max(confirmed_at + seconds - time.monotonic(), 0))
        after = time.monotonic() - confirmed_at
        requests.append(asyncio.create_task(request(f"dropped{number}-after-{after:.2f}s")))
    await asyncio.gather(*requests)


def configuration(version: int, route_host: str, routes) -> dict:
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000}
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{n}",
                "host": route_host,
                "prefix": f"/{FIRST_PORT + n}/",
                "type": "idempotent",
                "timeout_ms": 4000,
                "aim_ms": 325,
                "priority": 2,
                "service": SERVICE,
                "max_attempts": 2,
            }
            for n in routes
        ],
        "services": [
            {"name": SERVICE, "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": False}
        ],
        "limits": {**limits, "idle_timeout_ms": 15000},
    }


async def send_requests(client: Client) -> None:
    pending = set()
    for n in range(100_000):
        task = asyncio.create_task(client.request(f"usual{n}"))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


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
    record.write(f"trouble: {has_trouble}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(run(has_trouble, Path(folder), record))
        except Exception as error:
            record.write(f"the case could not run: {type(error).__name__}: {error}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
