from __future__ import annotations

from .._timer_service import ClockJump, VirtualTimerService


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
