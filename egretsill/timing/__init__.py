"""The timer service: the only part of the system that reads a clock."""

from ._timer_service import (
    JUMP_SECONDS,
    ClockJump,
    Subscription,
    TimerService,
    TrioTimerService,
    VirtualTimerService,
)

__all__ = [
    "ClockJump",
    "JUMP_SECONDS",
    "Subscription",
    "TimerService",
    "TrioTimerService",
    "VirtualTimerService",
]
