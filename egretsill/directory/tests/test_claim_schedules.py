"""Drawn schedules of a target's drain, crash and next start, as several processes learn of them.

Each run of the target reports to a store that removes an entry after three intervals of silence.
Another writer may put an entry for the VM beside it or over it. Processes read the store all the
while, start in between, or are cut off for some time.
"""

from __future__ import annotations

import enum
import itertools
from dataclasses import dataclass, replace
from random import Random

import pytest

from .. import Directory, RouteTable, Snapshot, Target, TargetPhase
from .revisions import rev

DRAWS = 3_000
STEP_SECONDS = 0.25
REPORT_SECONDS = 1.25  # 1.2 s in whole steps
EXPIRY_SECONDS = 3.75  # three report intervals
RECOVERY_SECONDS = 12.0
LEARNING_SECONDS = 1.0  # in which a process learns of a change
END_SECONDS = 34.0
DRAINED_AT = 5.0
OWN_START = 1_000_000
OWN_NAME = "own"
HOST = 1
TABLE = RouteTable(7, {}, 15.0)


class NextName(enum.Enum):
    """Under which ID a target starts again."""

    NEW = enum.auto()
    SAME = enum.auto()


@dataclass(frozen=True)
class OtherEntry:
    """An entry of another writer at the target's VM.

    Attributes:
        at: when it is written.
        removed_at: when it is removed again.
        name: its ID.
        start: its start time relative to that of the target.
    """

    at: float
    removed_at: float
    name: str
    start: int


@dataclass(frozen=True)
class Schedule:
    """What happens.

    Attributes:
        is_drained: whether the first run reports that it drains.
        crashed_at: when the first run ends without a word; never if it is past the end.
        down_seconds: how long the target is down.
        next_name: ID of its next start.
        next_start: start time of the next run relative to the first one.
        second_crash_at: when the next run crashes, after it has drained; never if past the end.
        other: an entry of another writer, if there is one.
        started_at: when the process that knows nothing of before starts.
        cut_off_at: when a third process loses the store.
        cut_seconds: for how long.
    """

    is_drained: bool
    crashed_at: float
    down_seconds: float
    next_name: NextName
    next_start: int
    second_crash_at: float
    other: OtherEntry | None
    started_at: float
    cut_off_at: float
    cut_seconds: float


def draw_schedule(random: Random) -> Schedule:
    def steps(shortest: float, longest: float) -> float:
        count = random.randint(int(shortest / STEP_SECONDS), int(longest / STEP_SECONDS))
        return count * STEP_SECONDS

    crashed_at = random.choice([steps(DRAINED_AT, 12.0), END_SECONDS])
    other = None
    if random.random() < 0.5:
        written_at = steps(1.0, 20.0)
        other = OtherEntry(
            written_at,
            written_at + steps(0.5, 15.0),
            random.choice([OWN_NAME, "other"]),
            random.choice([-5_000, 0, 5_000]),
        )
    return Schedule(
        random.random() < 0.8,
        crashed_at,
        steps(0.0, 6.0),
        random.choice(list(NextName)),
        random.choice([-9_000, 0, 9_000]),
        random.choice([crashed_at + steps(7.0, 10.0), END_SECONDS]),
        other,
        steps(1.0, 20.0),
        steps(0.0, 20.0),
        steps(0.0, 8.0),
    )


class Run:
    """One run of the target."""

    def __init__(self, name: str, start: int, at: float, drained_at: float) -> None:
        phase = TargetPhase.READY
        self.entry = Target(name, HOST, 80, "lookup", "a", phase, 4, 0.0, start, rev(1))
        self.started_at = at
        self._drained_at = drained_at

    def is_draining(self, now: float) -> bool:
        return now >= self._drained_at

    def report(self, now: float) -> Target:
        phase = TargetPhase.DRAINING if self.is_draining(now) else TargetPhase.READY
        return replace(self.entry, phase=phase)

    def is_report_due(self, now: float) -> bool:
        return now == self._drained_at or (now - self.started_at) % REPORT_SECONDS == 0.0


class Process:
    """A process that reads the store with each step, but not while it is cut off."""

    def __init__(self, started_at: float, cut_off_at: float, cut_seconds: float) -> None:
        self.directory = Directory()
        self.reading_since = started_at
        self.returned_at = 0.0
        self._cut_off_at, self._cut_until = cut_off_at, cut_off_at + cut_seconds

    def step(self, snapshot: Snapshot, now: float) -> None:
        if now < self.reading_since:
            return
        if self._cut_off_at <= now < self._cut_until:
            self.reading_since = self.returned_at = now + STEP_SECONDS
        else:
            self.directory.apply_snapshot(snapshot, now)
        self.directory.tick(now)

    def uses_target(self, now: float) -> bool:
        views = self.directory.targets_on(HOST)
        return any(each.takes_new_flows(now) for each in views)


