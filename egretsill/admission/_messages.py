"""Requests to admission control and its decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..configuration import RequestShape
from ..outcomes import Refused


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks to be admitted to this backend server.

    Attributes:
        identifier: unique among the requests of this gate.
        tenant: the tenant whose share of the capacity it counts against.
        weight: cost in units of the lightest class.
        shape: SHORT and UPLOAD take a slot, SUBSCRIPTION takes a connection.
        priority: 0 is the highest and is refused last.
        deadline: in seconds on the timer service of this process, or None.
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
    """The request holds a slot or connection and may start."""

    identifier: str


@dataclass(frozen=True, slots=True)
class Queued:
    """The request is queued; a later decision admits or rejects it."""

    identifier: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request was not run."""

    identifier: str
    refusal: Refused


AdmissionDecision: TypeAlias = Admitted | Queued | Rejected
