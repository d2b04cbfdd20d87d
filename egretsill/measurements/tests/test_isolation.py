from random import Random

import pytest

from .._steering_fleet import short_packet
from ..isolation import CODEC, KINDS, PACKETS, SharedFleet, measure


@pytest.mark.parametrize(
    ("service_number", "target_number", "reached"),
    [
        pytest.param(1, 1, 1, id="own address"),
        pytest.param(2, 11, 2, id="own address of the other service"),
    ],
)
def test_valid_ids_are_delivered(service_number: int, target_number: int, reached: int) -> None:
    fleet = SharedFleet(Random(1))
    datagram = short_packet(CODEC.encode(service_number, target_number, bytes(8)))
    assert {fleet.deliver(service_number, datagram) for _ in range(20)} == {reached}


def test_reassigned_endpoint_refuses_packets_of_former_service() -> None:
    fleet = SharedFleet(Random(1))
    datagram = short_packet(CODEC.encode(1, 7, bytes(8)))
    assert {fleet.deliver(1, datagram) for _ in range(20)} == {None}


def test_all_kinds_are_sent() -> None:
    lines = measure()
    assert len(lines) == len(KINDS)
    assert sum(int(line.case.split()[0]) for line in lines) >= PACKETS
