"""Handles drain signals: stops new work, waits for work in progress, and ends the process."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from ..configuration import Address, Bundle, TargetState, Vm, VmState
from ..draining import (
    BackendHealth,
    BackendState,
    DrainEffect,
    Draining,
    DrainSignal,
    HealthPage,
    Leave,
    NotifyPeers,
    ResumeNewWork,
    SendGoaway,
    StopNewWork,
)
from ..observation import StateKind
from ..settings import BackendSettings
from ..supervision import Part, Supervisor
from ..timing import TimerService, TrioTimerService
from ..wire import PageUnavailable, get_page

TICK_SECONDS = 0.25
HEALTH_TIMEOUT_SECONDS = 1.0
HEALTHY_STATUS = 200
FORCED_STOP = "forced-to-stop"


class DrainingRole(Protocol):
    """The operations of a daemon's role that draining uses."""

    @property
    def requests_running(self) -> int:
        """Return the number of requests in progress."""

    @property
    def flows_open(self) -> int:
        """Return the number of open flows."""

    @property
    def packets(self) -> int:
        """Return the number of packets received."""

    def stop_new_work(self) -> None:
        """Stop accepting new work."""

    def resume_new_work(self) -> None:
        """Accept new work again."""

    def send_goaway(self) -> None:
        """Send GOAWAY on every flow, so that callers open new requests on other flows."""

    def close_idle_flows(self) -> None:
        """Close flows that were sent a GOAWAY and have no request in progress."""


class DrainControl:
    """Receives drain signals and applies the resulting effects to a daemon.

    Args:
        linger_seconds: time without packets and work in progress before the process ends.
        maximum_drain_seconds: time of refusing new work after which the process ends even if
            requests are in progress; None for no limit.
        announce_draining: announces to peers that new work is refused, or accepted again.
        stop_process: stops the daemon.
        record: logs a state change, here that the process was forced to stop.
    """

    def __init__(
        self,
        role: DrainingRole,
        timer: TimerService,
        linger_seconds: float,
        maximum_drain_seconds: float | None,
        announce_draining: Callable[[bool], None],
        stop_process: Callable[[], None],
        record: Callable[[StateKind, str, Mapping[str, str]], None],
    ) -> None:
        self._role = role
        self._timer = timer
        self._announce_draining = announce_draining
        self._stop_process = stop_process
        self._maximum_drain_seconds = maximum_drain_seconds
        self._record = record
        self._refusing_since: float | None = None
        self._has_ended = False
        self._draining = Draining(linger_seconds)
        self._packets_seen = 0
        self._was_configured = False

    @property
    def draining(self) -> bool:
        """Return whether new work is refused."""
        return not self._draining.takes_new_work

    @property
    def signals(self) -> tuple[str, ...]:
        """Return the names of the active drain signals."""
        return tuple(sorted(each.value for each in self._draining.signals))

    def start(self) -> None:
        """Start to check the work in progress at regular intervals."""
        self._timer.subscribe(TICK_SECONDS, self._on_tick)

    def terminate(self) -> None:
        """Handle a request to stop the process."""
        self._update_signal(DrainSignal.TERMINATION, True)

    def on_vm(self, vm: Vm | None) -> None:
        """Handle the VM list's entry of this VM, None if there is none."""
        if vm is not None:
            self._update_signal(DrainSignal.VM_LIST, vm.state is VmState.LEAVING)

    def on_leaving_notice(self) -> None:
        """Handle a notice that another process read on the VM list that this VM is leaving."""
        self._update_signal(DrainSignal.VM_LIST, True)

    def on_bundle(self, bundle: Bundle, target_number: int) -> None:
        """Handle the state of this target in the configuration.

        A target that is missing and never was listed has yet to be added by the operators; its
        process waits and doesn't drain.
        """
        states = [
            target.state
            for service in bundle.services.values()
            for target in service.targets
            if target.number == target_number
        ]
        self._was_configured = self._was_configured or bool(states)
        must_drain = self._was_configured and states != [TargetState.ACTIVE]
        self._update_signal(DrainSignal.CONFIGURATION, must_drain)

    def on_health(self, state: BackendState) -> None:
        """Handle the assessed state of the backend server."""
        self._update_signal(DrainSignal.HEALTH_PAGE, state is BackendState.DRAINING)

    def _update_signal(self, signal: DrainSignal, is_active: bool) -> None:
        self._carry_out(self._draining.signal(signal, is_active, self._timer.now))

    def _on_tick(self, now: float) -> None:
        if self._role.packets != self._packets_seen:
            self._packets_seen = self._role.packets
            self._draining.packet(now)
        if self.draining:
            self._role.close_idle_flows()
        work = (self._role.requests_running, self._role.flows_open)
        self._carry_out(self._draining.work(*work, now))
        self._carry_out(self._draining.tick(now))
        if self._is_drain_overdue(now):
            interrupted = dict(zip(("requests", "flows"), map(str, work), strict=True))
            self._record(StateKind.PROCESS, FORCED_STOP, interrupted)
            self._end_process()

    def _is_drain_overdue(self, now: float) -> bool:
        if self._maximum_drain_seconds is None or self._refusing_since is None or self._has_ended:
            return False
        return now - self._refusing_since > self._maximum_drain_seconds

    def _end_process(self) -> None:
        self._has_ended = True
        self._stop_process()

    def _carry_out(self, effects: Sequence[DrainEffect]) -> None:
        for effect in effects:
            match effect:
                case StopNewWork():
                    self._refusing_since = self._timer.now
                    self._role.stop_new_work()
                case ResumeNewWork():
                    self._refusing_since = None
                    self._role.resume_new_work()
                case SendGoaway():
                    self._role.send_goaway()
                case NotifyPeers(draining):
                    self._announce_draining(draining)
                case Leave():
                    self._end_process()


class HealthPoller:
    """Derives a backend server's state from its health page and from request results.

    Args:
        backend: returns its HTTP/1.1 endpoint, or None while it is not known.
        on_state: called with the state after each read and each request.
        supervisor: contains unexpected exceptions of single reads.
    """

    def __init__(
        self,
        backend: Callable[[], Address | None],
        settings: BackendSettings,
        timer: TrioTimerService,
        on_state: Callable[[BackendState], None],
        supervisor: Supervisor,
    ) -> None:
        self._backend = backend
        self._settings = settings
        self._timer = timer
        self._on_state = on_state
        self._supervisor = supervisor
        self._health = BackendHealth()

    def note_request(self, answered: bool) -> None:
        """Update the state by whether a request was answered: better evidence than the page."""
        now = self._timer.now
        self._on_state(self._health.answered(now) if answered else self._health.failed(now))

    async def run(self) -> None:
        """Read the health page at regular intervals until cancelled."""
        while True:
            await self._timer.sleep(self._settings.health_seconds)
            with self._supervisor.contain(Part.BACKEND_HEALTH):
                await self._read_page()

    async def _read_page(self) -> None:
        backend = self._backend()
        if backend is not None:
            page = await read_health(backend, self._settings.health_path)
            self._on_state(self._health.page(page, self._timer.now))


async def read_health(backend: Address, path: str) -> HealthPage:
    """Read a backend server's health page."""
    try:
        page = await get_page(backend.host, backend.port, path, HEALTH_TIMEOUT_SECONDS)
    except PageUnavailable:
        return HealthPage.UNREADABLE
    try:
        content = json.loads(page.body)
    except ValueError:
        content = None
    if isinstance(content, dict) and content.get("status") == "draining":
        return HealthPage.DRAINING
    return HealthPage.HEALTHY if page.status == HEALTHY_STATUS else HealthPage.UNHEALTHY
