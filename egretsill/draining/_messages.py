"""Drain signals to a process, its drain states and the effects to carry out."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias


class DrainSignal(enum.Enum):
    """The source of a drain signal; any one is sufficient."""

    VM_LIST = "vm-list"
    CONFIGURATION = "configuration"
    HEALTH_PAGE = "health-page"
    TERMINATION = "termination"


FINAL_SIGNALS = frozenset({DrainSignal.VM_LIST, DrainSignal.TERMINATION})


class DrainState(enum.Enum):
    """The stages of draining."""

    SERVING = "serving"
    DRAINING = "draining"
    LINGERING = "lingering"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class StopNewWork:
    """Refuse every new request and flow from now on, with requests reported as not run."""


@dataclass(frozen=True, slots=True)
class ResumeNewWork:
    """Take new requests and flows again, because all drain signals were withdrawn."""


@dataclass(frozen=True, slots=True)
class NotifyPeers:
    """Notify the agents and balancers that place work at this process.

    Attributes:
        draining: whether new work is refused.
    """

    draining: bool


@dataclass(frozen=True, slots=True)
class SendGoaway:
    """Send GOAWAY on every flow, so that callers send new requests on a new flow."""


@dataclass(frozen=True, slots=True)
class Leave:
    """End the process; no work depends on it any more."""


DrainEffect: TypeAlias = StopNewWork | ResumeNewWork | NotifyPeers | SendGoaway | Leave
