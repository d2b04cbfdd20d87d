"""Reading a UDP socket in batches."""

from __future__ import annotations

import socket
from collections.abc import Callable

import trio

MAXIMUM_DATAGRAM_BYTES = 2048
BATCH_DATAGRAMS = 64


async def read_batches(
    datagram_socket: socket.socket, read_batch: Callable[[], bool], pause_seconds: float = 0.0
) -> None:
    """Call `read_batch` whenever the socket is readable, until the socket is closed.

    Args:
        datagram_socket: the socket to wait for.
        read_batch: reads at most `BATCH_DATAGRAMS`, and returns whether it stopped before the
            socket was empty; other tasks run before it is called again.
        pause_seconds: pause each time the socket has been emptied, for sockets where a wake-up
            costs more than a datagram and a short delay does no harm.
    """
    while datagram_socket.fileno() >= 0:
        try:
            await trio.lowlevel.wait_readable(datagram_socket)
            while read_batch():
                await trio.lowlevel.checkpoint()
            if pause_seconds:
                await trio.sleep(pause_seconds)
        except trio.ClosedResourceError:
            return
        except OSError:
            # An error of one datagram doesn't end the loop; a closed socket does.
            await trio.lowlevel.checkpoint()
