"""Draining of a process: when it stops taking new work and when it may leave."""

from ._backend_health import BackendHealth, BackendState, HealthPage
from ._draining import Draining
from ._leaving_notices import DRAINING_TYPES, LeavingNotice, SendNotice, leaving_notices
from ._messages import (
    DrainEffect,
    DrainSignal,
    DrainState,
    Leave,
    NotifyPeers,
    ResumeNewWork,
    SendGoaway,
    StopNewWork,
)

__all__ = [
    "DRAINING_TYPES",
    "LeavingNotice",
    "SendNotice",
    "leaving_notices",
    "BackendHealth",
    "BackendState",
    "DrainEffect",
    "DrainSignal",
    "DrainState",
    "Draining",
    "HealthPage",
    "Leave",
    "ResumeNewWork",
    "SendGoaway",
    "StopNewWork",
    "NotifyPeers",
]
