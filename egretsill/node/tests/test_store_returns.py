"""Property test of directories while the store comes back from copies."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...directory import Target, TargetPhase
from ...timing import VirtualTimerService
from .returning_store import NAMES, STEP_SECONDS, Process, ReturningStore

PROCESSES = 3
SETTLED_SECONDS = 11.0
AWAITED_SECONDS = 3.0  # then missing entries are no longer awaited
Step = tuple[str, int, int]

KINDS = (
    ("start", "drain", "leave", "publish", "save", "come_back", "write_again", "restart")
    + ("read", "push") * 2
    + ("watch", "compare") * 4
)
STEPS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 2), st.integers(0, 2)),
    min_size=20,
    max_size=60,
)


class Fleet:
    """A returning store and a few processes."""

    def __init__(self) -> None:
        self.timer = VirtualTimerService()
        self.store = ReturningStore()
        self.processes = [Process(self.store, self.timer) for _ in range(PROCESSES)]
        for process in self.processes:
            process.read()

    def do(self, step: Step) -> None:
        kind, first, second = step
        store, process = self.store, self.processes[first]
        calls: dict[str, Callable[[], None]] = {
            "start": lambda: store.start(NAMES[first]),
            "drain": lambda: store.drain(NAMES[first]),
            "leave": lambda: store.leave(NAMES[first]),
            "publish": store.publish,
            "save": store.save,
            "come_back": lambda: store.come_back(second),
            "write_again": store.write_again,
            "read": process.read,
            "watch": process.watch,
            "push": lambda: process.push(self.processes[second]),
            "compare": lambda: process.compare(self.processes[second]),
            "restart": lambda: self._restart(first),
        }
        calls[kind]()
        self.timer.advance(STEP_SECONDS)

    def write_again(self) -> None:
        """Write everything again; one process follows the store, the others their peers."""
        self.store.write_again()
        self.processes[0].watch()
        for _ in range(2):
            for process in self.processes[1:]:
                process.compare(self.processes[0])

    def settle(self) -> None:
        """Wait until the store alone decides, and missing entries aren't awaited any more."""
        self.timer.advance(SETTLED_SECONDS)
        self.processes[0].read()
        for process in self.processes[1:]:
            process.compare(self.processes[0])
        self.timer.advance(AWAITED_SECONDS)
        for process in self.processes:
            process.directory.tick(self.timer.now)

    def _restart(self, number: int) -> None:
        self.processes[number] = Process(self.store, self.timer)


def entries(targets: dict[str, Target]) -> dict[str, tuple[TargetPhase, int, int]]:
    return {name: (each.phase, *each.write_number) for name, each in targets.items()}


# Guards against processes that stay with other content than the store's after a return.
@settings(max_examples=300, derandomize=True)
@given(STEPS)
def test_all_processes_end_with_the_content_of_the_store(steps: list[Step]) -> None:
    fleet = Fleet()
    for step in steps:
        fleet.do(step)
    fleet.write_again()
    written = entries(fleet.store.written)
    for process in fleet.processes:
        assert process.directory.version == fleet.store.version
        assert process.directory.table == fleet.store.read().table
        in_force = entries(process.in_force)
        assert {name: in_force.get(name) for name in written} == written
    fleet.settle()
    for process in fleet.processes:
        assert entries(process.in_force) == written
        assert process.malformed == []


# Guards against a version, or a later write of a target, that a copy of the store takes back,
# and against targets that were known to have left.
@settings(max_examples=300, derandomize=True)
@given(STEPS)
def test_nothing_in_force_goes_back(steps: list[Step]) -> None:
    fleet = Fleet()
    latest: dict[tuple[Process, str], tuple[int, int]] = {}
    left: dict[tuple[Process, str], tuple[int, int]] = {}
    for step in steps:
        before = [
            (each, each.directory.version, each.directory.content_revision, each.in_force)
            for each in fleet.processes
        ]
        fleet.do(step)
        for process, version, revision, in_force in before:
            assert process.directory.version >= version
            assert process.directory.content_revision >= revision
            for name, target in process.in_force.items():
                known = latest.setdefault((process, name), target.write_number)
                assert target.write_number >= known
                assert target.write_number > left.get((process, name), (0, 0))
                latest[process, name] = target.write_number
            for name in in_force.keys() - process.in_force.keys() - fleet.store.written.keys():
                left[process, name] = in_force[name].write_number


# Guards against a target that was known to have left and returns with a copy of the store.
@pytest.mark.parametrize("phase", ["ready", "draining"])
def test_target_that_left_stays_gone_when_a_copy_has_it(phase: str) -> None:
    fleet = Fleet()
    process = fleet.processes[0]
    if phase == "draining":
        fleet.store.drain("a")
    fleet.store.save()
    fleet.do(("read", 0, 0))
    fleet.store.leave("a")
    fleet.do(("watch", 0, 0))
    assert "a" not in process.in_force
    fleet.store.come_back(0)
    fleet.do(("watch", 0, 0))
    assert "a" not in process.in_force
    assert process.directory.outdated_entries == 1
