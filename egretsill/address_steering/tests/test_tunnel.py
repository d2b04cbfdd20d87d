"""Tests of the datagrams between processes that steer by address."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import (
    CapacityOffer,
    CapacityRequest,
    Envelope,
    HomeNotice,
    MalformedTunnelMessage,
    OwnerNotice,
    TunneledPacket,
    decode_tunnel,
    encode_capacity_offer,
    encode_capacity_request,
    encode_home_notice,
    encode_owner_notice,
    encode_tunneled_packet,
    service_hash,
)
from .._service_order import Standing, Urgency
from .._tunnel import MAXIMUM_NOTICE_FLOWS
from .scene import AGENTS, BALANCER, flow

FLOW_BYTES = 12

ENCODERS: dict[int, Callable[[Any], bytes]] = {
    0xE1: lambda message: encode_tunneled_packet(message.envelope, message.datagram),
    0xE2: encode_owner_notice,
    0xE3: encode_home_notice,
    0xE4: encode_capacity_request,
    0xE5: encode_capacity_offer,
}


@pytest.mark.parametrize("visited", [(), AGENTS[:1], AGENTS], ids=["none", "one", "five"])
def test_tunneled_packet_round_trip(visited: tuple[int, ...]) -> None:
    envelope = Envelope(BALANCER, 2**40, service_hash("lookup"), visited, 0xBEEF)
    assert decode_tunnel(encode_tunneled_packet(envelope, b"data")) == TunneledPacket(
        envelope, b"data"
    )


def test_owner_notice_round_trip() -> None:
    notice = OwnerNotice(flow(), AGENTS[2])
    assert decode_tunnel(encode_owner_notice(notice)) == notice


def test_home_notice_round_trip_with_maximum_flows_fits_a_packet() -> None:
    flows = tuple(flow(number) for number in range(MAXIMUM_NOTICE_FLOWS))
    notice = HomeNotice(AGENTS[2], flows, tuple(range(2**32 - MAXIMUM_NOTICE_FLOWS, 2**32)))
    data = encode_home_notice(notice)
    assert decode_tunnel(data) == notice
    assert len(data) <= 1_200  # bytes; MAXIMUM_NOTICE_FLOWS is chosen for this


# Guards against homes that learn of no flow while processes of two releases run.
@pytest.mark.parametrize("count", [1, 2, 3, 4])
def test_home_notices_of_two_releases_are_read_by_both(count: int) -> None:
    flows = tuple(flow(number) for number in range(count))
    earlier = HomeNotice(AGENTS[2], flows)
    bare = encode_home_notice(earlier)
    assert decode_tunnel(bare) == earlier
    data = encode_home_notice(HomeNotice(AGENTS[2], flows, tuple(range(count))))
    assert data.startswith(bare)
    assert (len(data) - len(bare)) % FLOW_BYTES == 0, "an earlier release reads whole flows"


def test_capacity_messages_round_trip() -> None:
    mark = service_hash("lookup")
    request, offer = CapacityRequest(AGENTS[0], mark, 9), CapacityOffer(AGENTS[1], mark, 2)
    assert decode_tunnel(encode_capacity_request(request)) == request
    assert decode_tunnel(encode_capacity_offer(offer)) == offer


@pytest.mark.parametrize(
    "urgency",
    [
        pytest.param(Urgency(Standing.IN_TIME), id="of an earlier version"),
        pytest.param(Urgency(Standing.IN_TIME, 2), id="priority"),
        pytest.param(Urgency(Standing.LATE, 31, True), id="late, of a caller that had much"),
    ],
)
def test_urgency_of_capacity_request_round_trips(urgency: Urgency) -> None:
    request = CapacityRequest(AGENTS[0], service_hash("lookup"), 9, urgency)
    assert decode_tunnel(encode_capacity_request(request)) == request


def test_large_capacity_counts_are_limited() -> None:
    request = CapacityRequest(AGENTS[0], service_hash("lookup"), 100_000)
    decoded = decode_tunnel(encode_capacity_request(request))
    assert isinstance(decoded, CapacityRequest)
    assert decoded.waiting == 0x1FF


@pytest.mark.parametrize(
    "data",
    [  # first byte: 0xE1 for a tunneled packet, 0xE2 for an owner notice, 0xE3 for a home notice
        pytest.param(b"", id="empty"),
        pytest.param(b"\x00" * 40, id="unknown message type"),
        pytest.param(b"\xe1\x00\x00", id="truncated header"),
        pytest.param(b"\xe1\xff" + bytes(400), id="too many visited"),
        pytest.param(b"\xe1\x05" + bytes(20), id="truncated visited list"),
        pytest.param(b"\xe2" + bytes(3), id="short notice"),
        pytest.param(b"\xe3" + bytes(4), id="home notice without flows"),
        pytest.param(b"\xe3" + bytes(15), id="truncated home notice"),
        pytest.param(b"\xe4" + bytes(4), id="truncated request for capacity"),
        pytest.param(b"\xe5" + bytes(11), id="offer of capacity that is too long"),
    ],
)
def test_malformed_datagram_raises_malformed_tunnel_message(data: bytes) -> None:
    with pytest.raises(MalformedTunnelMessage):
        decode_tunnel(data)


def test_random_bytes_are_decoded_or_rejected() -> None:
    source = random.Random(8)
    outcomes: set[type] = set()
    for _ in range(5000):
        data = bytes([source.choice((0xE1, 0xE2, 0xE3, source.randrange(256)))])
        try:
            outcomes.add(type(decode_tunnel(data + source.randbytes(source.randrange(60)))))
        except MalformedTunnelMessage:
            outcomes.add(MalformedTunnelMessage)
    assert outcomes == {TunneledPacket, OwnerNotice, HomeNotice, MalformedTunnelMessage}


# Guards against a message that is taken and can't be passed on.
@settings(derandomize=True, max_examples=300)
@given(st.sampled_from(sorted(ENCODERS)), st.binary(max_size=80))
def test_what_is_decoded_can_be_encoded_again(mark: int, rest: bytes) -> None:
    data = bytes((mark,)) + rest
    with suppress(MalformedTunnelMessage):
        assert ENCODERS[mark](decode_tunnel(data)) == data
