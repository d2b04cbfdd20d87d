from __future__ import annotations

import socket
from collections.abc import Iterator
from dataclasses import replace

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Address
from ...steering import (
    AgentProbe,
    AgentProbeAnswer,
    CallerPacket,
    OwnerNotice,
    TunnelMessage,
    make_tunnel_codec,
)
from ...wire import MalformedMessage
from .. import AgentTunnel, FlowDrop, IncomingDatagram

CODEC = make_tunnel_codec()
BALANCER = Address("127.0.0.1", 9)
PACKET = CallerPacket("192.0.2.1", 4000, "198.51.100.1", 443, 1, 0, None, 0, b"payload")
NOTICE = OwnerNotice(8, 1, "127.0.0.1", 7000)
VALID = [CODEC.encode(each) for each in (PACKET, AgentProbe(1), NOTICE)]
DAMAGED = st.builds(
    lambda data, place, value: data[: place % len(data)] + value + data[place % len(data) + 1 :],
    st.sampled_from(VALID),
    st.integers(0, 99),
    st.binary(max_size=2),
)


class Taken:
    """A tunnel with what it handed on."""

    def __init__(self) -> None:
        self.datagrams: list[IncomingDatagram] = []
        self.notices: list[OwnerNotice] = []
        self.tunnel = AgentTunnel(Address("127.0.0.1", 0), 7, lambda: {1: "lookup"}, lambda: True)
        self.tunnel.receive_with(
            lambda datagram, packet, sender: self.datagrams.append(datagram), self.notices.append
        )


@pytest.fixture
def taken() -> Iterator[Taken]:
    made = Taken()
    yield made
    made.tunnel._socket.close()


def test_a_callers_packet_names_the_balancer_that_took_it_in(taken: Taken) -> None:
    passed_on = replace(PACKET, hops=1, balancer_host="127.0.0.1", balancer_port=77)
    for packet in (PACKET, passed_on):
        taken.tunnel._take(CODEC.encode(packet), BALANCER)
    assert [each.balancer for each in taken.datagrams] == [BALANCER, Address("127.0.0.1", 77)]
    assert {each.service for each in taken.datagrams} == {"lookup"}


@pytest.mark.parametrize(
    ("message", "drop"),
    [
        pytest.param(replace(PACKET, service_number=2), FlowDrop.WRONG_SERVICE, id="service"),
        pytest.param(AgentProbeAnswer(1, 7, False), FlowDrop.UNEXPECTED, id="an agent's message"),
    ],
)
def test_what_is_not_for_this_agent_is_counted(
    taken: Taken, message: TunnelMessage, drop: FlowDrop
) -> None:
    taken.tunnel._take(CODEC.encode(message), BALANCER)
    assert taken.tunnel.drops == {drop: 1}
    assert taken.datagrams == []


def test_a_probe_is_answered_with_target_and_draining(taken: Taken) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as balancer:
        balancer.bind(("127.0.0.1", 0))
        taken.tunnel._take(CODEC.encode(AgentProbe(5)), Address(*balancer.getsockname()))
        answer = CODEC.decode(balancer.recv(2048))
    assert answer == AgentProbeAnswer(5, 7, True)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(data=st.binary(max_size=100) | DAMAGED | st.sampled_from(VALID).map(lambda each: each * 2))
def test_any_datagram_is_handed_on_or_counted_once(data: bytes) -> None:
    taken = Taken()
    with taken.tunnel._socket:
        taken.tunnel._take(data, BALANCER)
    drops = sum(
        count for drop, count in taken.tunnel.drops.items() if drop is not FlowDrop.NOT_SENT
    )
    handled = len(taken.datagrams) + len(taken.notices) + _is_probe(data)
    assert handled + drops == 1


def _is_probe(data: bytes) -> int:
    try:
        return isinstance(CODEC.decode(data), AgentProbe)
    except MalformedMessage:
        return 0


def test_the_socket_is_read_until_cancelled(taken: Taken) -> None:
    async def deliver() -> None:
        address = taken.tunnel._socket.getsockname()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as balancer:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(taken.tunnel.run)
                for _ in range(100):
                    balancer.sendto(CODEC.encode(PACKET), address)
                while len(taken.datagrams) < 100:
                    await trio.sleep(0.001)
                nursery.cancel_scope.cancel()

    trio.run(deliver)
    assert len(taken.datagrams) == 100
