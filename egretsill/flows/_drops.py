"""Why an agent throws a caller's datagram away."""

from __future__ import annotations

import enum


class FlowDrop(enum.Enum):
    """Why a datagram that reached an agent went no further."""

    MALFORMED = "malformed"
    UNEXPECTED = "unexpected"
    WRONG_SERVICE = "wrong-service"
    UNKNOWN_FLOW = "unknown-flow"
    FLOWS_FULL = "flows-full"
    FLOW_RATE = "flow-rate"
    NOT_SENT = "not-sent"
