from __future__ import annotations

import pytest

from .._answer_receiver import AnswerReceiver, AnswerViolation
from .._gate_request import PIECE_BYTES


def make_receiver(window_bytes: int = 8) -> AnswerReceiver:
    receiver = AnswerReceiver(window_bytes)
    receiver.receive_head(200)
    receiver.receive_data(0, b"abcd")
    return receiver


@pytest.mark.parametrize(
    ("offset", "data", "fresh"),
    [
        pytest.param(4, b"ef", b"ef", id="in order"),
        pytest.param(2, b"cdef", b"ef", id="overlapping after a resume"),
        pytest.param(0, b"ab", b"", id="late duplicate"),
    ],
)
def test_receive_data_returns_each_byte_once(offset: int, data: bytes, fresh: bytes) -> None:
    assert make_receiver().receive_data(offset, data) == fresh


@pytest.mark.parametrize(
    ("offset", "data"),
    [
        pytest.param(5, b"f", id="gap"),
        pytest.param(-1, b"f", id="negative"),
        pytest.param(4, bytes(3 * PIECE_BYTES), id="beyond the window"),
    ],
)
def test_inconsistent_data_raises_violation(offset: int, data: bytes) -> None:
    with pytest.raises(AnswerViolation):
        make_receiver().receive_data(offset, data)


def test_data_before_head_raises_violation() -> None:
    with pytest.raises(AnswerViolation):
        AnswerReceiver(8).receive_data(0, b"a")


@pytest.mark.parametrize("length", [pytest.param(3, id="too long"), pytest.param(5, id="cut")])
def test_wrong_length_raises_violation(length: int) -> None:
    with pytest.raises(AnswerViolation):
        make_receiver().receive_end(length)
    assert make_receiver().receive_end(4) == 200


def test_acknowledgement_is_due_after_part_of_window() -> None:
    receiver = make_receiver(window_bytes=8)
    assert not receiver.record_delivery(1)
    assert receiver.record_delivery(2)
    assert receiver.acknowledge() == 2
    assert not receiver.record_delivery(3)
