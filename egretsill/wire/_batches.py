"""Reading a UDP socket in batches."""

from __future__ import annotations

import socket
from collections.abc import Callable

import trio

MAXIMUM_DATAGRAM_BYTES = 2048
BATCH_DATAGRAMS = 64


async def read_batches(
    datagram_socket: socket.socket, take_batch: Callable[[], bool], rest_seconds: float = 0.0
) -> None:
    """Call `take_batch` whenever the socket is readable, until the socket is closed.

    Args:
        datagram_socket: the socket to wait for.
        take_batch: reads at most `BATCH_DATAGRAMS`, and returns whether it stopped before the
            socket was empty; other tasks run before it is called again.
        rest_seconds: least time between two emptied sockets, where a wake-up costs more than a
            datagram and a short delay does no harm.
    """
    while datagram_socket.fileno() >= 0:
        try:
            await trio.lowlevel.wait_readable(datagram_socket)
            while take_batch():
                await trio.lowlevel.checkpoint()
            if rest_seconds:
                await trio.sleep(rest_seconds)
        except trio.ClosedResourceError:
            return
        except OSError:
            # An error of one datagram is no reason to stop; that of a closed socket ends the loop.
            await trio.lowlevel.checkpoint()
