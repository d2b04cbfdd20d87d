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
from ...supervision import PropagatingSupervisor
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


class TunnelRecorder:
    """An agent tunnel that records what it delivers."""

    def __init__(self) -> None:
        self.datagrams: list[IncomingDatagram] = []
        self.notices: list[OwnerNotice] = []
        self.tunnel = AgentTunnel(
            Address("127.0.0.1", 0),
            7,
            lambda: {1: "lookup"},
            lambda: True,
            PropagatingSupervisor(),
        )
        self.tunnel.set_receivers(
            lambda datagram, packet, sender: self.datagrams.append(datagram), self.notices.append
        )


@pytest.fixture
def recorder() -> Iterator[TunnelRecorder]:
    made = TunnelRecorder()
    yield made
    made.tunnel._socket.close()


def test_datagram_names_the_receiving_balancer(recorder: TunnelRecorder) -> None:
    passed_on = replace(PACKET, hops=1, balancer_host="127.0.0.1", balancer_port=77)
    for packet in (PACKET, passed_on):
        recorder.tunnel._handle_datagram(CODEC.encode(packet), BALANCER)
    assert [each.balancer for each in recorder.datagrams] == [BALANCER, Address("127.0.0.1", 77)]
    assert {each.service for each in recorder.datagrams} == {"lookup"}


@pytest.mark.parametrize(
    ("message", "drop"),
    [
        pytest.param(replace(PACKET, service_number=2), FlowDrop.WRONG_SERVICE, id="service"),
        pytest.param(AgentProbeAnswer(1, 7, False), FlowDrop.UNEXPECTED, id="message of an agent"),
    ],
)
def test_message_not_for_this_agent_is_dropped_and_counted(
    recorder: TunnelRecorder, message: TunnelMessage, drop: FlowDrop
) -> None:
    recorder.tunnel._handle_datagram(CODEC.encode(message), BALANCER)
    assert recorder.tunnel.drops == {drop: 1}
    assert recorder.datagrams == []


def test_probe_answer_has_target_and_draining(recorder: TunnelRecorder) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as balancer:
        balancer.bind(("127.0.0.1", 0))
        recorder.tunnel._handle_datagram(
            CODEC.encode(AgentProbe(5)), Address(*balancer.getsockname())
        )
        answer = CODEC.decode(balancer.recv(2048))
    assert answer == AgentProbeAnswer(5, 7, True)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(data=st.binary(max_size=100) | DAMAGED | st.sampled_from(VALID).map(lambda each: each * 2))
def test_any_datagram_is_delivered_or_counted_once(data: bytes) -> None:
    recorder = TunnelRecorder()
    with recorder.tunnel._socket:
        recorder.tunnel._handle_datagram(data, BALANCER)
    drops = sum(
        count for drop, count in recorder.tunnel.drops.items() if drop is not FlowDrop.NOT_SENT
    )
    handled = len(recorder.datagrams) + len(recorder.notices) + _is_probe(data)
    assert handled + drops == 1


def _is_probe(data: bytes) -> int:
    try:
        return isinstance(CODEC.decode(data), AgentProbe)
    except MalformedMessage:
        return 0


def test_run_reads_socket_until_cancelled(recorder: TunnelRecorder) -> None:
    async def deliver() -> None:
        address = recorder.tunnel._socket.getsockname()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as balancer:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(recorder.tunnel.run)
                for _ in range(100):
                    balancer.sendto(CODEC.encode(PACKET), address)
                while len(recorder.datagrams) < 100:
                    await trio.sleep(0.001)
                nursery.cancel_scope.cancel()

    trio.run(deliver)
    assert len(recorder.datagrams) == 100
