"""Tagged outcomes of a request."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TypeAlias


class RefusalReason(enum.Enum):
    """Why a request was not run."""

    FULL = "full"
    OVERLOAD = "overload"
    SHEDDING = "shedding"
    DRAINING = "draining"
    DEADLINE = "deadline"
    NO_TARGET = "no-target"
    RETRY_BUDGET = "retry-budget"
    UNDECLARED = "undeclared"
    TOO_LARGE = "too-large"
    BACKEND_UNREACHABLE = "backend-unreachable"
    WRONG_SERVICE = "wrong-service"
    FENCED = "fenced"
    FLOW_NOT_OPENED = "flow-not-opened"
    CALLER_MALFORMED = "caller-malformed"


class UnknownReason(enum.Enum):
    """Why it can't be said whether, or how far, a request ran."""

    BACKEND_LOST = "backend-lost"
    BACKEND_MALFORMED = "backend-malformed"
    RELAY_LOST = "relay-lost"
    DEADLINE = "deadline"
    ANSWER_CUT = "answer-cut"
    FLOW_LOST = "flow-lost"


@dataclass(frozen=True, slots=True)
class Answered:
    """The caller has the whole answer.

    Attributes:
        status: HTTP status of the backend server.
    """

    status: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run and never will be; it is safe to ask again.

    Attributes:
        reason: why.
        retry_after_seconds: when to come back.
    """

    reason: RefusalReason
    retry_after_seconds: float = 1.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request started and its end can't be learnt."""

    reason: UnknownReason


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller withdrew the request."""


Outcome: TypeAlias = Answered | Refused | Unknown | Cancelled
