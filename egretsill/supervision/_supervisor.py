"""Boundaries of failure within one process.

A piece of work, such as one datagram or one connection, is enclosed in `contain`; an unexpected
exception ends that piece only. A task that has to run as long as the process is given to `run`,
which starts it again after a failure. Each failure is reported. Exceptions that a part expects keep
their own handling within the piece of work.
"""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable, Collection, Iterator
from typing import TypeAlias

import trio

from ._failure import leaves
from ._parts import Part
from ._work_record import WorkRecord

FIRST_RESTART_SECONDS = 0.1  # pause before a failed task is started again
LONGEST_RESTART_SECONDS = 5.0
RESTART_GROWTH = 2.0  # factor from one pause to the next
STABLE_SECONDS = 30.0  # a task that ran for longer is restarted after the first pause again

FailureReport: TypeAlias = Callable[[Part, BaseException], None]
SupervisorFactory: TypeAlias = "Callable[[FailureReport], Supervisor]"
Task: TypeAlias = Callable[[], Awaitable[None]]
StartingTask: TypeAlias = Callable[["trio.TaskStatus[object]"], Awaitable[None]]


class TaskEnded(Exception):
    """A task that has to run as long as the process has returned."""


class Supervisor:
    """Contains unexpected exceptions and runs tasks again that failed.

    Exceptions that aren't subclasses of `Exception`, such as `trio.Cancelled`, pass through.

    Args:
        report: called with each unexpected exception; the members of groups are reported singly.
    """

    def __init__(self, report: FailureReport) -> None:
        self._report = report
        self._stopped: dict[Part, int] = {}
        self._records: list[tuple[Part, WorkRecord]] = []
        self._failure_count = 0
        self._unreported = 0

    @property
    def stopped(self) -> Collection[Part]:
        """Return the parts that don't work.

        These are the parts with a task that has failed and isn't running again yet, and those whose
        work has only failed for a while.
        """
        failing = (part for part, record in self._records if record.is_failing)
        return tuple(dict.fromkeys((*self._stopped, *failing)))

    @property
    def failure_count(self) -> int:
        """Return the number of unexpected exceptions so far."""
        return self._failure_count

    @property
    def unreported(self) -> int:
        """Return the number of failures for which the report itself failed."""
        return self._unreported

    def record_work(self, part: Part, now: Callable[[], float]) -> WorkRecord:
        """Return a new record of whether a part's work succeeds.

        Args:
            part: the part, which counts as stopped while the record says that it is failing.
            now: returns the local time in seconds.
        """
        record = WorkRecord(now)
        self._records.append((part, record))
        return record

    def note_failure(self, part: Part, error: BaseException) -> None:
        """Report an unexpected exception that was caught by the caller."""
        self._failure_count += 1
        try:
            members = tuple(leaves(error))
        except Exception:  # The group is nested too deeply, or there is no memory.
            members = (error,)
        for each in members:
            try:
                self._report(part, each)
            except Exception:  # There is no one left to tell, and the work has to go on.
                self._unreported += 1

    @contextlib.contextmanager
    def contain(self, part: Part) -> Iterator[None]:
        """Report and suppress an unexpected exception of the enclosed piece of work."""
        try:
            yield
        except Exception as error:
            self.note_failure(part, error)
        except BaseExceptionGroup as group:
            self._note_failures_of(part, group)

    async def run(
        self,
        part: Part,
        task: Task,
        is_fatal: Callable[[Exception], bool] = lambda _: False,
        *,
        may_end: bool = False,
    ) -> None:
        """Run a task; run it again, after a pause, each time that it fails.

        Args:
            part: the part that it belongs to.
            task: can be run again after it has failed.
            is_fatal: returns whether an exception is to be raised instead.
            may_end: whether the task may return, which ends this call. Otherwise that is a failure,
                reported as `TaskEnded`.
        """
        pause_seconds = FIRST_RESTART_SECONDS
        while True:
            started_at = trio.current_time()
            try:
                await task()
                if may_end:
                    return
                raise TaskEnded
            except Exception as error:
                if is_fatal(error):
                    raise
                self.note_failure(part, error)
            except BaseExceptionGroup as group:
                self._note_failures_of(part, group)
            if trio.current_time() - started_at > STABLE_SECONDS:
                pause_seconds = FIRST_RESTART_SECONDS
            with self._mark_stopped(part):
                await trio.sleep(pause_seconds)
            pause_seconds = min(pause_seconds * RESTART_GROWTH, LONGEST_RESTART_SECONDS)

    async def start(
        self,
        part: Part,
        task: StartingTask,
        must_start: bool = False,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run a task as `run` does; for `trio.Nursery.start`.

        Args:
            part: the part that it belongs to.
            task: takes a task status, to which it reports that it has started.
            must_start: whether a failure before the task has started for the first time is raised.
                Otherwise the start is reported then, and the task is run again.
            task_status: is told once that the task has started.
        """
        first_start = _FirstStart(task_status)

        async def run_once() -> None:
            try:
                await task(first_start)
            finally:
                if not must_start:
                    first_start.started()

        await self.run(part, run_once, lambda _: must_start and not first_start.is_reported)

    def _note_failures_of(self, part: Part, group: BaseExceptionGroup[BaseException]) -> None:
        """Report the failures of a group and raise the rest, which is a cancellation usually."""
        failures, rest = group.split(Exception)
        if failures is not None:
            self.note_failure(part, failures)
        if rest is not None:
            raise rest

    @contextlib.contextmanager
    def _mark_stopped(self, part: Part) -> Iterator[None]:
        self._stopped[part] = self._stopped.get(part, 0) + 1
        try:
            yield
        finally:
            self._stopped[part] -= 1
            if not self._stopped[part]:
                del self._stopped[part]


class _FirstStart(trio.TaskStatus[object]):
    """Passes on only the first report of a start."""

    def __init__(self, task_status: trio.TaskStatus[None]) -> None:
        self._task_status = task_status
        self._is_reported = False

    @property
    def is_reported(self) -> bool:
        """Return whether a start was reported."""
        return self._is_reported

    def started(self, value: object = None) -> None:
        """Report that the task has started."""
        if not self._is_reported:
            self._is_reported = True
            self._task_status.started()
