"""Creation of TCP sockets for listeners."""

from __future__ import annotations

import socket


def bind_stream_socket(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking TCP socket bound to an address, which doesn't listen yet.

    It keeps the address from other programs and outgoing connections. Peers are refused at once
    until it listens, instead of waiting for a process that doesn't accept connections yet.

    Args:
        address: IP number and port; port 0 picks a free port.

    Raises:
        OSError: if the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    stream_socket = socket.socket(family, socket.SOCK_STREAM)
    try:
        stream_socket.setblocking(False)
        # Connections of an earlier process in TIME_WAIT don't stand in the way.
        stream_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        stream_socket.bind(address)
    except BaseException:
        stream_socket.close()
        raise
    return stream_socket
