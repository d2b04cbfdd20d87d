"""Names and codes of the callers' interface, used by agents and by the callers' library."""

from __future__ import annotations

DEADLINE_HEADER = b"egretsill-deadline-ms"
OUTCOME_HEADER = b"egretsill-outcome"
REASON_HEADER = b"egretsill-reason"
RETRY_AFTER_HEADER = b"retry-after"

OUTCOME_NOT_RUN = b"not-run"
OUTCOME_UNKNOWN = b"unknown"

STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
STATUS_NOT_FOUND = 404

HTTP3_NO_ERROR = 0x100
HTTP3_INTERNAL_ERROR = 0x102
HTTP3_REQUEST_REJECTED = 0x10B
HTTP3_REQUEST_CANCELLED = 0x10C

MAXIMUM_DEADLINE_MILLISECONDS = 7 * 24 * 3_600_000

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        DEADLINE_HEADER,
    }
)
