"""Outcome types of a request."""

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
    """Why it is unknown whether a request ran, or whether it ran to completion."""

    BACKEND_LOST = "backend-lost"
    BACKEND_MALFORMED = "backend-malformed"
    RELAY_LOST = "relay-lost"
    DEADLINE = "deadline"
    ANSWER_CUT = "answer-cut"
    FLOW_LOST = "flow-lost"


@dataclass(frozen=True, slots=True)
class Answered:
    """The caller received the complete answer.

    Attributes:
        status: HTTP status of the backend server.
    """

    status: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run and will not run later, so it is safe to retry.

    Attributes:
        reason: why it was refused.
        retry_after_seconds: delay before the caller should retry.
    """

    reason: RefusalReason
    retry_after_seconds: float = 1.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have started, and its result can't be determined."""

    reason: UnknownReason


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller cancelled the request."""


Outcome: TypeAlias = Answered | Refused | Unknown | Cancelled
