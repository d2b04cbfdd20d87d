"""What tells a process that it is to leave, and what it does about it."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias


class DrainSignal(enum.Enum):
    """Where the wish to leave comes from; any one of them is enough."""

    VM_LIST = "vm-list"
    CONFIGURATION = "configuration"
    HEALTH_PAGE = "health-page"
    TERMINATION = "termination"


FINAL_SIGNALS = frozenset({DrainSignal.VM_LIST, DrainSignal.TERMINATION})


class DrainState(enum.Enum):
    """How far a process is on its way out."""

    SERVING = "serving"
    DRAINING = "draining"
    LINGERING = "lingering"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class StopNewWork:
    """Turn away, as not run, every new request and flow from now on."""


@dataclass(frozen=True, slots=True)
class ResumeNewWork:
    """Take new requests and flows again, as the wish to leave was withdrawn."""


@dataclass(frozen=True, slots=True)
class TellPeers:
    """Tell the agents and balancers that place work here.

    Attributes:
        draining: whether new work is turned away.
    """

    draining: bool


@dataclass(frozen=True, slots=True)
class SendGoaway:
    """Tell the caller of every flow to send new requests on a new flow."""


@dataclass(frozen=True, slots=True)
class Leave:
    """End the process: nothing depends on it any more."""


DrainEffect: TypeAlias = StopNewWork | ResumeNewWork | TellPeers | SendGoaway | Leave
