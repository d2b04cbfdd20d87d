"""Reading a socket in batches while errors happen."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

import pytest
import trio
import trio.testing

from .. import close_datagram_socket, read_batches

ERRORS = 40


@pytest.fixture
def readable() -> Iterator[socket.socket]:
    """Return a socket on which a datagram waits."""
    receiver, sender = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
    with receiver, sender:
        receiver.setblocking(False)
        sender.send(b"datagram")
        yield receiver


def read(
    readable: socket.socket, read_batch: Callable[[], bool], errors: list[OSError]
) -> tuple[float, float]:
    """Read until the socket is closed; return when that began and ended by the virtual clock."""

    async def main() -> tuple[float, float]:
        began = trio.current_time()
        await read_batches(readable, read_batch, note_error=errors.append)
        return began, trio.current_time()

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)


# Guards against a persistent error of a socket that takes all of the process's time.
def test_errors_in_succession_are_reported_and_pause_the_reading(readable: socket.socket) -> None:
    errors: list[OSError] = []

    def read_batch() -> bool:
        if len(errors) == ERRORS:
            close_datagram_socket(readable)
            return False
        raise OSError(12, "out of memory")

    began, ended = read(readable, read_batch, errors)
    assert len(errors) == ERRORS
    assert ended - began > 20.0, "the pause between errors grows to a second"


def test_single_errors_do_not_pause_the_reading(readable: socket.socket) -> None:
    errors: list[OSError] = []
    calls = 0

    def read_batch() -> bool:
        nonlocal calls
        calls += 1
        if calls == 2 * ERRORS:
            close_datagram_socket(readable)
            return False
        if calls % 2:
            raise OSError(111, "refused")
        return False

    began, ended = read(readable, read_batch, errors)
    assert len(errors) == ERRORS
    assert ended == began


def test_closed_socket_ends_the_reading_without_an_error(readable: socket.socket) -> None:
    errors: list[OSError] = []

    def read_batch() -> bool:
        close_datagram_socket(readable)
        raise OSError(9, "bad descriptor")

    read(readable, read_batch, errors)
    assert errors == []
