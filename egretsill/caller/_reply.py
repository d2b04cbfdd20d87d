"""The result of a caller's request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..flows import headers as names
from ..outcomes import (
    Answered,
    Outcome,
    RefusalReason,
    Refused,
    Unknown,
    UnknownReason,
)


@dataclass(frozen=True, slots=True)
class Reply:
    """The result of one request.

    Attributes:
        outcome: what is known about the request; the body is complete only with Answered.
        status: HTTP status, or None if no response head arrived.
        headers: of the response, with lower-case names.
        body: the part that arrived.
    """

    outcome: Outcome
    status: int | None
    headers: Mapping[bytes, bytes]
    body: bytes


def outcome_of_head(status: int, headers: Mapping[bytes, bytes]) -> Outcome:
    """Return the outcome of a complete response with this head."""
    match headers.get(names.OUTCOME_HEADER):
        case names.OUTCOME_NOT_RUN:
            return Refused(_refusal_reason(headers), _retry_after_seconds(headers))
        case names.OUTCOME_UNKNOWN:
            return Unknown(_unknown_reason(headers))
        case _:
            return Answered(status)


def outcome_of_reset(error_code: int) -> Outcome:
    """Return the outcome of a request whose response stream was reset."""
    if error_code == names.HTTP3_REQUEST_REJECTED:
        return Refused(RefusalReason.DRAINING)
    return Unknown(UnknownReason.ANSWER_CUT)


def _refusal_reason(headers: Mapping[bytes, bytes]) -> RefusalReason:
    value = headers.get(names.REASON_HEADER, b"").decode("latin-1")
    known = {each.value: each for each in RefusalReason}
    return known.get(value, RefusalReason.OVERLOAD)


def _unknown_reason(headers: Mapping[bytes, bytes]) -> UnknownReason:
    value = headers.get(names.REASON_HEADER, b"").decode("latin-1")
    known = {each.value: each for each in UnknownReason}
    return known.get(value, UnknownReason.ANSWER_CUT)


def _retry_after_seconds(headers: Mapping[bytes, bytes]) -> float:
    value = headers.get(names.RETRY_AFTER_HEADER, b"")
    return float(value) if value.isdigit() else 1.0
