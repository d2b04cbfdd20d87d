"""The emulated world of one day, with its VMs, targets, callers, routers, network and store."""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import replace
from random import Random

import trio

from ..address_steering import FlowKey
from ..boot import AgentSettings, NodeRole, NodeSettings
from ..directory import (
    NO_REVISION,
    Route,
    RouteTable,
    ServiceShare,
    Target,
    TargetPhase,
    WarmUpTerms,
)
from ..endpoints import Address, format_ipv4, parse_ipv4
from ._adapter import Adapter
from ._caller import EmulatedCaller
from ._day import Day, Service
from ._judge import Judge
from ._machine import EPOCH_SECONDS, Machine
from ._network import Network
from ._request import RequestKind
from ._router import Router
from ._scheduler import Scheduler
from ._stream_socket import CURRENT_HOST, StreamSocketFactory
from ._target import WARM_UP_SECONDS, EmulatedTarget

LISTINGS, INTAKE = Service.LISTINGS.value, Service.INTAKE.value
UPLOADS = 2  # index of the request kind
DOMAINS = ("a", "b", "c")
CALLERS_A_DOMAIN = 3
STORE = Address("10.200.0.1", 8169)
STORE_WRITE_SECONDS = 0.005
WRITTEN_AGAIN_SECONDS = 2.0  # after the store's return from a copy
SERVICE_HOST = parse_ipv4("198.18.0.1")
FIRST_SERVICE_PORT = 443
UNUSED_SERVICE_PORT = 8_000
PACKETS, OUTBOUND, TARGET, HEALTH, METRICS, TUNNEL, GOSSIP = range(7_000, 7_007)
FLOW_SECONDS = 60.0
GRACE_SECONDS = 6.0
IDLE_SECONDS = 12.0
SETTLING_SECONDS = 4.0  # rules don't apply to a VM for this time after a disturbance
KINDS = (
    RequestKind("listing", LISTINGS, True, True, 200, 2_000, 0.03, 0.2, 1.5, 0.7),
    RequestKind("order", LISTINGS, False, False, 900, 600, 0.039, 0.25, 2.0, 0.2),
    RequestKind("upload", INTAKE, False, False, 12_000, 300, 0.005, 0.5, 5.0, 0.1),
)


