from __future__ import annotations

from collections.abc import Mapping

import pytest

from ...flows import headers
from ...outcomes import Answered, Outcome, RefusalReason, Refused, Unknown, UnknownReason
from .._call import Call
from .._reply import outcome_of_head, outcome_of_reset


@pytest.mark.parametrize(
    ("status", "answer_headers", "expected"),
    [
        pytest.param(200, {}, Answered(200), id="plain answer"),
        pytest.param(503, {}, Answered(503), id="the backend server's own 503"),
        pytest.param(
            503,
            {
                headers.OUTCOME_HEADER: b"not-run",
                headers.REASON_HEADER: b"full",
                headers.RETRY_AFTER_HEADER: b"3",
            },
            Refused(RefusalReason.FULL, 3.0),
            id="refused and not run",
        ),
        pytest.param(
            503,
            {headers.OUTCOME_HEADER: b"not-run", headers.REASON_HEADER: b"new reason"},
            Refused(RefusalReason.OVERLOAD, 1.0),
            id="refused for a reason of a later version",
        ),
        pytest.param(
            504,
            {headers.OUTCOME_HEADER: b"unknown", headers.REASON_HEADER: b"relay-lost"},
            Unknown(UnknownReason.RELAY_LOST),
            id="end unknown",
        ),
    ],
)
def test_head(status: int, answer_headers: Mapping[bytes, bytes], expected: Outcome) -> None:
    assert outcome_of_head(status, answer_headers) == expected


@pytest.mark.parametrize(
    ("code", "expected"),
    [
        pytest.param(0x10B, Refused(RefusalReason.DRAINING), id="rejected"),
        pytest.param(0x102, Unknown(UnknownReason.ANSWER_CUT), id="internal error"),
        pytest.param(0x10C, Unknown(UnknownReason.ANSWER_CUT), id="cancelled by the service"),
    ],
)
def test_reset(code: int, expected: Outcome) -> None:
    assert outcome_of_reset(code) == expected


class Writer:
    def write(self, stream_id: int, data: bytes, end: bool) -> None: ...

    def cancel(self, stream_id: int) -> None: ...

    def release(self, stream_id: int, size: int) -> None: ...

    def unacknowledged_bytes(self, stream_id: int) -> int:
        return 0


def test_rejection_after_head_is_unknown() -> None:
    call = Call(0, Writer())
    call.on_head({b":status": b"200"})
    call.on_reset(0x10B)
    assert call.outcome == Unknown(UnknownReason.ANSWER_CUT)


def test_first_outcome_is_kept() -> None:
    call = Call(0, Writer())
    call.on_head({b":status": b"200"})
    call.on_finished()
    call.on_end(Unknown(UnknownReason.FLOW_LOST))
    assert call.outcome == Answered(200)
