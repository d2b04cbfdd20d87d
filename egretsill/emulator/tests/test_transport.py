"""Tests of the flow transport."""

from __future__ import annotations

from random import Random

import pytest

from ...address_steering import FlowKey
from .. import Segment
from .._transport import MAXIMUM_RETRANSMISSIONS, SEGMENT_BYTES, WINDOW_SEGMENTS, FlowEnd

FLOW = FlowKey(1, 2, 3, 4)


def make_ends() -> tuple[FlowEnd, FlowEnd]:
    return FlowEnd(FLOW, True, 101, 501), FlowEnd(FLOW, False, 501, 101)


@pytest.mark.parametrize("lost", [0.0, 0.2, 0.5], ids=["none lost", "some lost", "half lost"])
@pytest.mark.parametrize("size", [1, SEGMENT_BYTES, 40_000])
def test_data_arrives_complete_and_in_order(size: int, lost: float) -> None:
    random = Random(size)
    caller, target = make_ends()
    data = random.randbytes(size)
    now = 0.0
    to_target = [*caller.send(data, now), *caller.close(now)]
    to_caller: list[Segment] = []
    while not (target.has_closed and caller.is_idle):
        random.shuffle(to_target)
        arriving = [each for each in to_target if random.random() >= lost]
        to_caller = [answer for each in arriving for answer in target.receive(each, now)]
        arriving = [each for each in to_caller if random.random() >= lost]
        to_target = [answer for each in arriving for answer in caller.receive(each, now)]
        now += 0.1
        to_target += caller.retransmit(now)
        assert now < 120.0
    assert bytes(target.received) == data


def test_in_flight_segments_fit_window() -> None:
    caller, _ = make_ends()
    sent = caller.send(bytes(SEGMENT_BYTES * (WINDOW_SEGMENTS + 5)), 0.0)
    assert len(sent) == WINDOW_SEGMENTS


def test_retransmit_backs_off_then_gives_up() -> None:
    caller, _ = make_ends()
    caller.send(b"x", 0.0)
    waits = []
    now = 0.0
    while not caller.is_lost:
        waits.append(round(caller.next_retransmission - now, 3))
        now = caller.next_retransmission
        assert len(caller.retransmit(now)) == 1
    assert waits[:5] == [0.2, 0.4, 0.8, 1.6, 1.6]
    assert len(waits) == MAXIMUM_RETRANSMISSIONS + 1
