"""A small deployment on loopback addresses: store, targets, the system's processes, clients."""

import asyncio
import os
import random
import socket
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from client import ClientHost, Flow, Router, is_ready
from packets import to_number, to_text
from processes import Process
from record import Record
from store import Store
from target import Target

ZONES = ("zone-a", "zone-b")
READ_SERVICE, WRITE_SERVICE = "lookup", "intake"
# As in DEPLOY.md.
BOUNDS = {
    "seed_staleness_s": 3,
    "address_reuse_s": 2,
    "stable_window_ms": 4000,
    "drain_timeout_ms": 3000,
    "grace_period_s": 6,
    "config_apply_ms": 3000,
    "recovery_s": 12,
    "reorder_window_ms": 2000,
    "flow_ttl_s": 60,
}
IDLE_TIMEOUT_MS = 15_000
WORK_SECONDS = 0.05
SLOTS = 4
START_SECONDS = 30.0


@dataclass
class Machine:
    """A machine with the system's process on it, and its target if it is a `side` machine."""

    host: str
    zone: str
    process: Process
    target: Target | None = None


class Site:
    """The deployment. Use it as an asynchronous context manager."""

    def __init__(
        self,
        record: Record,
        balancers: int = 2,
        readers: int = 4,
        writers: int = 1,
        network: str | None = None,
    ) -> None:
        self.record = record
        self.store = Store()
        self.machines: list[Machine] = []
        self._counts = (balancers, readers, writers)
        self._folder = tempfile.TemporaryDirectory()
        self._net = network or f"127.{random.randrange(20, 220)}.{os.getpid() % 250 + 1}"
        ports = _free_ports(f"{self._net}.1", 9)
        self._packets, self._ready, self._control, self._outbound, self._app = ports[:5]
        self._tunnel, self._gossip, self._store_port = ports[5:8]
        self.service_address = (to_number(f"{self._net}.250"), 8443)
        self.write_address = (to_number(f"{self._net}.251"), 8443)
        self.router: Router | None = None
        self._tasks: list[asyncio.Task] = []
        self.version = 7

    async def __aenter__(self) -> "Site":
        await self.store.start(f"{self._net}.200", self._store_port)
        balancers, readers, writers = self._counts
        for number in range(balancers):
            self._add_balancer(number)
        for number in range(readers + writers):
            service = READ_SERVICE if number < readers else WRITE_SERVICE
            await self._add_side(number, service)
        self.publish()
        for machine in self.machines:
            if machine.target is not None:
                self.write_entry(machine)
        for machine in self.machines:
            machine.process.start()
        self.router = Router(
            [
                ((each.host, self._packets), (each.host, self._ready))
                for each in self.balancers
            ]
        )
        self._tasks.append(asyncio.create_task(self.router.probe_forever()))
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            await machine.process.stop()
        self._folder.cleanup()

    @property
    def balancers(self) -> list[Machine]:
        return [each for each in self.machines if each.target is None]

    @property
    def sides(self) -> list[Machine]:
        return [each for each in self.machines if each.target is not None]

    def packets_address(self, balancer: Machine) -> tuple[str, int]:
        """The address at which a balancer takes clients' packets."""
        return balancer.host, self._packets

    def further_address(self, port: int) -> tuple[int, int]:
        """An address and port for a further route."""
        return to_number(f"{self._net}.252"), port

    @property
    def unused_address(self) -> str:
        """An address of the network at which nobody listens."""
        return f"{self._net}.240:{self._app}"

    async def wait_until_ready(self) -> bool:
        """Wait until every process answers the platform's probe with 200."""
        for _ in range(int(START_SECONDS / 0.2)):
            found = [await is_ready((each.host, self._ready)) for each in self.machines]
            if all(found):
                return True
            await asyncio.sleep(0.2)
        return False

    async def is_ready(self, machine: Machine) -> bool:
        return await is_ready((machine.host, self._ready))

    async def client_host(self, number: int) -> ClientHost:
        host = f"{self._net}.{100 + number}"
        client = ClientHost(host, self.router, self.record)
        await client.start((host, self._packets))
        return client

    def publish(self, extra_routes: list[dict] | None = None) -> None:
        """Write the configuration, as the operator does."""
        self.version += 2
        routes = [
            self.route("r-read", self.service_address, "idempotent", READ_SERVICE),
            self.route("r-write", self.write_address, "non_idempotent", WRITE_SERVICE),
            *(extra_routes or []),
        ]
        services = [
            {"name": each, "health_path": "/healthz", "max_connections": 2000, "protocol": "h1"}
            for each in (READ_SERVICE, WRITE_SERVICE)
        ]
        limits = {"idle_timeout_ms": IDLE_TIMEOUT_MS}
        self.store.put(
            "op/config",
            {"version": self.version, "routes": routes, "services": services, "limits": limits},
        )
        self.record.write("configuration", version=self.version)

    def route(self, name: str, address: tuple[int, int], kind: str, service: str) -> dict:
        host, port = address
        return {
            "name": name,
            "host": to_text(host),
            "prefix": f"/{port}/",
            "type": kind,
            "timeout_ms": 4000,
            "aim_ms": 325,
            "priority": 2,
            "service": service,
            "max_attempts": 2,
        }

    def entry(self, machine: Machine) -> dict:
        """The entry that a machine's target keeps in the store."""
        target = machine.target
        return {
            "service": target.service,
            "address": f"{machine.host}:{self._app}",
            "zone": machine.zone,
            "version": "v1",
            "capacity": SLOTS,
            "phase": "ready",
            "warmup_remaining_ms": 0,
            "sequence": 1,
            "born": target.started_ms,
        }

    def write_entry(self, machine: Machine, **changes: object) -> None:
        entry = {**self.entry(machine), **changes}
        self.store.put(f"servers/{machine.target.name}", entry)
        self.record.write("entry", target=machine.target.name, entry=entry)

    def write_foreign_entry(self, name: str, value: bytes | dict) -> None:
        """Write an entry as another writer does (PROTOCOL.md, "Service discovery")."""
        self.store.put(f"servers/{name}", value)
        self.record.write("foreign-entry", name=name, value=str(value))

    def _add_balancer(self, number: int) -> None:
        host, zone = f"{self._net}.{10 + number}", ZONES[number % len(ZONES)]
        settings = self._settings(f"frontend-{zone}-{number}", host, zone, "frontend")
        process = Process("balancer", settings, Path(self._folder.name), self.record)
        self.machines.append(Machine(host, zone, process))

    async def _add_side(self, number: int, service: str) -> None:
        host, zone = f"{self._net}.{50 + number}", ZONES[number % len(ZONES)]
        settings = self._settings(f"side-{zone}-{number}", host, zone, "side")
        settings["service"] = service
        settings["app"] = f"{host}:{self._app}"
        process = Process("agent", settings, Path(self._folder.name), self.record)
        name = f"i-{random.randrange(2**32):08x}"
        target = Target(name, service, SLOTS, WORK_SECONDS, self.record)
        await target.start((host, self._app), (host, self._outbound))
        self.machines.append(Machine(host, zone, process, target))

    def _settings(self, name: str, host: str, zone: str, machine_class: str) -> dict:
        bound = {
            "datagram_address": f"{host}:{self._packets}",
            "ready": f"{host}:{self._ready}",
        }
        if machine_class == "frontend":
            bound["control_plane"] = f"{host}:{self._control}"
        else:
            bound["outbound"] = f"{host}:{self._outbound}"
        seeds = [f"{self._net}.{10 + each}:{self._control}" for each in range(self._counts[0])]
        return {
            "node_name": name,
            "machine_class": machine_class,
            "ip": host,
            "zone": zone,
            "region": "region-a",
            "port_range": [self._tunnel, self._gossip],
            "seed_nodes": seeds,
            "bootstrap": True,
            "bind_addresses": bound,
            "bounds": BOUNDS,
            "platform": {"address": f"{self._net}.200:{self._store_port}"},
        }


def _free_ports(host: str, count: int) -> list[int]:
    """Ports that are free now; all machines of the run use the same ones."""
    opened = []
    for _ in range(count):
        each = socket.socket()
        each.bind((host, 0))
        opened.append(each)
    ports = sorted(each.getsockname()[1] for each in opened)
    for each in opened:
        each.close()
    return ports


async def keep_long_flow(
    host: ClientHost, service: tuple[int, int], until: float, first_pause: float
) -> Flow | None:
    """Open a long flow and send a request every second or so until a time of the record."""
    await asyncio.sleep(first_pause)
    flow = Flow(host, service)
    if not await flow.open():
        host.record.write("not-opened", flow=flow.key)
        return None
    while host.record.now < until and flow.reset_by is None:
        await flow.request("GET /entry", 4.0)
        await asyncio.sleep(random.uniform(0.5, 1.0))
    if flow.reset_by is None:
        flow.close()
    return flow
