"""Reading a UDP socket in batches."""

from __future__ import annotations

import socket
from collections.abc import Callable

import trio

MAXIMUM_DATAGRAM_BYTES = 2048
BATCH_DATAGRAMS = 64
FIRST_ERROR_PAUSE_SECONDS = 0.001  # after a second error of the socket in succession
LONGEST_ERROR_PAUSE_SECONDS = 1.0
ERROR_PAUSE_GROWTH = 2.0


def _ignore(_: OSError) -> None:
    """Ignore an error of the socket, which costs at most one datagram."""


async def read_batches(
    datagram_socket: socket.socket,
    read_batch: Callable[[], bool],
    pause_seconds: float = 0.0,
    note_error: Callable[[OSError], None] = _ignore,
) -> None:
    """Call `read_batch` whenever the socket is readable, until the socket is closed.

    Args:
        datagram_socket: the socket to wait for.
        read_batch: reads at most `BATCH_DATAGRAMS`, and returns whether it stopped before the
            socket was empty; other tasks run before it is called again.
        pause_seconds: pause each time the socket has been emptied, for sockets where a wake-up
            costs more than a datagram and a short delay does no harm.
        note_error: called with each error of the socket. An error of one datagram doesn't end the
            loop; errors in succession are followed by a pause that grows.
    """
    errors = 0
    while datagram_socket.fileno() >= 0:
        try:
            await trio.lowlevel.wait_readable(datagram_socket)
            while read_batch():
                errors = 0
                await trio.lowlevel.checkpoint()
            errors = 0
            if pause_seconds:
                await trio.sleep(pause_seconds)
        except trio.ClosedResourceError:
            return
        except OSError as error:
            if datagram_socket.fileno() < 0:
                return
            errors += 1
            note_error(error)
            await trio.sleep(_error_pause_seconds(errors))


def _error_pause_seconds(errors: int) -> float:
    if errors < 2:
        return 0.0
    pause = FIRST_ERROR_PAUSE_SECONDS * ERROR_PAUSE_GROWTH ** min(errors - 2, 32)
    return min(pause, LONGEST_ERROR_PAUSE_SECONDS)