class World:
    """All parts of an emulated day.

    Args:
        day: the day, with the initial fleet.
        adapter: provides the packet format and the store.
        random: source of all randomness of the day.
        nursery: nursery in which all tasks run.

    Attributes:
        machines: VMs with a process, by address.
        targets: targets by the name of their entry, including stopped ones.
        services: service of each request kind, by index; changes take effect when published.
        load_factor: request rate as a multiple of the day's rate.
        last_fault_ended_at: end of the last fault scheduled so far.
    """

    def __init__(self, day: Day, adapter: Adapter, random: Random, nursery: trio.Nursery) -> None:
        self.day = day
        self.random = random
        self.scheduler = Scheduler()
        self.network = Network(self.scheduler, random)
        self.store = adapter.make_store_stand_in()
        self.judge = Judge(self._is_undisturbed, self._is_open, day.warm_up_pace)
        self.machines: dict[str, Machine] = {}
        self.targets: dict[str, EmulatedTarget] = {}
        self.last_fault_ended_at = 0.0
        self.load_factor = 1.0
        self.services = [kind.service for kind in KINDS]
        self._adapter = adapter
        self._nursery = nursery
        self._numbers = itertools.count(1)
        self._names = itertools.count(1)
        self._version = 0
        self._table: RouteTable | None = None
        self._evacuated: set[str] = set()
        self._confirmed_version = 0
        self._fabric = StreamSocketFactory(self.network)
        self._routers = {
            domain: Router(f"10.201.0.{number}", PACKETS, HEALTH, day.hashing, self.network)
            for number, domain in enumerate(DOMAINS, start=1)
        }
        self._callers = [
            self._make_caller(number, domain)
            for number, domain in enumerate(DOMAINS * CALLERS_A_DOMAIN)
        ]

    @property
    def balancers(self) -> list[Machine]:
        """Return the VMs of balancers."""
        return [each for each in self.machines.values() if each.settings.agent is None]

    @property
    def agents(self) -> list[Machine]:
        """Return the VMs of agents."""
        return [each for each in self.machines.values() if each.settings.agent is not None]

    @property
    def hops(self) -> int:
        """Return the number of packets sent from one agent to another."""
        return self.network.counted_datagrams

    async def open(self) -> None:
        """Start all parts of the day after publishing the first configuration."""
        trio.socket.set_custom_socket_factory(self._fabric)
        self._nursery.start_soon(self.scheduler.run)
        await self._nursery.start(self._serve_store)
        self.publish()
        for number in range(self.day.balancers):
            self.add_balancer(DOMAINS[number % len(DOMAINS)])
        counts = {LISTINGS: self.day.targets, INTAKE: self.day.intake_targets}
        for service, count in counts.items():
            for number in range(count):
                self.add_target(service, DOMAINS[number % len(DOMAINS)])
        for domain, router in self._routers.items():
            self.network.add_host(router.host, domain)
            self._nursery.start_soon(router.probe)

    async def ask(self, seconds: float) -> None:
        """Generate requests of random kinds at random times for a number of seconds."""
        end = trio.current_time() + seconds
        shares = [kind.share for kind in KINDS]
        while True:
            pause = self.random.expovariate(self.day.requests_a_second * self.load_factor)
            await trio.sleep(pause)
            if trio.current_time() >= end:
                return
            kind = self.random.choices(range(len(KINDS)), shares)[0]
            self.random.choice(self._callers).ask(kind)

    def publish(self, unused_routes: int = 0) -> None:
        """Publish the next configuration, with a number of unused routes."""
        self._version += self.random.randrange(1, 4)
        routes: dict[tuple[int, int], Route] = {}
        for number, kind in enumerate(KINDS):
            port = FIRST_SERVICE_PORT + number
            shares = (ServiceShare(self.services[number], 1),)
            routes[SERVICE_HOST, port] = Route(
                kind.name,
                SERVICE_HOST,
                port,
                shares,
                kind.latency_objective_seconds,
                kind.deadline_seconds,
            )
        for number in range(unused_routes):
            port = UNUSED_SERVICE_PORT + number
            share = (ServiceShare(LISTINGS, 1),)
            routes[SERVICE_HOST, port] = Route(f"spare-{number}", SERVICE_HOST, port, share)
        pace = self.day.warm_up_pace
        warm_up = {LISTINGS: WarmUpTerms(WARM_UP_SECONDS, pace)} if pace else {}
        self._table = RouteTable(self._version, routes, IDLE_SECONDS, warm_up)
        self._write_configuration()

    def write_again(self) -> None:
        """Write again what the store has lost, as operators and targets do within two seconds."""
        self.scheduler.call_later(
            self.random.uniform(0.0, WRITTEN_AGAIN_SECONDS), self._write_configuration
        )
        for domain in DOMAINS:
            self.scheduler.call_later(
                WRITTEN_AGAIN_SECONDS, lambda d=domain: self._write_order(d)  # type: ignore[misc]
            )
        for target in self.targets.values():
            if target.is_running:
                self.scheduler.call_later(
                    self.random.uniform(0.0, WRITTEN_AGAIN_SECONDS),
                    lambda t=target: self.register(t),  # type: ignore[misc]
                )

    def evacuate(self, domain: str) -> None:
        """Order to evacuate a failure domain, retrying while the store is down."""
        self._evacuated.add(domain)
        self._write_order(domain)

    def restore(self, domain: str) -> None:
        """Take back the order to evacuate a failure domain, retrying while the store is down."""
        self.judge.note_restored(domain)
        self._evacuated.discard(domain)
        self._write_order(domain)

    def remove_stale_entries(self) -> None:
        """Remove the entries of stopped targets, which a copy may have brought back."""
        for name, target in self.targets.items():
            if not target.is_running:
                self.remove_entry(name)

    def _write_order(self, domain: str) -> None:
        """Write or remove an order, as the operators want it by now."""
        if self.store.faults.is_down:
            self.scheduler.call_later(0.5, lambda: self._write_order(domain))
        elif domain in self._evacuated:
            self.store.evacuate(domain)
            self.judge.note_evacuated(domain, self.scheduler.now + STORE_WRITE_SECONDS)
        else:
            self.store.restore(domain)

    def _write_configuration(self) -> None:
        if self.store.faults.is_down:
            self.scheduler.call_later(0.5, self._write_configuration)
        elif self._table is not None:
            self.store.publish(self._table)
            if self._table.version > self._confirmed_version:
                self._confirmed_version = self._table.version
                self.judge.note_version(self._table, self.scheduler.now + STORE_WRITE_SECONDS)

    def add_balancer(self, domain: str) -> Machine:
        """Add a VM with a balancer."""
        number = len(self.balancers) + 1
        settings = self._settings(f"balancer-{number}", f"10.1.0.{number}", domain, None)
        machine = self._add_machine(settings)
        self._routers[domain].add(machine.host)
        return machine

    def add_target(self, service: str, domain: str, host: str | None = None) -> EmulatedTarget:
        """Add a target, on a new VM with an agent or on an existing VM whose target has stopped."""
        if host is None:
            number = next(self._names)
            host = f"10.2.{number // 250}.{number % 250 + 1}"
            agent = AgentSettings(service, Address(host, TARGET), Address(host, OUTBOUND))
            self._add_machine(self._settings(f"agent-{number}", host, domain, agent))
            self.network.count_datagrams_between([Address(host, TUNNEL)])
        entry = Target(
            name=f"t{next(self._names)}",
            host=parse_ipv4(host),
            port=TARGET,
            service=service,
            failure_domain=domain,
            phase=TargetPhase.READY,
            capacity=self.day.slots,
            warmup_seconds=0.0,
            started_milliseconds=0,
            revision=NO_REVISION,
        )
        return self.start_target(entry)

    def start_target(self, entry: Target) -> EmulatedTarget:
        """Start a run of a target and register it."""
        born = int((EPOCH_SECONDS + self.scheduler.now) * 1000)
        run = replace(entry, started_milliseconds=born, warmup_seconds=WARM_UP_SECONDS)
        outbound = Address(format_ipv4(entry.host), OUTBOUND)
        target = EmulatedTarget(
            run, outbound, self._adapter, self.network, self.scheduler, self.judge
        )
        self.targets[entry.name] = target
        self.register(target)
        return target

    def register(self, target: EmulatedTarget) -> None:
        """Write a target's entry, retrying while the store is down."""

        def write() -> None:
            if not target.is_running or self.targets.get(target.entry.name) is not target:
                return
            if self.store.faults.is_down:
                self.scheduler.call_later(0.5, write)
                return
            self.store.put_target(target.entry)
            if target.is_draining:
                self.judge.note_draining(target.entry, self.scheduler.now)

        self.scheduler.call_later(STORE_WRITE_SECONDS, write)

    def remove_entry(self, name: str) -> None:
        """Remove the entry of a stopped target, retrying while the store is down."""
        if self.store.faults.is_down:
            self.scheduler.call_later(0.5, lambda: self.remove_entry(name))
        elif name not in self.targets or not self.targets[name].is_running:
            self.store.remove_target(name)

    def expire_entry(self, target: EmulatedTarget) -> None:
        """Remove the entry of a target that keeps serving."""
        self.store.remove_target(target.entry.name)

    def start_lag(self, machine: Machine) -> None:
        """Block inbound gossip and store calls of a VM; its outbound gossip still arrives."""
        self.network.block_inbound(Address(machine.host, GOSSIP))
        self.store.faults.refused_hosts.add(machine.host)

    def end_lag(self, machine: Machine) -> None:
        """Unblock inbound gossip and store calls of a VM."""
        self.network.unblock_inbound(Address(machine.host, GOSSIP))
        self.store.faults.refused_hosts.discard(machine.host)

    def remove_machine(self, machine: Machine) -> None:
        """Kill the process of a VM and remove the VM."""
        machine.kill()
        self.machines.pop(machine.host, None)

    def _add_machine(self, settings: NodeSettings) -> Machine:
        machine = Machine(settings, self._adapter, self.network, self._nursery, self.random)
        self.machines[settings.host] = machine
        machine.start()
        return machine

    def _settings(
        self, name: str, host: str, domain: str, agent: AgentSettings | None
    ) -> NodeSettings:
        return NodeSettings(
            role=NodeRole.BALANCER if agent is None else NodeRole.AGENT,
            name=name,
            host=host,
            failure_domain=domain,
            is_first_start=False,
            packets=Address(host, PACKETS),
            health=Address(host, HEALTH),
            metrics=Address(host, METRICS),
            tunnel_port=TUNNEL,
            gossip_port=GOSSIP,
            store=STORE,
            seeds=tuple(f"10.1.0.{number}" for number in range(1, 4)),
            flow_seconds=FLOW_SECONDS,
            grace_seconds=GRACE_SECONDS,
            agent=agent,
        )

    def _make_caller(self, number: int, domain: str) -> EmulatedCaller:
        host = f"100.64.0.{number + 1}"
        self.network.add_host(host, domain)
        address = Address(host, PACKETS)
        router = self._routers[domain]
        ports: Mapping[int, tuple[int, int]] = {
            index: (SERVICE_HOST, FIRST_SERVICE_PORT + index) for index in range(len(KINDS))
        }

        def send(data: bytes, flow: FlowKey) -> None:
            router.forward(data, flow, address)

        caller = EmulatedCaller(
            parse_ipv4(host),
            address,
            dict(ports),
            KINDS,
            self._adapter,
            self.scheduler,
            self.judge,
            self.random,
            send,
            lambda: next(self._numbers),
        )
        self.network.bind(address, caller)
        return caller

    async def _serve_store(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        CURRENT_HOST.set(STORE.host)
        listeners = await trio.open_tcp_listeners(STORE.port, host=STORE.host)
        task_status.started()
        await trio.serve_listeners(self.store.serve_stream, listeners)

    def _is_undisturbed(self, host: int) -> bool:
        machine = self.machines.get(format_ipv4(host))
        return machine is None or self.scheduler.now - machine.disturbed_at > SETTLING_SECONDS

    def _is_open(self, entry: Target, flow: FlowKey) -> bool:
        target = self.targets.get(entry.name)
        is_same_run = (
            target is not None and target.entry.started_milliseconds == entry.started_milliseconds
        )
        return target is not None and is_same_run and target.has_open(flow)
