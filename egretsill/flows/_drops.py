"""Reasons for which an agent drops a datagram."""

from __future__ import annotations

import enum


class FlowDrop(enum.Enum):
    """Reason why an agent dropped a datagram."""

    MALFORMED = "malformed"
    UNEXPECTED = "unexpected"
    WRONG_SERVICE = "wrong-service"
    UNKNOWN_FLOW = "unknown-flow"
    FLOWS_FULL = "flows-full"
    FLOW_RATE = "flow-rate"
    NOT_SENT = "not-sent"
