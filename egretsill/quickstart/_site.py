"""One site running: fabric, balancers, agents and backend servers in this trio loop."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random, SystemRandom

import trio

from ..configuration import Bundle, Target
from ..daemon._agent_core import AgentCore
from ..settings import DaemonSettings, TlsSettings
from ..stand_ins.backend_server import BackendBehaviour, BackendServer
from ..stand_ins.fabric import Fabric
from ..steering import Balancer, ConnectionIdCodec, ConnectionIdKey
from ..timing import TrioTimerService
from ._site_plan import SitePlan

REVISION_SECONDS = 0.5
SECONDS_PER_WEIGHT = 0.004


class Site:
    """Starts and disturbs the processes of one site."""

    def __init__(self, plan: SitePlan, nursery: trio.Nursery, seed: int) -> None:
        self._plan = plan
        self._nursery = nursery
        self._seed = seed
        self._timer = TrioTimerService()
        self._balancers: dict[str, trio.CancelScope] = {}
        self._backends: dict[str, BackendServer] = {}
        self._fabric: Fabric | None = None

    @property
    def plan(self) -> SitePlan:
        """Return what the site consists of."""
        return self._plan

    @property
    def backends(self) -> Mapping[str, BackendServer]:
        """Return the backend servers by target name."""
        return self._backends

    async def start(self) -> None:
        """Start all processes."""
        self._nursery.start_soon(self._timer.run)
        bundle = Bundle(1, "", self._plan.services)
        for target in self._plan.targets:
            await self._start_backend(target)
            self._start_agent(target, bundle)
        for name in self._plan.balancers:
            self._start_balancer(self._plan.balancer_settings(name), bundle)
        listeners = {name: self._plan.listeners(name) for name in self._plan.balancers}
        self._fabric = Fabric(self._plan.service_addresses, listeners, Random(self._seed))
        await self._nursery.start(self._fabric.run)

    async def stop_balancer(self, name: str, noticed_after_seconds: float) -> None:
        """Stop a balancer without warning; the fabric feeds it on for a while."""
        self._balancers[name].cancel()
        await trio.sleep(noticed_after_seconds)
        if self._fabric is not None:
            self._fabric.feed([each for each in self._plan.balancers if each != name])

    async def _start_backend(self, target: Target) -> None:
        behaviour = BackendBehaviour(
            slots=target.slots,
            seconds_per_weight=SECONDS_PER_WEIGHT,
            revision_seconds=REVISION_SECONDS,
        )
        backend = BackendServer(target.service, behaviour)
        self._backends[target.name] = backend
        await self._nursery.start(backend.serve, target.backend.host, target.backend.port)

    def _start_agent(self, target: Target, bundle: Bundle) -> None:
        settings = self._plan.agent_settings(target)
        tls: TlsSettings = self._plan.tls
        core = AgentCore(
            settings,
            tls,
            bundle,
            target,
            self._timer,
            SystemRandom(),
            _codec(settings),
            lambda: [],
            self._nursery,
        )
        self._nursery.start_soon(core.run)

    def _start_balancer(self, settings: DaemonSettings, bundle: Bundle) -> None:
        balancer = Balancer(
            self._timer, settings.tunnel, _codec(settings), lambda each: settings.listen[each]
        )
        balancer.apply_bundle(bundle)
        scope = trio.CancelScope()
        self._balancers[settings.name] = scope
        self._nursery.start_soon(_run_within, balancer, scope)


async def _run_within(balancer: Balancer, scope: trio.CancelScope) -> None:
    with scope:
        await balancer.run()


def _codec(settings: DaemonSettings) -> ConnectionIdCodec:
    return ConnectionIdCodec(
        [ConnectionIdKey(each.rotation, each.key) for each in settings.connection_id_keys]
    )
