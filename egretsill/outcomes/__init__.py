"""Outcomes of a request, as reported to callers, relayed between agents, counted and logged."""

from ._outcome import (
    Answered,
    Cancelled,
    Outcome,
    RefusalReason,
    Refused,
    Unknown,
    UnknownReason,
)

__all__ = [
    "Answered",
    "Cancelled",
    "Outcome",
    "RefusalReason",
    "Refused",
    "Unknown",
    "UnknownReason",
]
