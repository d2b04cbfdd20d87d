"""The timer service: the only part of the system that reads a clock."""

from ._timer_service import (
    CLOCK_JUMP_SECONDS,
    ClockJump,
    Subscription,
    TimerService,
    TrioTimerService,
    VirtualTimerService,
)

__all__ = [
    "ClockJump",
    "CLOCK_JUMP_SECONDS",
    "Subscription",
    "TimerService",
    "TrioTimerService",
    "VirtualTimerService",
]
