from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

import pytest

from ...configuration import Address, Bundle, Service, Target, TargetState, Vm, VmState
from ...draining import BackendState
from ...observation import StateKind
from ...timing import VirtualTimerService
from .._drain_control import DrainControl

NUMBER = 7
QUIET_SECONDS = 2.0
ENDPOINT = Address("127.0.0.1", 1)
TARGET = Target("a-1", NUMBER, "a", "zone", ENDPOINT, ENDPOINT, ENDPOINT, ENDPOINT, slots=1)
VM = Vm("agent-a-1", "agent", "zone")


@dataclass
class Role:
    requests_running: int = 0
    flows_open: int = 0
    packets: int = 0
    calls: list[str] = field(default_factory=list)

    def stop_new_work(self) -> None:
        self.calls.append("stop")

    def resume_new_work(self) -> None:
        self.calls.append("resume")

    def send_goaway(self) -> None:
        self.calls.append("goaway")

    def close_idle_flows(self) -> None:
        return


class DrainScenario:
    def __init__(self, maximum_drain_seconds: float | None = None) -> None:
        self.timer = VirtualTimerService(100.0)
        self.lines: list[tuple[StateKind, str, Mapping[str, str]]] = []
        self.role = Role()
        self.announced: list[bool] = []
        self.stopped_at: list[float] = []
        self.control = DrainControl(
            self.role,
            self.timer,
            QUIET_SECONDS,
            maximum_drain_seconds,
            self.announced.append,
            lambda: self.stopped_at.append(self.timer.now),
            lambda *line: self.lines.append(line),
        )
        self.control.start()


def _bundle(*targets: Target) -> Bundle:
    service = Service("a", 1, "tenant", "a.example", (), (), targets)
    return Bundle(1, "", {"a": service})


@pytest.mark.parametrize(
    "signal",
    [
        pytest.param(lambda control: control.terminate(), id="SIGTERM"),
        pytest.param(
            lambda control: control.on_vm(replace(VM, state=VmState.LEAVING)), id="VM list"
        ),
        pytest.param(
            lambda control: control.on_bundle(
                _bundle(replace(TARGET, state=TargetState.DRAINING)), NUMBER
            ),
            id="target draining in configuration",
        ),
        pytest.param(
            lambda control: [
                control.on_bundle(_bundle(TARGET), NUMBER),
                control.on_bundle(_bundle(), NUMBER),
            ],
            id="target no longer configured",
        ),
        pytest.param(lambda control: control.on_health(BackendState.DRAINING), id="health page"),
    ],
)
def test_drain_signal_refuses_new_work_and_waits_for_requests(
    signal: Callable[[DrainControl], object],
) -> None:
    scenario = DrainScenario()
    scenario.role.requests_running = 1
    scenario.role.flows_open = 1
    signal(scenario.control)
    assert scenario.role.calls == ["stop", "goaway"]
    assert scenario.announced[0]
    scenario.timer.advance(7200.0)
    assert scenario.stopped_at == []
    scenario.role.requests_running = 0
    scenario.role.flows_open = 0
    scenario.timer.advance(10 * QUIET_SECONDS)
    assert len(scenario.stopped_at) == 1


@pytest.mark.parametrize(
    "update",
    [
        pytest.param(lambda control: control.on_vm(VM), id="active VM"),
        pytest.param(
            lambda control: control.on_vm(None), id="missing from the VM list, which lags"
        ),
        pytest.param(lambda control: control.on_bundle(_bundle(TARGET), NUMBER), id="active"),
        pytest.param(
            lambda control: control.on_bundle(_bundle(), NUMBER), id="target not yet added"
        ),
        pytest.param(
            lambda control: control.on_health(BackendState.FAILED), id="failed backend server"
        ),
    ],
)
def test_other_updates_do_not_drain(update: Callable[[DrainControl], None]) -> None:
    scenario = DrainScenario()
    update(scenario.control)
    scenario.timer.advance(60.0)
    assert scenario.role.calls == []
    assert not scenario.control.draining


def test_target_set_back_to_active_resumes() -> None:
    scenario = DrainScenario()
    scenario.role.flows_open = 1
    scenario.control.on_bundle(_bundle(replace(TARGET, state=TargetState.DRAINING)), NUMBER)
    scenario.control.on_bundle(_bundle(TARGET), NUMBER)
    assert scenario.role.calls == ["stop", "goaway", "resume"]
    assert scenario.announced[-1] is False


def test_packets_delay_the_end_of_a_draining_process() -> None:
    scenario = DrainScenario()
    scenario.control.terminate()
    for _ in range(20):
        scenario.role.packets += 1
        scenario.timer.advance(QUIET_SECONDS / 2)
    assert scenario.stopped_at == []
    scenario.timer.advance(2 * QUIET_SECONDS)
    assert len(scenario.stopped_at) == 1


def test_process_is_forced_to_stop_after_maximum_drain_time() -> None:
    scenario = DrainScenario(maximum_drain_seconds=30.0)
    scenario.role.requests_running, scenario.role.flows_open = 2, 1
    scenario.timer.advance(60.0)
    scenario.control.terminate()
    scenario.timer.advance(30.0)
    assert (scenario.lines, scenario.stopped_at) == ([], [])
    scenario.timer.advance(30.0)
    interrupted = {"requests": "2", "flows": "1"}
    assert scenario.lines == [(StateKind.PROCESS, "forced-to-stop", interrupted)]
    assert len(scenario.stopped_at) == 1
    assert 190.0 < scenario.stopped_at[0] <= 191.0


def test_resuming_resets_the_maximum_drain_time() -> None:
    scenario = DrainScenario(maximum_drain_seconds=30.0)
    scenario.role.requests_running = scenario.role.flows_open = 1
    for _ in range(3):
        scenario.control.on_health(BackendState.DRAINING)
        scenario.timer.advance(20.0)
        scenario.control.on_health(BackendState.HEALTHY)
    scenario.timer.advance(60.0)
    assert (scenario.lines, scenario.stopped_at) == ([], [])


def test_process_without_work_is_not_forced_to_stop() -> None:
    scenario = DrainScenario(maximum_drain_seconds=30.0)
    scenario.control.terminate()
    scenario.timer.advance(120.0)
    assert scenario.lines == []
    assert len(scenario.stopped_at) == 1
