"""Gossip socket over UDP on loopback."""

from __future__ import annotations

import socket
from dataclasses import dataclass

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Address
from ...observation import Metrics
from ...supervision import PropagatingSupervisor
from ...wire import Codec
from .. import (
    MAXIMUM_DATAGRAM_BYTES,
    MEMBERSHIP_TYPES,
    GossipSocket,
    MembershipMessage,
)
from .._gossip_socket import FLEET_MARK_BYTES, fleet_mark
from .._messages import Gossip, MemberQuery, MemberUpdate, Ping


@dataclass(frozen=True, slots=True)
class _Large:
    text: str


LOOPBACK = Address("127.0.0.1", 0)
MESSAGE = Gossip((MemberUpdate(1, 2, 0),))
MARK = fleet_mark("")
LARGEST = FLEET_MARK_BYTES + MAXIMUM_DATAGRAM_BYTES


async def _receive(datagrams: list[bytes], metrics: Metrics, expected: int) -> list[object]:
    """Send the datagrams and one valid message; return the messages that the handler received."""
    received: list[object] = []
    gossip = GossipSocket(LOOPBACK, MEMBERSHIP_TYPES, metrics, PropagatingSupervisor())
    gossip.register([Gossip], lambda message, sender: received.append(message))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(gossip.run)
            for datagram in datagrams:
                sender.sendto(datagram, address)
            assert gossip.send(address, MESSAGE)
            while len(received) < expected:
                await trio.sleep(0.001)
            nursery.cancel_scope.cancel()
    return received


@pytest.mark.parametrize(
    ("datagram", "reason"),
    [
        pytest.param(b"", "foreign-fleet", id="empty"),
        pytest.param(MARK[:-1], "foreign-fleet", id="part of a mark"),
        pytest.param(fleet_mark("other"), "foreign-fleet", id="another fleet"),
        pytest.param(MARK, "malformed", id="only a mark"),
        pytest.param(MARK + b"\xc1\xff", "malformed", id="not msgpack"),
        pytest.param(MARK + b"\x92\x3f", "malformed", id="truncated"),
        pytest.param(MARK + b"\x92\x01\x90", "malformed", id="unknown tag"),
        pytest.param(MARK + b"\x92\x42\x90", "no-handler", id="message without a handler"),
        pytest.param(MARK + b"x" * MAXIMUM_DATAGRAM_BYTES, "malformed", id="largest"),
        pytest.param(b"x" * (LARGEST + 1), "oversized", id="one byte too many"),
        pytest.param(b"x" * 60_000, "oversized", id="far too many bytes"),
    ],
)
def test_bad_datagrams_are_counted_and_dropped(datagram: bytes, reason: str) -> None:
    metrics = Metrics()
    assert trio.run(_receive, [datagram] * 3, metrics, 1) == [MESSAGE]
    assert metrics.datagrams_dropped.value("gossip", reason) == 3
    assert metrics.datagrams_dropped.total() == 3


CODEC: Codec[MembershipMessage] = Codec("gossip", MEMBERSHIP_TYPES)
VALID = [
    CODEC.encode(each)
    for each in (MESSAGE, MemberQuery((1, 2, 3)), Ping(1, 2, 3, 4, MESSAGE.updates))
]
TRUNCATED = st.builds(
    lambda data, length: data[: length % len(data)], st.sampled_from(VALID), st.integers(0, 99)
)
DAMAGED = st.builds(
    lambda data, index, value: data[: index % len(data)] + value + data[index % len(data) + 1 :],
    st.sampled_from(VALID),
    st.integers(0, 99),
    st.binary(max_size=2),
)
OVERSIZED = st.builds(
    lambda data, size: data + bytes(size), st.sampled_from(VALID), st.integers(1, 3_000)
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(data=st.binary(max_size=100) | TRUNCATED | DAMAGED | OVERSIZED)
def test_any_datagram_is_handled_or_counted_once(data: bytes) -> None:
    metrics = Metrics()
    handled: list[object] = []
    gossip = GossipSocket(LOOPBACK, MEMBERSHIP_TYPES, metrics, PropagatingSupervisor())
    gossip.register(MEMBERSHIP_TYPES.values(), lambda message, sender: handled.append(message))
    with gossip._socket:
        gossip._receive(MARK + data, LOOPBACK)
    assert len(handled) + metrics.datagrams_dropped.total() == 1
    assert metrics.gossip_messages.value("received") == len(handled)


def test_messages_too_large_are_not_sent() -> None:
    metrics = Metrics()
    gossip = GossipSocket(LOOPBACK, {1: MemberQuery, 2: _Large}, metrics, PropagatingSupervisor())
    with gossip._socket:
        assert not gossip.send(gossip.address, _Large("x" * MAXIMUM_DATAGRAM_BYTES))
    assert metrics.datagrams_dropped.value("gossip", "oversized") == 1
    assert metrics.gossip_messages.total() == 0


def test_unreachable_network_is_counted() -> None:
    metrics = Metrics()
    gossip = GossipSocket(LOOPBACK, MEMBERSHIP_TYPES, metrics, PropagatingSupervisor())
    with gossip._socket:
        assert not gossip.send(Address("240.0.0.1", 9), MESSAGE)
    assert metrics.datagrams_dropped.value("gossip", "unreachable") == 1


def test_more_than_one_batch_is_received() -> None:
    metrics = Metrics()
    good = MARK + b"\x92\x3f\x91\x93\x01\x02\x00"
    assert trio.run(_receive, [good] * 150, metrics, 151) == [MESSAGE] * 151
