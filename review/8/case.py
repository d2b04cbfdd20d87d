"""Flows whose ports an earlier, ended flow had are reset while balancers restart in turn."""

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
    choose_network,
    machine_fields,
)

SERVICE = "lookup"
ROUTE_PORT = 8443
ZONES = ("a", "b", "c")
BALANCERS, SIDES, CLIENTS = 3, 6, 4
FLOWS = 80
READY_S = 12.0
PAUSE_S = 12.0  # between the end of the earlier flows and the use of their ports
OPENING_S = 4.0  # in which the later flows are opened, one after the other
RESTART_S = 0.5  # between the end of a balancer and its next start
GRACE_S = 6.0


async def run(has_trouble: bool, folder: Path, record: Record) -> int:
    network = choose_network()
    store_host, route_host = f"{network}.30", f"{network}.240"
    balancers = [f"{network}.{10 + n}" for n in range(BALANCERS)]
    sides = [f"{network}.{40 + n}" for n in range(SIDES)]
    store = Store(record)
    server = await asyncio.start_server(store.serve, store_host, STORE)
    tasks = [asyncio.create_task(store.expire())]
    store.put("op/config", configuration(route_host))
    fronts, agents, targets = [], [], []
    for n, host in enumerate(balancers):
        fields = machine_fields(f"frontend-{n}", host, ZONES[n % 3], store_host, balancers)
        fronts.append(Process(folder, fields, "balancer", record))
    for n, host in enumerate(sides):
        zone = ZONES[n % 3]
        fields = machine_fields(f"side-{n}", host, zone, store_host, balancers)
        agents.append(Process(folder, {**fields, "service": SERVICE}, "agent", record))
        targets.append(Target(store, record, host, SERVICE, zone))
    router = Router(balancers)
    clients = [
        Client(f"{network}.{100 + n}", (route_host, ROUTE_PORT), router, record)
        for n in range(CLIENTS)
    ]
    try:
        for each in (*clients, *targets):
            await each.start()
        await asyncio.gather(*(each.start(is_first=True) for each in (*fronts, *agents)))
        tasks.append(asyncio.create_task(router.run()))
        if not await wait_until(lambda: router.all_ready, READY_S):
            record.write("the balancers did not become ready")
            return 2
        await asyncio.sleep(1.0)
        flows = [(clients[n % CLIENTS], 20_000 + n) for n in range(FLOWS)]
        earlier = [
            asyncio.create_task(later(0.01 * n, client.keep_flow(f"earlier{n}", port, 4, 0.4)))
            for n, (client, port) in enumerate(flows)
        ]
        endings = await asyncio.gather(*earlier)
        if endings.count("closed") < FLOWS:
            record.write("not all earlier flows were served")
            return 2
        await asyncio.sleep(PAUSE_S)
        if has_trouble:
            tasks.append(asyncio.create_task(restart(fronts[0])))
        broken: list[str] = []

        async def use_again(n: int, client: Client, port: int) -> str:
            ending = await client.keep_flow(f"later{n}", port, 40, 0.1)
            holders = [each.id for each in targets if each.holds(client.key(port))]
            if ending.startswith("reset") and holders:
                broken.append(f"later{n} {ending}, open at {holders}")
                record.write(broken[-1])
            return ending

        opened = [
            asyncio.create_task(later(OPENING_S * n / FLOWS, use_again(n, client, port)))
            for n, (client, port) in enumerate(flows)
        ]
        endings = await asyncio.gather(*opened)
        line = f"{len(broken)} of {FLOWS} open flows were reset though their target lives"
        record.write(f"{line}; endings: { {each: endings.count(each) for each in set(endings)} }")
        print(line, {each: endings.count(each) for each in set(endings)})
        if any(not each.is_running for each in agents):
            return 2
        return 1 if broken else 0
    finally:
        for task in tasks:
            task.cancel()
        for process in (*fronts, *agents):
            if process.is_running:
                await process.stop(signal.SIGKILL)
        server.close()


async def restart(process: Process) -> None:
    """Stop a balancer and start it again, as in a restart of all in turn."""
    await process.stop(signal.SIGTERM)
    await asyncio.sleep(RESTART_S)
    await process.start(is_first=False)


async def later(seconds: float, work):
    await asyncio.sleep(seconds)
    return await work


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
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000}
    return {
        "version": 7,
        "routes": [route],
        "services": [
            {"name": SERVICE, "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": False}
        ],
        "limits": {**limits, "idle_timeout_ms": 15000},
    }


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
