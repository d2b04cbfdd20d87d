"""Non-blocking UDP sockets for reading in batches."""

from __future__ import annotations

import socket
from collections.abc import Callable

import trio

from ..configuration import Address

MAXIMUM_DATAGRAM_BYTES = 2048
BATCH_DATAGRAMS = 64
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


def open_datagram_socket(address: Address) -> socket.socket:
    """Return a non-blocking UDP socket bound to an address.

    Raises:
        OSError: if the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    datagram_socket = socket.socket(family, socket.SOCK_DGRAM)
    try:
        datagram_socket.setblocking(False)
        datagram_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        datagram_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        datagram_socket.bind(address)
    except BaseException:
        datagram_socket.close()
        raise
    return datagram_socket


def close_datagram_socket(datagram_socket: socket.socket) -> None:
    """Close a socket and wake the task that reads it, if there is one."""
    if datagram_socket.fileno() < 0:
        return
    # Before the loop runs there is no reader to wake.
    if trio.lowlevel.in_trio_run():
        trio.lowlevel.notify_closing(datagram_socket)
    datagram_socket.close()


async def read_batches(datagram_socket: socket.socket, take_batch: Callable[[], bool]) -> None:
    """Call `take_batch` whenever the socket is readable, until the socket is closed.

    Args:
        datagram_socket: the socket to wait for.
        take_batch: reads at most `BATCH_DATAGRAMS`, and returns whether it stopped before the
            socket was empty; other tasks run before it is called again.
    """
    while datagram_socket.fileno() >= 0:
        try:
            await trio.lowlevel.wait_readable(datagram_socket)
            while take_batch():
                await trio.lowlevel.checkpoint()
        except trio.ClosedResourceError:
            return
        except OSError:
            # An error of one datagram is no reason to stop; that of a closed socket ends the loop.
            await trio.lowlevel.checkpoint()
