from __future__ import annotations

import pytest
import trio

from .._timer_service import ClockJump, TrioTimerService, VirtualTimerService


def test_subscriber_is_called_every_interval() -> None:
    timer = VirtualTimerService()
    ticks: list[float] = []
    timer.subscribe(0.5, ticks.append)
    timer.advance(2.0)
    assert ticks == [0.5, 1.0, 1.5, 2.0]


def test_cancelled_subscriber_is_not_called() -> None:
    timer = VirtualTimerService()
    calls: list[float] = []
    timer.call_at(1.0, calls.append).cancel()
    timer.advance(2.0)
    assert calls == []


def test_jump_subscribers_are_called_before_timers() -> None:
    timer = VirtualTimerService()
    events: list[object] = []
    timer.subscribe_jumps(events.append)
    timer.call_at(1.0, events.append)
    timer.advance(0.5)
    timer.pause(5.0)
    timer.advance(0.0)
    assert events == [ClockJump(0.5, 5.5), 5.5]


def test_advancing_without_pause_is_no_jump() -> None:
    timer = VirtualTimerService()
    jumps: list[ClockJump] = []
    timer.subscribe_jumps(jumps.append)
    timer.advance(60.0)
    assert jumps == []


def fail(_: object) -> None:
    raise KeyError("unexpected")


# Guards against a failing subscriber that stops the others, its own repetition, or the clock.
def test_failing_subscriber_stops_neither_others_nor_itself() -> None:
    timer = VirtualTimerService()
    failures: list[Exception] = []
    calls: list[float] = []
    timer.contain_failures(failures.append)
    timer.subscribe(0.5, fail)
    timer.subscribe(0.5, calls.append)
    timer.call_at(0.75, fail)
    timer.call_at(0.75, calls.append)
    timer.advance(1.0)
    assert calls == [0.5, 0.75, 1.0]
    assert [type(each) for each in failures] == [KeyError] * 3


# Guards against a failing jump subscriber that makes every reading of the clock fail.
def test_failing_jump_subscriber_stops_neither_others_nor_the_reading() -> None:
    timer = VirtualTimerService()
    failures: list[Exception] = []
    jumps: list[ClockJump] = []
    timer.contain_failures(failures.append)
    timer.subscribe_jumps(fail)
    timer.subscribe_jumps(jumps.append)
    assert timer.now == 0.0
    timer.pause(5.0)
    assert timer.now == 5.0
    assert (jumps, len(failures)) == ([ClockJump(0.0, 5.0)], 1)


@pytest.mark.parametrize("is_jump", [False, True], ids=["timer", "jump"])
def test_failure_is_raised_if_it_is_not_contained(is_jump: bool) -> None:
    timer = VirtualTimerService()
    if is_jump:
        timer.subscribe_jumps(fail)
    else:
        timer.call_at(1.0, fail)
    assert timer.now == 0.0
    timer.pause(5.0)
    with pytest.raises(KeyError):
        timer.advance(0.0)


# Guards against a failure in a callback that ends the task of all timers.
def test_running_service_outlives_failing_callbacks() -> None:
    failures: list[Exception] = []

    async def main() -> None:
        timer = TrioTimerService()
        timer.contain_failures(failures.append)
        timer.subscribe(0.001, fail)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timer.run)
            with trio.fail_after(10):
                while len(failures) < 3:
                    await timer.sleep(0.002)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert {type(each) for each in failures} == {KeyError}
