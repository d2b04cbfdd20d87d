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


class World:
    def __init__(self, longest_seconds: float | None = None) -> None:
        self.timer = VirtualTimerService(100.0)
        self.lines: list[tuple[StateKind, str, Mapping[str, str]]] = []
        self.role = Role()
        self.told: list[bool] = []
        self.left_at: list[float] = []
        self.control = DrainControl(
            self.role,
            self.timer,
            QUIET_SECONDS,
            longest_seconds,
            self.told.append,
            lambda: self.left_at.append(self.timer.now),
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
            id="configuration says draining",
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
def test_any_signal_stops_new_work_at_once_and_cuts_none(
    signal: Callable[[DrainControl], object],
) -> None:
    world = World()
    world.role.requests_running = 1
    world.role.flows_open = 1
    signal(world.control)
    assert world.role.calls == ["stop", "goaway"]
    assert world.told[0]
    world.timer.advance(7200.0)
    assert world.left_at == []
    world.role.requests_running = 0
    world.role.flows_open = 0
    world.timer.advance(10 * QUIET_SECONDS)
    assert len(world.left_at) == 1


@pytest.mark.parametrize(
    "quiet",
    [
        pytest.param(lambda control: control.on_vm(VM), id="live VM"),
        pytest.param(lambda control: control.on_vm(None), id="not on the VM list, which lags"),
        pytest.param(lambda control: control.on_bundle(_bundle(TARGET), NUMBER), id="active"),
        pytest.param(lambda control: control.on_bundle(_bundle(), NUMBER), id="yet to be added"),
        pytest.param(lambda control: control.on_health(BackendState.FAILED), id="failed server"),
    ],
)
def test_nothing_else_is_a_signal(quiet: Callable[[DrainControl], None]) -> None:
    world = World()
    quiet(world.control)
    world.timer.advance(60.0)
    assert world.role.calls == []
    assert not world.control.draining


def test_a_target_set_back_to_active_serves_again() -> None:
    world = World()
    world.role.flows_open = 1
    world.control.on_bundle(_bundle(replace(TARGET, state=TargetState.DRAINING)), NUMBER)
    world.control.on_bundle(_bundle(TARGET), NUMBER)
    assert world.role.calls == ["stop", "goaway", "resume"]
    assert world.told[-1] is False


def test_packets_keep_a_process_that_would_leave() -> None:
    world = World()
    world.control.terminate()
    for _ in range(20):
        world.role.packets += 1
        world.timer.advance(QUIET_SECONDS / 2)
    assert world.left_at == []
    world.timer.advance(2 * QUIET_SECONDS)
    assert len(world.left_at) == 1


def test_a_process_leaves_by_force_once_after_the_longest_time_that_is_set() -> None:
    world = World(longest_seconds=30.0)
    world.role.requests_running, world.role.flows_open = 2, 1
    world.timer.advance(60.0)
    world.control.terminate()
    world.timer.advance(30.0)
    assert (world.lines, world.left_at) == ([], [])
    world.timer.advance(30.0)
    cut = {"requests": "2", "flows": "1"}
    assert world.lines == [(StateKind.PROCESS, "forced-to-stop", cut)]
    assert len(world.left_at) == 1
    assert 190.0 < world.left_at[0] <= 191.0


def test_the_longest_time_counts_from_the_last_time_that_new_work_was_refused() -> None:
    world = World(longest_seconds=30.0)
    world.role.requests_running = world.role.flows_open = 1
    for _ in range(3):
        world.control.on_health(BackendState.DRAINING)
        world.timer.advance(20.0)
        world.control.on_health(BackendState.HEALTHY)
    world.timer.advance(60.0)
    assert (world.lines, world.left_at) == ([], [])


def test_a_process_without_work_leaves_as_ever_and_not_by_force() -> None:
    world = World(longest_seconds=30.0)
    world.control.terminate()
    world.timer.advance(120.0)
    assert world.lines == []
    assert len(world.left_at) == 1
