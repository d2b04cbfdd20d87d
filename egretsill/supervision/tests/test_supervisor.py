"""Boundaries of failure, with virtual time."""

from __future__ import annotations

import itertools
import sys
from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from .. import Part, Supervisor
from .._supervisor import FIRST_RESTART_SECONDS, LONGEST_RESTART_SECONDS, STABLE_SECONDS
from .supervisors import RecordingSupervisor


def make_value_error() -> BaseException:
    return ValueError("bad value")


def make_group() -> BaseException:
    return ExceptionGroup("tasks", [ValueError("one"), ExceptionGroup("more", [KeyError("two")])])


def run(main: Callable[[], Awaitable[None]]) -> None:
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    ("make_error", "names"),
    [
        pytest.param(make_value_error, [("timers", "ValueError")], id="single"),
        pytest.param(make_group, [("timers", "ValueError"), ("timers", "KeyError")], id="group"),
    ],
)
def test_failure_ends_only_the_contained_work(
    make_error: Callable[[], BaseException], names: list[tuple[str, str]]
) -> None:
    supervisor = RecordingSupervisor()
    with supervisor.contain(Part.TIMERS):
        raise make_error()
    assert supervisor.names == names


@pytest.mark.parametrize("error", [KeyboardInterrupt, SystemExit, GeneratorExit])
def test_other_exceptions_pass_through(error: type[BaseException]) -> None:
    supervisor = RecordingSupervisor()
    with pytest.raises(error), supervisor.contain(Part.TIMERS):
        raise error
    assert supervisor.failures == []


# Guards against a cancellation that is swallowed together with a failure of another task.
def test_cancellation_passes_beside_a_failure() -> None:
    supervisor = RecordingSupervisor()

    async def fail_when_cancelled() -> None:
        try:
            await trio.sleep_forever()
        finally:
            raise ValueError("while ending")

    async def main() -> None:
        with trio.move_on_after(1) as scope:
            with supervisor.contain(Part.SERVING):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fail_when_cancelled)
                    nursery.start_soon(trio.sleep_forever)
            await trio.sleep_forever()
        assert scope.cancelled_caught

    run(main)
    assert supervisor.names == [("serving", "ValueError")]


def test_failing_report_is_counted_and_contained() -> None:
    def fail(part: Part, error: BaseException) -> None:
        raise RuntimeError("no log")

    supervisor = Supervisor(fail)
    with supervisor.contain(Part.LOG):
        raise make_group()
    assert supervisor.unreported == 2


# Guards against a failure that leaves the containment since its group can't be taken apart.
def test_group_that_is_nested_too_deeply_is_reported_as_one() -> None:
    error: Exception = ValueError()
    for _ in range(2 * sys.getrecursionlimit()):
        error = ExceptionGroup("nested", [error])
    supervisor = RecordingSupervisor()
    supervisor.note_failure(Part.LOG, error)
    assert supervisor.names == [("log", "ExceptionGroup")]


def test_failed_task_runs_again_after_growing_pauses() -> None:
    supervisor = RecordingSupervisor()
    starts: list[float] = []
    stopped: list[tuple[Part, ...]] = []

    async def task() -> None:
        starts.append(trio.current_time())
        stopped.append(tuple(supervisor.stopped))
        if len(starts) < 12:
            raise ValueError

    async def main() -> None:
        await supervisor.run(Part.SERVING, task, may_end=True)

    run(main)
    pauses = [round(later - before, 6) for before, later in itertools.pairwise(starts)]
    assert pauses[:3] == [FIRST_RESTART_SECONDS, 2 * FIRST_RESTART_SECONDS, 0.4]
    assert pauses[-1] == pauses[-2] == LONGEST_RESTART_SECONDS
    assert len(supervisor.failures) == 11
    assert set(stopped) == {()}, "a part that runs doesn't count as stopped"


