"""Turns the signals to leave into what a daemon does about them."""

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
    ResumeNewWork,
    SendGoaway,
    StopNewWork,
    TellPeers,
)
from ..observation import StateKind
from ..settings import BackendSettings
from ..timing import TimerService, TrioTimerService
from ..wire import PageUnavailable, get_page

TICK_SECONDS = 0.25
HEALTH_TIMEOUT_SECONDS = 1.0
HEALTHY_STATUS = 200
FORCED_STOP = "forced-to-stop"


class DrainingRole(Protocol):
    """What draining asks of a daemon's role."""

    @property
    def requests_running(self) -> int:
        """Return how many requests are in progress."""

    @property
    def flows_open(self) -> int:
        """Return how many flows are open."""

    @property
    def packets(self) -> int:
        """Return how many packets arrived so far."""

    def stop_new_work(self) -> None:
        """Start no new work from now on."""

    def resume_new_work(self) -> None:
        """Start new work again."""

    def send_goaway(self) -> None:
        """Ask callers to open further requests on other flows."""

    def close_idle_flows(self) -> None:
        """Close flows that were asked so and have no request in progress."""


class DrainControl:
    """Watches for the signals to leave and carries out what follows.

    Args:
        quiet_seconds: how long nothing must arrive before the process leaves.
        longest_seconds: how long new work may be refused before the process leaves though
            requests are in progress; None for any time.
        tell_peers: announces that new work is refused, or taken again.
        leave: ends the process.
        record: writes a state-change line, here that the process leaves by force.
    """

    def __init__(
        self,
        role: DrainingRole,
        timer: TimerService,
        quiet_seconds: float,
        longest_seconds: float | None,
        tell_peers: Callable[[bool], None],
        leave: Callable[[], None],
        record: Callable[[StateKind, str, Mapping[str, str]], None],
    ) -> None:
        self._role = role
        self._timer = timer
        self._tell_peers = tell_peers
        self._leave = leave
        self._longest_seconds = longest_seconds
        self._record = record
        self._refusing_since: float | None = None
        self._has_left = False
        self._draining = Draining(quiet_seconds)
        self._packets = 0
        self._was_listed = False

    @property
    def draining(self) -> bool:
        """Return whether new work is refused."""
        return not self._draining.takes_new_work

    @property
    def signals(self) -> tuple[str, ...]:
        """Return the names of the signals that hold."""
        return tuple(sorted(each.value for each in self._draining.signals))

    def start(self) -> None:
        """Follow the work in progress from now on."""
        self._timer.subscribe(TICK_SECONDS, self._on_tick)

    def terminate(self) -> None:
        """Take in that the process was asked to stop."""
        self._signal(DrainSignal.TERMINATION, True)

    def on_vm(self, vm: Vm | None) -> None:
        """Take in what the VM list says of this VM, None if it is not on it."""
        if vm is not None:
            self._signal(DrainSignal.VM_LIST, vm.state is VmState.LEAVING)

    def on_leaving_notice(self) -> None:
        """Take in that another process read on the VM list that this VM is leaving."""
        self._signal(DrainSignal.VM_LIST, True)

    def on_bundle(self, bundle: Bundle, target_number: int) -> None:
        """Take in what the configuration says of the target with this number.

        A target that was never listed is one that the operators have yet to add; its process
        waits for that.
        """
        states = [
            target.state
            for service in bundle.services.values()
            for target in service.targets
            if target.number == target_number
        ]
        self._was_listed = self._was_listed or bool(states)
        leaves = self._was_listed and states != [TargetState.ACTIVE]
        self._signal(DrainSignal.CONFIGURATION, leaves)

    def on_health(self, state: BackendState) -> None:
        """Take in what the backend server is taken to be."""
        self._signal(DrainSignal.HEALTH_PAGE, state is BackendState.DRAINING)

    def _signal(self, signal: DrainSignal, holds: bool) -> None:
        self._carry_out(self._draining.signal(signal, holds, self._timer.now))

    def _on_tick(self, now: float) -> None:
        if self._role.packets != self._packets:
            self._packets = self._role.packets
            self._draining.packet(now)
        if self.draining:
            self._role.close_idle_flows()
        work = (self._role.requests_running, self._role.flows_open)
        self._carry_out(self._draining.work(*work, now))
        self._carry_out(self._draining.tick(now))
        if self._is_overdue(now):
            cut = dict(zip(("requests", "flows"), map(str, work), strict=True))
            self._record(StateKind.PROCESS, FORCED_STOP, cut)
            self._end()

    def _is_overdue(self, now: float) -> bool:
        if self._longest_seconds is None or self._refusing_since is None or self._has_left:
            return False
        return now - self._refusing_since > self._longest_seconds

    def _end(self) -> None:
        self._has_left = True
        self._leave()

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
                case TellPeers(draining):
                    self._tell_peers(draining)
                case Leave():
                    self._end()


class HealthPoller:
    """Reads a backend server's health page and judges it.

    Args:
        backend: returns its HTTP/1.1 endpoint, or None while it is not known.
        on_state: called after each reading.
    """

    def __init__(
        self,
        backend: Callable[[], Address | None],
        settings: BackendSettings,
        timer: TrioTimerService,
        on_state: Callable[[BackendState], None],
    ) -> None:
        self._backend = backend
        self._settings = settings
        self._timer = timer
        self._on_state = on_state
        self._health = BackendHealth()

    def note_request(self, answered: bool) -> None:
        """Take in whether a request was answered, which proves more than a page does."""
        now = self._timer.now
        self._on_state(self._health.answered(now) if answered else self._health.failed(now))

    async def run(self) -> None:
        """Read the page until cancelled."""
        while True:
            await self._timer.sleep(self._settings.health_seconds)
            backend = self._backend()
            if backend is not None:
                page = await read_health(backend, self._settings.health_path)
                self._on_state(self._health.page(page, self._timer.now))


async def read_health(backend: Address, path: str) -> HealthPage:
    """Return what a backend server's health page says."""
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
