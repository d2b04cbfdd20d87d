"""The timer service: the only part of the system that reads a clock."""

from ._timer_service import (
    ClockJump,
    Subscription,
    TimerService,
    TrioTimerService,
    VirtualTimerService,
)

__all__ = ["ClockJump", "Subscription", "TimerService", "TrioTimerService", "VirtualTimerService"]