def test_pause_is_short_again_after_a_stable_run() -> None:
    supervisor = RecordingSupervisor()
    starts: list[float] = []

    async def task() -> None:
        starts.append(trio.current_time())
        if len(starts) == 6:
            await trio.sleep(STABLE_SECONDS + 1)
        if len(starts) < 8:
            raise ValueError

    async def main() -> None:
        await supervisor.run(Part.SERVING, task, may_end=True)

    run(main)
    assert starts[6] - starts[5] == pytest.approx(STABLE_SECONDS + 1 + FIRST_RESTART_SECONDS)


def test_part_counts_as_stopped_until_it_runs_again() -> None:
    supervisor = RecordingSupervisor()
    fails = True

    async def task() -> None:
        if fails:
            raise ValueError
        await trio.sleep_forever()

    async def main() -> None:
        nonlocal fails
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervisor.run, Part.PACKETS, task)
            nursery.start_soon(supervisor.run, Part.PACKETS, task)
            await trio.testing.wait_all_tasks_blocked()
            assert set(supervisor.stopped) == {Part.PACKETS}
            fails = False
            await trio.sleep(FIRST_RESTART_SECONDS * 2)
            assert set(supervisor.stopped) == set()
            nursery.cancel_scope.cancel()

    run(main)


@pytest.mark.parametrize("failures", [0, 1, 3])
def test_start_returns_once_the_task_has_started_or_failed(failures: int) -> None:
    supervisor = RecordingSupervisor()
    reports = 0

    async def task(task_status: trio.TaskStatus[object]) -> None:
        nonlocal reports
        if len(supervisor.failures) < failures:
            raise OSError("address in use")
        reports += 1
        task_status.started()
        await trio.sleep_forever()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(supervisor.start, Part.ADMIN, task)
            assert len(supervisor.failures) == min(failures, 1)
            await trio.sleep(LONGEST_RESTART_SECONDS)
            assert (reports, len(supervisor.failures)) == (1, failures)
            nursery.cancel_scope.cancel()

    run(main)


# Guards against a part that ends without a trace.
def test_task_that_returns_has_failed_and_runs_again() -> None:
    supervisor = RecordingSupervisor()
    starts: list[float] = []

    async def task() -> None:
        starts.append(trio.current_time())

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervisor.run, Part.PACKETS, task)
            await trio.testing.wait_all_tasks_blocked()
            assert set(supervisor.stopped) == {Part.PACKETS}
            await trio.sleep(FIRST_RESTART_SECONDS * 2)
            nursery.cancel_scope.cancel()

    run(main)
    assert starts[1] - starts[0] == pytest.approx(FIRST_RESTART_SECONDS)
    assert supervisor.names == [("packets", "TaskEnded")] * len(starts)


def test_fatal_failure_is_raised() -> None:
    supervisor = RecordingSupervisor()

    async def task() -> None:
        raise OSError("address in use")

    async def main() -> None:
        await supervisor.run(Part.ROLE, task, lambda error: isinstance(error, OSError))

    with pytest.raises(OSError, match="in use"):
        run(main)
    assert supervisor.failures == []


@pytest.mark.parametrize("has_started", [False, True])
def test_only_the_first_start_of_a_task_that_must_start_is_fatal(has_started: bool) -> None:
    supervisor = RecordingSupervisor()

    async def task(task_status: trio.TaskStatus[object]) -> None:
        if has_started:
            task_status.started()
        raise OSError("address in use")

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(supervisor.start, Part.RELAY, task, True)
            await trio.sleep(FIRST_RESTART_SECONDS / 2)
            assert set(supervisor.stopped) == {Part.RELAY}
            nursery.cancel_scope.cancel()

    if has_started:
        run(main)
        assert supervisor.names == [("relay", "OSError")]
    else:
        with pytest.raises(ExceptionGroup) as raised:
            run(main)
        assert raised.group_contains(OSError, match="in use")
        assert supervisor.failures == []
