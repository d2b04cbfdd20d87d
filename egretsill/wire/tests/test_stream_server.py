"""A TCP endpoint is served as soon as its address is free, and again after its listener failed."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from ...endpoints import Address, bind_stream_socket
from .. import StreamServer
from .._stream_server import CALM_SECONDS, RETRY_SECONDS, _PatientListener
from .holders import HOLDERS, held, own_host

PORT = 20_300


async def echo(stream: trio.SocketStream) -> None:
    async for data in stream:
        await stream.send_all(data)


async def ask(address: Address) -> bytes:
    """Return what a connection to the endpoint answers."""
    async with await trio.open_tcp_stream(*address) as stream:
        await stream.send_all(b"hello")
        return bytes(await stream.receive_some(10))


class Served:
    """A server on an address of its own, and what it reports."""

    def __init__(self) -> None:
        self.address = Address(own_host(), PORT)
        self.errors: list[int | None] = []
        self.server = StreamServer(self.address, self._observe)
        self._changed = trio.Event()

    def reserve(self) -> None:
        """Reserve the endpoint for the server."""
        reserved = bind_stream_socket(self.address)
        self.server = StreamServer(self.address, self._observe, reserved)

    async def wait_for(self, error: int | None) -> None:
        """Wait until the last report is this error, or None."""
        while not self.errors or self.errors[-1] != error:
            await self._changed.wait()

    def _observe(self, error: OSError | None) -> None:
        self.errors.append(error.errno if error is not None else None)
        self._changed.set()
        self._changed = trio.Event()


def run(scenario: Callable[[Served, trio.Nursery], Awaitable[None]]) -> None:
    async def main() -> None:
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await scenario(Served(), nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


# Guards against an end of the process because an address was taken for a moment.
@pytest.mark.parametrize("holder", HOLDERS)
def test_endpoint_opens_once_its_address_is_free(holder: str) -> None:
    async def scenario(served: Served, nursery: trio.Nursery) -> None:
        with held(holder, served.address) as release:
            await nursery.start(served.server.run, echo)
            assert served.errors == [errno.EADDRINUSE]
            release()
            await served.wait_for(None)
        assert await ask(served.address) == b"hello"

    run(scenario)


def test_reserved_socket_refuses_connections_until_it_is_served() -> None:
    async def scenario(served: Served, nursery: trio.Nursery) -> None:
        served.reserve()
        with pytest.raises(OSError, match="connect"):
            await ask(served.address)
        await nursery.start(served.server.run, echo)
        assert served.errors == [None]
        assert await ask(served.address) == b"hello"

    run(scenario)


# Guards against an end of the process because another one bound the address, too, and listens.
def test_reserved_address_on_which_another_process_listens_is_opened_later() -> None:
    async def scenario(served: Served, nursery: trio.Nursery) -> None:
        served.reserve()
        with held("listener", served.address) as release:
            await nursery.start(served.server.run, echo)
            assert served.errors == [errno.EADDRINUSE]
            release()
            await served.wait_for(None)
        assert await ask(served.address) == b"hello"

    run(scenario)


# Guards against an end of the process because an address isn't configured on the interface yet.
def test_absent_address_is_reported_and_tried_again() -> None:
    async def main() -> None:
        errors: list[OSError | None] = []
        server = StreamServer(Address("192.0.2.1", PORT), errors.append)
        with trio.move_on_after(3.5 * RETRY_SECONDS):
            await server.run(echo)
        assert [each and each.errno for each in errors] == [errno.EADDRNOTAVAIL] * 4

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


# Guards against an end of the process because its listener failed.
def test_failed_listener_is_opened_again_and_connections_go_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    opened: list[trio.SocketListener] = []
    real = trio.open_tcp_listeners

    async def open_tcp_listeners(*args: object, **options: object) -> list[trio.SocketListener]:
        opened.extend(listeners := await real(*args, **options))  # type: ignore[arg-type]
        return listeners

    monkeypatch.setattr(trio, "open_tcp_listeners", open_tcp_listeners)

    async def scenario(served: Served, nursery: trio.Nursery) -> None:
        await nursery.start(served.server.run, echo)
        async with await trio.open_tcp_stream(*served.address) as stream:
            await stream.send_all(b"1")
            assert await stream.receive_some(1) == b"1"
            opened[0].socket.shutdown(socket.SHUT_RDWR)
            await served.wait_for(errno.EINVAL)
            await served.wait_for(None)
            assert await ask(served.address) == b"hello"
            await stream.send_all(b"2")
            assert await stream.receive_some(1) == b"2"

    run(scenario)


class _Listener:
    """A listener with capacity for every other connection at first, and without any to accept then.

    Args:
        failures: number of attempts that fail.
    """

    def __init__(self, failures: int) -> None:
        self.left = 2 * failures

    async def accept(self) -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        if not self.left:
            await trio.sleep_forever()
        self.left -= 1
        if self.left % 2:
            raise OSError(errno.EMFILE, "too many open files")
        return trio.testing.memory_stream_pair()[0]

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


# Guards against a traceback, or a change of state, for each attempt while descriptors are used up.
def test_lack_of_capacity_is_reported_until_it_is_over_and_writes_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        errors: list[OSError | None] = []
        listener = _PatientListener(_Listener(3), errors.append)  # type: ignore[arg-type]
        with caplog.at_level(logging.DEBUG), trio.move_on_after(4 * CALM_SECONDS):
            await trio.serve_listeners(trio.aclose_forcefully, [listener])
        assert [each and each.errno for each in errors] == [errno.EMFILE] * 3 + [None]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert not caplog.records
