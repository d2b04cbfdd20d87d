"""A running site: fabric, balancers, agents and backend servers in one trio loop."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace
from random import Random, SystemRandom

import trio

from ..configuration import (
    Target,
    TargetState,
    compile_publication,
    encode_publication,
    encode_vms,
)
from ..daemon import Daemon
from ..settings import DaemonSettings
from ..stand_ins.backend_server import BackendBehaviour, BackendServer
from ..stand_ins.fabric import Fabric
from ..stand_ins.platform import PlatformStandIn
from ..steering import ConnectionIdKey
from ..supervision import PropagatingSupervisor, SupervisorFactory
from ._site_plan import SitePlan

REVISION_SECONDS = 0.5
FIRST_REVISION = 1
READY_POLL_SECONDS = 0.1
SECONDS_PER_WEIGHT = 0.004


class Site:
    """Starts, changes and stops the processes of one site.

    Args:
        make_supervisor: makes the supervisors of the daemons; by default an unexpected exception of
            one daemon ends the site.
    """

    def __init__(
        self,
        plan: SitePlan,
        nursery: trio.Nursery,
        seed: int,
        make_supervisor: SupervisorFactory = PropagatingSupervisor,
    ) -> None:
        self._plan = plan
        self._nursery = nursery
        self._seed = seed
        self._make_supervisor = make_supervisor
        self._daemons: dict[str, Daemon] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._backends: dict[str, BackendServer] = {}
        self._ended: list[str] = []
        self._fabric: Fabric | None = None
        self._platform = PlatformStandIn()

    @property
    def plan(self) -> SitePlan:
        """Return the plan of the site."""
        return self._plan

    @property
    def backends(self) -> Mapping[str, BackendServer]:
        """Return the backend servers by target name."""
        return self._backends

    async def start(self) -> None:
        """Start all processes."""
        self.publish(FIRST_REVISION)
        await self._nursery.start(self._platform.serve, self._plan.platform)
        for target in self._plan.targets:
            await self._start_backend(target)
            await self._start_daemon(self._plan.agent_settings(target))
        for name in self._plan.balancers:
            await self._start_daemon(self._plan.balancer_settings(name))
        listeners = {name: self._plan.listeners(name) for name in self._plan.balancers}
        self._fabric = Fabric(self._plan.service_addresses, listeners, Random(self._seed))
        await self._nursery.start(self._fabric.run)

    @property
    def daemons(self) -> Mapping[str, Daemon]:
        """Return the started daemons by name, without balancers that were stopped or replaced."""
        return self._daemons

    @property
    def platform(self) -> PlatformStandIn:
        """Return the platform stand-in."""
        return self._platform

    def publish(self, revision: int) -> None:
        """Publish the site's declaration under a revision number."""
        publication = compile_publication(self._plan.services, revision)
        self._platform.publish(encode_publication(publication))
        self._platform.publish_vms(encode_vms(self._plan.vms))

    async def add_target(self, target: Target) -> None:
        """Start a new target's backend server and agent; the next publication lists it."""
        self._plan = self._plan.with_target(target)
        await self._start_backend(target)
        await self._start_daemon(self._plan.agent_settings(target))

    def mark_target_draining(self, name: str) -> None:
        """Declare a target as draining, from the next publication on."""
        self._plan = self._plan.with_target_state(name, TargetState.DRAINING)

    def mark_vm_leaving(self, name: str) -> None:
        """Mark a VM as leaving on the platform's VM list, from the next publication on."""
        self._plan = self._plan.with_vm_leaving(name)

    async def set_keys(
        self, keys: tuple[ConnectionIdKey, ...], between_processes_seconds: float
    ) -> None:
        """Replace the connection-ID keys of every daemon, one after the other."""
        self._plan = self._plan.with_keys(keys)
        for daemon in list(self._daemons.values()):
            daemon.replace_settings(replace(daemon.settings, connection_id_keys=keys))
            await trio.sleep(between_processes_seconds)

    async def add_balancer(self, name: str) -> None:
        """Start a new balancer and send it packets once it has a configuration."""
        self._plan = self._plan.with_balancer(name)
        await self._start_daemon(self._plan.balancer_settings(name))
        while self._daemons[name].revision == 0:
            await trio.sleep(READY_POLL_SECONDS)
        if self._fabric is not None:
            self._fabric.add_balancer(name, self._plan.listeners(name))
            self._fabric.set_active_balancers([*self._fabric.active_balancers, name])

    async def replace_balancer(self, old: str, new: str) -> None:
        """Start a new balancer, stop sending packets to an old one and shut it down gracefully."""
        await self.add_balancer(new)
        if self._fabric is not None:
            self._fabric.set_active_balancers(
                [each for each in self._fabric.active_balancers if each != old]
            )
        self._daemons.pop(old).shut_down()

    def drain_target(self, name: str) -> None:
        """Make a backend server report draining on its health page."""
        self._backends[name].drain()

    async def wait_until_ready(self, timeout_seconds: float) -> bool:
        """Wait until every daemon has a configuration and sees all others; False on timeout."""
        with trio.move_on_after(timeout_seconds):
            while not all(self._is_ready(each) for each in self._daemons.values()):
                await trio.sleep(READY_POLL_SECONDS)
            return True
        return False

    @property
    def revision_in_force(self) -> int:
        """Return the lowest revision in force among the running daemons."""
        running = [each for name, each in self._daemons.items() if name not in self._ended]
        return min(daemon.revision for daemon in running)

    async def stop_balancer(self, name: str, detected_after_seconds: float) -> None:
        """Stop a balancer without warning; the fabric detects it after the given time."""
        self._scopes[name].cancel()
        del self._daemons[name]
        await trio.sleep(detected_after_seconds)
        if self._fabric is not None:
            self._fabric.set_active_balancers(
                [each for each in self._plan.balancers if each != name]
            )

    def _is_ready(self, daemon: Daemon) -> bool:
        others = len(self._daemons) - 1
        return daemon.revision > 0 and daemon.status["members_alive"] == others

    @property
    def ended(self) -> Sequence[str]:
        """Return the names of the daemons that have ended."""
        return tuple(self._ended)

    async def _start_backend(self, target: Target) -> None:
        behaviour = BackendBehaviour(
            slots=target.slots,
            seconds_per_weight=SECONDS_PER_WEIGHT,
            revision_seconds=REVISION_SECONDS,
        )
        backend = BackendServer(target.service, behaviour)
        self._backends[target.name] = backend
        await self._nursery.start(backend.serve, target.backend.host, target.backend.port)

    async def _start_daemon(self, settings: DaemonSettings) -> None:
        daemon = Daemon(settings, SystemRandom(), self._make_supervisor)
        scope = trio.CancelScope()
        self._daemons[settings.name] = daemon
        self._scopes[settings.name] = scope
        await self._nursery.start(self._run_daemon, settings.name, daemon, scope)

    async def _run_daemon(
        self,
        name: str,
        daemon: Daemon,
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[None],
    ) -> None:
        with scope:
            await daemon.run(task_status)
        self._ended.append(name)
