"""Tests of emulated links and sockets."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import pytest
import trio
import trio.testing

from ...endpoints import Address
from .._datagram_socket import EmulatedDatagramSocket
from .._network import FAR_SECONDS, NEAR_SECONDS, Network
from .._scheduler import Scheduler
from .._stream_socket import CURRENT_HOST, StreamSocketFactory

HERE, NEAR, FAR = Address("10.0.0.1", 1), Address("10.0.0.2", 1), Address("10.0.0.3", 1)


def run(scenario: Callable[[Network, Scheduler], Awaitable[None]]) -> None:
    async def main() -> None:
        scheduler = Scheduler()
        network = Network(scheduler, Random(1))
        for address, domain in ((HERE, "a"), (NEAR, "a"), (FAR, "b")):
            network.add_host(address.host, domain)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scheduler.run)
            with trio.fail_after(60):
                await scenario(network, scheduler)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    ("address", "seconds"),
    [pytest.param(NEAR, NEAR_SECONDS, id="near"), pytest.param(FAR, FAR_SECONDS, id="far")],
)
def test_datagram_arrives_after_link_delay(address: Address, seconds: float) -> None:
    async def scenario(network: Network, scheduler: Scheduler) -> None:
        sender, receiver = (EmulatedDatagramSocket(network, each) for each in (HERE, address))
        began = trio.current_time()
        sender.sendto(b"x", address)
        with pytest.raises(BlockingIOError):
            receiver.recv(10)
        await trio.lowlevel.wait_readable(receiver)
        assert receiver.recvfrom(10) == (b"x", HERE)
        assert trio.current_time() - began == pytest.approx(seconds)
        for each in (sender, receiver):
            each.close()

    run(scenario)


@pytest.mark.parametrize(
    "inject_fault",
    [
        pytest.param(lambda network: network.cut(NEAR.host), id="cut"),
        pytest.param(lambda network: network.power_off(NEAR.host), id="no power"),
        pytest.param(lambda network: network.set_loss(NEAR.host, 1.0), id="all lost"),
        pytest.param(lambda network: network.block_inbound(NEAR), id="inbound blocked"),
    ],
)
def test_fault_drops_datagrams(inject_fault: Callable[[Network], None]) -> None:
    async def scenario(network: Network, scheduler: Scheduler) -> None:
        sender, receiver = (EmulatedDatagramSocket(network, each) for each in (HERE, NEAR))
        inject_fault(network)
        sender.sendto(b"x", NEAR)
        await trio.sleep(1.0)
        with pytest.raises(BlockingIOError):
            receiver.recv(10)
        for each in (sender, receiver):
            each.close()

    run(scenario)


def test_blocked_address_sends_and_recovers() -> None:
    async def scenario(network: Network, scheduler: Scheduler) -> None:
        blocked, other = (EmulatedDatagramSocket(network, each) for each in (HERE, NEAR))
        network.block_inbound(HERE)
        blocked.sendto(b"from", NEAR)
        other.sendto(b"lost", HERE)
        await trio.sleep(1.0)
        assert other.recv(10) == b"from"
        network.unblock_inbound(HERE)
        other.sendto(b"again", HERE)
        await trio.sleep(1.0)
        assert blocked.recv(10) == b"again"
        for each in (blocked, other):
            each.close()

    run(scenario)


def test_connection_transfers_data_and_eof() -> None:
    async def scenario(network: Network, scheduler: Scheduler) -> None:
        trio.socket.set_custom_socket_factory(StreamSocketFactory(network))

        async def echo(stream: trio.SocketStream) -> None:
            async for data in stream:
                await stream.send_all(data.upper())

        async with trio.open_nursery() as nursery:
            CURRENT_HOST.set(FAR.host)
            listeners = await trio.open_tcp_listeners(80, host=FAR.host)
            nursery.start_soon(trio.serve_listeners, echo, listeners)
            CURRENT_HOST.set(HERE.host)
            stream = await trio.open_tcp_stream(FAR.host, 80)
            await stream.send_all(b"hello")
            assert await stream.receive_some(100) == b"HELLO"
            await stream.send_eof()
            assert await stream.receive_some(100) == b""
            with pytest.raises(OSError, match=NEAR.host.replace(".", r"\.")):
                await trio.open_tcp_stream(NEAR.host, 80)
            network.cut(FAR.host)
            with trio.move_on_after(5.0) as waiting:
                await trio.open_tcp_stream(FAR.host, 80)
            assert waiting.cancelled_caught, "an isolated host does not answer"
            nursery.cancel_scope.cancel()

    run(scenario)


def test_calls_run_in_time_order() -> None:
    async def scenario(network: Network, scheduler: Scheduler) -> None:
        called: list[str] = []
        scheduler.call_later(2.0, lambda: called.append("second"))
        scheduler.call_later(1.0, lambda: called.append("first"))
        scheduler.call_later(2.0, lambda: called.append("third"))
        await trio.sleep(3.0)
        assert called == ["first", "second", "third"]

    run(scenario)
