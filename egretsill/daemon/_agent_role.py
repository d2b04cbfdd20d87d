"""The agent role of a daemon, also before the configuration lists its target."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import trio

from ..configuration import Address, Bundle, Target
from ..membership import MembershipView
from ..observation import JSON, Metrics
from ..placement import LoadReport
from ..requests import RelayMessage
from ..settings import DaemonSettings, TlsSettings
from ..steering import ConnectionIdCodec
from ..supervision import Supervisor
from ..timing import TrioTimerService
from ..wire import StreamDecoder
from ._agent_core import AgentCore
from ._exceptions import AddressUnavailable


class AgentRole:
    """Serves flows and one backend server once the configuration lists the agent's target."""

    def __init__(
        self,
        settings: DaemonSettings,
        tls: TlsSettings,
        target_number: int,
        timer: TrioTimerService,
        metrics: Metrics,
        send_report: Callable[[Address, LoadReport], object],
        is_view_fresh: Callable[[], bool],
        on_backend_result: Callable[[bool], None],
        random: Random,
        supervisor: Supervisor,
    ) -> None:
        self._settings = settings
        self._tls = tls
        self._target_number = target_number
        self._timer = timer
        self._metrics = metrics
        self._send_report = send_report
        self._is_view_fresh = is_view_fresh
        self._on_backend_result = on_backend_result
        self._random = random
        self._supervisor = supervisor
        self._codec = ConnectionIdCodec(settings.connection_id_keys)
        self._balancers: tuple[Address, ...] = ()
        self._view = MembershipView()
        self._core_started = trio.Event()
        self._bundle: Bundle | None = None
        self._target_known = trio.Event()
        self._core: AgentCore | None = None

    @property
    def core(self) -> AgentCore | None:
        """Return the parts that depend on the target, or None before the target is known."""
        return self._core

    @property
    def target_number(self) -> int | None:
        """Return the number of the agent's target."""
        return self._target_number

    @property
    def backend(self) -> Address | None:
        """Return the endpoint of the backend server, or None before the target is known."""
        return None if self._core is None else self._core.backend

    @property
    def packets(self) -> int:
        """Return the number of packets received from callers."""
        return 0 if self._core is None else self._core.packets

    @property
    def flows_open(self) -> int:
        """Return the number of open flows that this agent owns."""
        return 0 if self._core is None else self._core.flows_open

    @property
    def requests_running(self) -> int:
        """Return the number of requests in progress at this agent."""
        return 0 if self._core is None else self._core.requests_running

    async def run(self) -> None:
        """Wait until the configuration lists the target, then serve until cancelled.

        Raises:
            AddressUnavailable: if the tunnel endpoint can't be bound.
        """
        await self._target_known.wait()
        bundle = self._bundle
        target = None if bundle is None else find_target(bundle, self._target_number)
        if bundle is None or target is None:
            return
        try:
            async with trio.open_nursery() as nursery:
                self._core = self._make_core(bundle, target, nursery)
                self._core.update_view(self._view)
                self._core_started.set()
                await self._core.run()
        finally:
            self._core = None

    async def serve_relay(
        self, stream: trio.abc.Stream, first: RelayMessage, decoder: StreamDecoder[Any]
    ) -> None:
        """Serve a relay link of another agent to its end."""
        await self._core_started.wait()
        if self._core is not None:
            await self._core.requests.serve_relay(stream, first, decoder)

    def receive_report(self, report: LoadReport, sender: Address) -> None:
        """Process a load report of another agent."""
        if self._core is not None:
            self._core.receive_report(report, sender)

    def close(self) -> None:
        """Do nothing: an agent binds its tunnel when it runs."""

    def apply_bundle(self, bundle: Bundle) -> None:
        """Apply a new configuration revision."""
        if find_target(bundle, self._target_number) is not None:
            self._bundle = bundle
            self._target_known.set()
        if self._core is not None:
            self._core.apply_bundle(bundle)

    def update_view(self, view: MembershipView) -> None:
        """Apply a new membership view: balancers for replies and agents for requests."""
        self._view = view
        self._balancers = tuple(member.tunnel for member in view.balancers)
        if self._core is not None:
            self._core.update_view(view)

    def replace_codec(self, codec: ConnectionIdCodec) -> None:
        """Use new connection-ID keys for IDs that are issued from now on."""
        self._codec = codec
        if self._core is not None:
            self._core.replace_codec(codec)

    def replace_certificate(self, tls: TlsSettings) -> None:
        """Use a new certificate for flows that open from now on."""
        self._tls = tls
        if self._core is not None:
            self._core.replace_certificate(tls)

    def stop_new_work(self) -> None:
        """Stop accepting new work."""
        if self._core is not None:
            self._core.stop_new_work()

    def resume_new_work(self) -> None:
        """Accept new work again."""
        if self._core is not None:
            self._core.resume_new_work()

    def send_goaway(self) -> None:
        """Send GOAWAY on every flow, so that callers open new requests on other flows."""
        if self._core is not None:
            self._core.send_goaway()

    def close_idle_flows(self) -> None:
        """Close flows that were sent a GOAWAY and have no request in progress."""
        if self._core is not None:
            self._core.close_idle_flows()

    def update_gauges(self) -> None:
        """Update the metrics that are sampled periodically."""
        if self._core is not None:
            self._core.update_gauges()

    def status(self) -> Mapping[str, JSON]:
        """Return the entries of the status page for this role."""
        return {} if self._core is None else self._core.status()

    def _make_core(self, bundle: Bundle, target: Target, nursery: trio.Nursery) -> AgentCore:
        try:
            return AgentCore(
                settings=self._settings,
                tls=self._tls,
                bundle=bundle,
                target=target,
                timer=self._timer,
                metrics=self._metrics,
                random=self._random,
                codec=self._codec,
                balancers=lambda: self._balancers,
                send_report=self._send_report,
                is_view_fresh=self._is_view_fresh,
                on_backend_result=self._on_backend_result,
                nursery=nursery,
                supervisor=self._supervisor,
            )
        except OSError as error:
            tunnel = self._settings.tunnel
            raise AddressUnavailable.caused_by(error, "tunnel", tunnel) from error


def find_target(bundle: Bundle, number: int) -> Target | None:
    """Return the target with this number, or None if the bundle doesn't list it."""
    for service in bundle.services.values():
        for target in service.targets:
            if target.number == number:
                return target
    return None