class Play:
    """One schedule, played in steps."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        self._revisions = itertools.count(10)
        self._entries: dict[str, Target] = {}
        self._renewed_at: dict[str, float] = {}
        drained_at = DRAINED_AT if schedule.is_drained else END_SECONDS
        self._run: Run | None = Run(OWN_NAME, OWN_START, 0.0, drained_at)
        self._changed_at = 0.0
        self._shared_until = 0.0
        self._drain_read: Run | None = None
        self._witness = Process(0.0, END_SECONDS, 0.0)
        self._processes = (
            self._witness,
            Process(schedule.started_at, END_SECONDS, 0.0),
            Process(0.0, schedule.cut_off_at, schedule.cut_seconds),
        )

    def play(self) -> None:
        for number in range(int(END_SECONDS / STEP_SECONDS)):
            now = number * STEP_SECONDS
            self._move_target(now)
            self._move_other_writer(now)
            if self._run is not None and self._is_drain_told(self._run):
                self._drain_read = self._run
            snapshot = Snapshot(rev(next(self._revisions)), TABLE, tuple(self._entries.values()))
            for process in self._processes:
                process.step(snapshot, now)
                if now - process.reading_since >= LEARNING_SECONDS:
                    self._check(process, now)

    def _move_target(self, now: float) -> None:
        schedule = self._schedule
        if now in (schedule.crashed_at, schedule.second_crash_at):
            self._run = None
        if now == schedule.crashed_at + schedule.down_seconds:
            is_new = schedule.next_name is NextName.NEW
            name, start = "next" if is_new else OWN_NAME, OWN_START + schedule.next_start
            self._run = Run(name, start, now, schedule.second_crash_at - 2.0)
        if now == schedule.second_crash_at + schedule.down_seconds:
            self._run = Run("third", OWN_START + 2 * schedule.next_start, now, END_SECONDS)
        if self._run is not None and self._run.is_report_due(now):
            self._put(self._run.report(now), now)
        for name, renewed_at in tuple(self._renewed_at.items()):
            if now - renewed_at >= EXPIRY_SECONDS:
                self._remove(name, now)

    def _move_other_writer(self, now: float) -> None:
        other = self._schedule.other
        if other is None or not other.at <= now <= other.removed_at:
            return
        self._shared_until = now
        if now == other.at:
            start = OWN_START + other.start
            entry = Target(
                other.name, HOST, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, start, rev(1)
            )
            self._put(entry, now)
        elif other.name in self._renewed_at and other.name != OWN_NAME:
            if now == other.removed_at:
                self._remove(other.name, now)
            else:
                self._renewed_at[other.name] = now

    def _put(self, entry: Target, now: float) -> None:
        self._renewed_at[entry.name] = now
        known = self._entries.get(entry.name)
        if known is None or replace(known, revision=entry.revision) != entry:
            self._entries[entry.name] = replace(entry, revision=rev(next(self._revisions)))
            self._changed_at = now

    def _remove(self, name: str, now: float) -> None:
        del self._entries[name], self._renewed_at[name]
        self._changed_at = now

    def _check(self, process: Process, now: float) -> None:
        run = self._run
        if run is None or now - self._changed_at < LEARNING_SECONDS:
            return
        entry = self._entries.get(run.entry.name)
        is_own = entry is not None and replace(entry, revision=rev(1)) == run.report(now)
        if run.is_draining(now):
            # An entry that was written over tells nothing to a process that didn't read it before.
            has_read = process is self._witness and self._drain_read is run
            if is_own or (has_read and not self._is_next_start(entry)):
                assert not process.uses_target(now), f"{now}: a draining target is used"
            return
        alone_since = max(run.started_at, self._shared_until, process.returned_at)
        if is_own and now - alone_since >= RECOVERY_SECONDS:
            assert process.uses_target(now), f"{now}: a target that is ready isn't used"

    def _is_drain_told(self, run: Run) -> bool:
        entry = self._entries.get(run.entry.name)
        return entry is not None and entry.phase is TargetPhase.DRAINING

    def _is_next_start(self, entry: Target | None) -> bool:
        """Return whether an entry under the target's ID looks like that of its next start."""
        run = self._run
        assert run is not None
        started = run.entry.started_milliseconds
        return entry is not None and entry.started_milliseconds > started


# Guards against a next start that is never used, and a draining target that is, because of what a
# process saw before.
def test_processes_agree_on_drains_and_next_starts() -> None:
    random = Random(20261207)
    for number in range(DRAWS):
        schedule = draw_schedule(random)
        try:
            Play(schedule).play()
        except AssertionError as error:
            raise AssertionError(f"draw {number}: {schedule}") from error


CRASH = Schedule(
    is_drained=True,
    crashed_at=5.25,
    down_seconds=1.0,
    next_name=NextName.NEW,
    next_start=9_000,
    second_crash_at=END_SECONDS,
    other=None,
    started_at=8.0,
    cut_off_at=END_SECONDS,
    cut_seconds=0.0,
)


# Guards against a target that isn't used for a minute as it crashed while it drained.
@pytest.mark.parametrize(
    "schedule",
    [
        pytest.param(CRASH, id="next start reports before the old entry expires"),
        pytest.param(replace(CRASH, next_start=-9_000), id="clock set back"),
        pytest.param(replace(CRASH, next_start=0), id="same start time"),
        pytest.param(replace(CRASH, next_name=NextName.SAME, next_start=-9_000), id="same ID"),
        pytest.param(replace(CRASH, is_drained=False, next_start=-9_000), id="not drained"),
        pytest.param(replace(CRASH, second_crash_at=14.0), id="twice"),
    ],
)
def test_next_start_after_a_crash_is_used(schedule: Schedule) -> None:
    Play(schedule).play()
