"""Sockets that keep a TCP endpoint from being opened."""

from __future__ import annotations

import os
import random
import socket
from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager

from ...endpoints import Address


def own_host() -> str:
    """Return a loopback address, chosen so that concurrent runs don't collide."""
    return f"127.{os.getpid() % 200 + 20}.{random.randrange(1, 250)}.{random.randrange(1, 250)}"


@contextmanager
def held(holder: str, address: Address) -> Iterator[Callable[[], None]]:
    """Hold an endpoint; yield a function that lets go of it, as leaving the block does.

    Args:
        holder: key of `HOLDERS`.
    """
    with ExitStack() as opened:
        HOLDERS[holder](address, opened)
        yield opened.close


def _listen(address: Address, opened: ExitStack) -> socket.socket:
    listener = opened.enter_context(socket.socket())
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen()
    return listener


def _connect_from(address: Address, opened: ExitStack) -> None:
    """Open a connection whose local port is the endpoint's, as one to any server may get it."""
    server = _listen(Address(address.host, 0), opened)
    client = opened.enter_context(socket.socket())
    # Closing it resets the connection, so that nothing of it stays in TIME_WAIT.
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.bind(address)
    client.connect(server.getsockname())
    opened.enter_context(server.accept()[0])


HOLDERS: Mapping[str, Callable[[Address, ExitStack], object]] = {
    "listener": _listen,
    "outgoing connection": _connect_from,
}
