"""Age of one process's content, whoever else lives and whatever its own turn.

Processes that it hears confirm content for some time, in drawn orders, and then are lost. The store
answers every call and changes all the while.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from random import Random

import pytest
import trio
import trio.testing

from ...directory import (
    READERS,
    Changes,
    Directory,
    Evacuation,
    ReadPlan,
    RouteTable,
    Snapshot,
    StoreRevision,
    Target,
    TargetPhase,
)
from ...directory._reading import STALE_SECONDS
from ...directory.tests.revisions import rev
from ...observation import Journal, Metrics
from ...supervision import PropagatingSupervisor
from ...timing import TimerService
from .._store_reading import StoreReading

DRAWS = 1_200
APPLY_SECONDS = 3.0  # within which a confirmed change must be in force
PLAYED_SECONDS = 16.0
CHANGE_SECONDS = 0.33
CHECK_SECONDS = 0.1
HEARD_SECONDS = 0.25
TARGET = Target("own", 1, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, 1, rev(1))


class MockedTimer(TimerService):
    """Timer service that uses the clock of the trio run."""

    @property
    def epoch_milliseconds(self) -> int:
        return 0

    def _read_clock(self) -> float:
        return trio.current_time()


class ChangingStore:
    """A store whose configuration changes at an interval, and whose target drains once.

    The target's failure domain is evacuated in the same moment.

    Args:
        timer: the time.
        draw: source of the time that a read takes.
        drained_at: when the target drains.
    """

    def __init__(self, timer: TimerService, draw: Random, drained_at: float) -> None:
        self._timer = timer
        self._draw = draw
        self._started_at = timer.now
        self._drained_at = drained_at
        self.reads = 0

    def content(self) -> tuple[StoreRevision, RouteTable, Target, Sequence[Evacuation]]:
        seconds = self._timer.now - self._started_at
        number = 1 + int(seconds / CHANGE_SECONDS)
        phase = TargetPhase.READY if seconds < self._drained_at else TargetPhase.DRAINING
        at = rev(2 * number + (phase is TargetPhase.DRAINING))
        is_drained = phase is TargetPhase.DRAINING
        evacuations = (Evacuation(TARGET.failure_domain, at),) if is_drained else ()
        target = replace(TARGET, phase=phase, revision=at)
        return at, RouteTable(number, {}, 15.0), target, evacuations

    async def read(self, timeout_seconds: float) -> Snapshot:
        self.reads += 1
        at, table, target, evacuations = self.content()
        await trio.sleep(self._draw.choice([0.004, 0.004, 0.2]))
        return Snapshot(at, table, (target,), evacuations=evacuations)

    async def watch(
        self, after: StoreRevision, wait_seconds: float, timeout_seconds: float
    ) -> Changes:
        with trio.move_on_after(wait_seconds):
            while self.content()[0] <= after:
                await trio.sleep(CHECK_SECONDS)
        at, table, target, evacuations = self.content()
        return Changes(max(at, after), table, (target,), evacuations=evacuations)

    async def close(self) -> None:
        """Nothing is open."""


class Process:
    """A process that reads the store by its plan, and hears others until they are lost."""

    def __init__(self, draw: Random) -> None:
        self._draw = draw
        self._timer = MockedTimer()
        self._host = draw.randrange(1, 2**32)
        self._lost_at = draw.uniform(0.0, 8.0)
        self.store = ChangingStore(self._timer, draw, draw.uniform(1.0, 12.0))
        self.directory = Directory()
        self._history: deque[tuple[float, int, TargetPhase]] = deque()
        others = [draw.randrange(1, 2**32) for _ in range(READERS)]
        # Lost processes count as readers for as long as nobody reports them.
        self._readers = draw.choice([others, [self._host, others[0]], [others[0], self._host], []])
        self._reader_until = draw.choice([self._lost_at, PLAYED_SECONDS])
        self._reading = StoreReading(
            self.store,
            ReadPlan(self._host, draw.random() < 0.5),
            self.directory,
            self._current_readers,
            self._timer,
            Metrics(),
            Journal("reader", lambda: 0.0, lambda: 0.0),
            PropagatingSupervisor(),
            lambda _: None,
            lambda: None,
        )

    async def play(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._reading.run)
            nursery.start_soon(self._hear)
            for _ in range(int(PLAYED_SECONDS / CHECK_SECONDS)):
                self._check()
                await trio.sleep(CHECK_SECONDS)
            nursery.cancel_scope.cancel()

    def _current_readers(self) -> Sequence[int]:
        return self._readers if trio.current_time() < self._reader_until else self._readers[:1]

    async def _hear(self) -> None:
        """Receive the content of processes that read the store a moment ago, and its age."""
        while trio.current_time() < self._lost_at:
            at, table, target, evacuations = self.store.content()
            age = self._draw.uniform(0.0, 1.0)
            await trio.sleep(age)
            directory, now = self.directory, self._timer.now
            if directory.lacks(at, table.version):
                directory.apply_peer_content(at, table, (target,), age, now, evacuations)
            directory.confirm(at, age, now)
            await trio.sleep(self._draw.uniform(0.0, HEARD_SECONDS))

    def _check(self) -> None:
        now = trio.current_time()
        _, table, target, _ = self.store.content()
        self._history.append((now, table.version, target.phase))
        while len(self._history) > 1 and self._history[1][0] <= now - APPLY_SECONDS:
            self._history.popleft()
        at, version, phase = self._history[0]
        if at > now - APPLY_SECONDS or not self.directory.has_content:
            return
        assert self.directory.version >= version, f"{now}: a configuration is late"
        if phase is TargetPhase.DRAINING:
            views = self.directory.targets_of("lookup")
            assert not any(each.takes_new_flows(now) for each in views), f"{now}: a drain is late"
            is_evacuated = self.directory.is_evacuated(TARGET.failure_domain)
            assert is_evacuated, f"{now}: an evacuation is late"


def play(seed: int) -> Process:
    draw = Random(seed)
    process: list[Process] = []

    async def main() -> None:
        process.append(Process(draw))
        await process[0].play()

    clock = trio.testing.MockClock(autojump_threshold=0.0)
    trio.run(main, clock=clock)
    return process[0]


# Guards against configurations and drains that a process learns of late since others were lost.
@pytest.mark.parametrize("part", range(4))
def test_content_is_in_force_in_time_whoever_is_lost(part: int) -> None:
    for seed in range(part, DRAWS, 4):
        try:
            play(seed)
        except* AssertionError as error:
            raise AssertionError(f"seed {seed}: {error.exceptions}") from error


# Guards against a bound that is kept by reading all the time.
def test_process_that_hears_nobody_reads_at_its_interval() -> None:
    reads = [play(seed).store.reads for seed in range(40)]
    assert 5 < max(reads) <= PLAYED_SECONDS / STALE_SECONDS + 1
