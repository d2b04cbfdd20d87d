"""What a daemon does as an agent, from before it knows its target."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random

import trio

from ..configuration import Address, Bundle, Target
from ..membership import MembershipView
from ..observation import JSON, Metrics, StateLog
from ..settings import DaemonSettings, TlsSettings
from ..steering import ConnectionIdCodec
from ..timing import TrioTimerService
from ._agent_core import AgentCore
from ._codec import make_codec


class AgentRole:
    """Owns flows and guards one backend server once the configuration names its target."""

    def __init__(
        self,
        settings: DaemonSettings,
        tls: TlsSettings,
        target_number: int,
        timer: TrioTimerService,
        metrics: Metrics,
        state_log: StateLog,
        random: Random,
    ) -> None:
        self._settings = settings
        self._tls = tls
        self._target_number = target_number
        self._timer = timer
        self._metrics = metrics
        self._state_log = state_log
        self._random = random
        self._codec = make_codec(settings.connection_id_keys)
        self._balancers: tuple[Address, ...] = ()
        self._bundle: Bundle | None = None
        self._known = trio.Event()
        self._core: AgentCore | None = None

    @property
    def target_number(self) -> int | None:
        """Return the number of the agent's target."""
        return self._target_number

    @property
    def flows_open(self) -> int:
        """Return how many flows this agent owns."""
        return 0 if self._core is None else self._core.flows_open

    @property
    def requests_running(self) -> int:
        """Return how many requests are in progress here."""
        return 0 if self._core is None else self._core.requests_running

    async def run(self) -> None:
        """Wait for the own target in the configuration, then serve until cancelled."""
        await self._known.wait()
        bundle = self._bundle
        target = None if bundle is None else find_target(bundle, self._target_number)
        if bundle is None or target is None:
            return
        async with trio.open_nursery() as nursery:
            self._core = AgentCore(
                settings=self._settings,
                tls=self._tls,
                bundle=bundle,
                target=target,
                timer=self._timer,
                random=self._random,
                codec=self._codec,
                balancers=lambda: self._balancers,
                nursery=nursery,
            )
            await self._core.run()

    def apply_bundle(self, bundle: Bundle) -> None:
        """Work by this configuration from now on."""
        if self._core is not None:
            self._core.apply_bundle(bundle)
        elif find_target(bundle, self._target_number) is not None:
            self._bundle = bundle
            self._known.set()

    def update_view(self, view: MembershipView) -> None:
        """Send replies through, and offer requests to, those that answer."""
        self._balancers = tuple(member.tunnel for member in view.balancers)

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Issue connection IDs under other keys from now on."""
        self._codec = codec
        if self._core is not None:
            self._core.replace_codec(codec)

    def start_draining(self) -> None:
        """Start no new work from now on."""
        if self._core is not None:
            self._core.start_draining()

    def status(self) -> Mapping[str, JSON]:
        """Return what the status page says of this role."""
        return {} if self._core is None else self._core.status()


def find_target(bundle: Bundle, number: int) -> Target | None:
    """Return a target by its number, or None if the bundle has none such."""
    for service in bundle.services.values():
        for target in service.targets:
            if target.number == number:
                return target
    return None
