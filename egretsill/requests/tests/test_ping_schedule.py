from __future__ import annotations

import pytest

from ...timing import VirtualTimerService
from .._gate_memory import MEMORY_SECONDS
from .._ping_schedule import (
    ACTIVE_PING_SECONDS,
    ANSWER_SECONDS,
    MAXIMUM_IDLE_PING_SECONDS,
    MINIMUM_IDLE_PING_SECONDS,
    PING_BYTES,
    PING_BYTES_PER_SECOND,
    PingSchedule,
    idle_ping_interval,
)


class Link:
    def __init__(
        self, idle_ping_seconds: float = MINIMUM_IDLE_PING_SECONDS, answering: bool = True
    ) -> None:
        self.timer = VirtualTimerService()
        self.pings: list[float] = []
        self.lost_at: float | None = None
        self.answering = answering
        self.schedule = PingSchedule(
            self.timer, self._send, self._on_timeout, lambda: idle_ping_seconds
        )
        self.schedule.start()

    def _send(self, next_seconds: float) -> None:
        self.pings.append(self.timer.now)
        if self.answering:
            self.timer.call_later(0.01, lambda _: self.schedule.heard())

    def _on_timeout(self) -> None:
        self.lost_at = self.timer.now
        self.schedule.close()


def test_link_in_use_is_pinged_often() -> None:
    link = Link()
    link.timer.advance(3 * ACTIVE_PING_SECONDS + 1.0)
    assert len(link.pings) == 4
    assert link.lost_at is None


def test_ping_interval_follows_link_use() -> None:
    link = Link()
    link.schedule.set_active(False)
    link.timer.advance(ACTIVE_PING_SECONDS + 2 * MINIMUM_IDLE_PING_SECONDS + 1.0)
    assert len(link.pings) == 4
    link.schedule.set_active(True)
    link.timer.advance(ACTIVE_PING_SECONDS)
    assert len(link.pings) == 5


def test_unanswered_ping_loses_link() -> None:
    link = Link()
    link.timer.advance(5.0)
    link.answering = False
    link.timer.advance(60.0)
    assert link.lost_at is not None
    assert link.lost_at <= 5.0 + ACTIVE_PING_SECONDS + ANSWER_SECONDS


def test_ping_now_is_rate_limited() -> None:
    link = Link()
    link.schedule.set_active(False)
    link.timer.advance(ACTIVE_PING_SECONDS + 5.0)
    before = len(link.pings)
    link.schedule.ping_now()
    link.timer.advance(0.5)
    link.schedule.ping_now()
    assert len(link.pings) == before + 1


def test_scheduling_pause_does_not_lose_link() -> None:
    link = Link(answering=False)
    link.timer.pause(30.0)
    link.timer.advance(0.0)
    assert link.lost_at is None
    link.schedule.heard()
    link.answering = True
    link.timer.advance(20.0)
    assert link.lost_at is None


@pytest.mark.parametrize("links", [1, 50, 200, 500, 2000])
def test_idle_pings_stay_within_traffic_bound(links: int) -> None:
    seconds = idle_ping_interval(links)
    assert MINIMUM_IDLE_PING_SECONDS <= seconds <= MAXIMUM_IDLE_PING_SECONDS
    bound = max(PING_BYTES_PER_SECOND, links * PING_BYTES / MAXIMUM_IDLE_PING_SECONDS)
    assert links * PING_BYTES / seconds <= bound


def test_gate_memory_outlasts_link_loss_detection() -> None:
    assert MAXIMUM_IDLE_PING_SECONDS + ANSWER_SECONDS < MEMORY_SECONDS
