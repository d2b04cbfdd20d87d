"""What is asked of an admission, and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..configuration import RequestShape
from ..outcomes import Refused


@dataclass(frozen=True, slots=True)
class Ticket:
    """One request's wish to run at this backend server.

    Attributes:
        identifier: unique among the requests of this gate.
        tenant: whose share of an overloaded queue it counts against.
        weight: cost in units of the lightest class.
        shape: SHORT and UPLOAD take a slot, SUBSCRIPTION a connection.
        priority: 0 is refused last.
        deadline: seconds on the timer service of this process, or None.
    """

    identifier: str
    tenant: str
    class_name: str
    weight: float
    shape: RequestShape
    priority: int
    deadline: float | None


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request holds its slot or connection now and may start."""

    identifier: str


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; a later decision will admit or reject it."""

    identifier: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was not run."""

    identifier: str
    refusal: Refused


AdmissionDecision: TypeAlias = Admitted | Queued | Rejected
