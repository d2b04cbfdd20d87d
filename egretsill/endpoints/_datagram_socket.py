"""Creation of UDP sockets."""

from __future__ import annotations

import socket

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024  # about 3,000 full-size packets


def open_datagram_socket(
    address: tuple[str, int], receive_buffer_bytes: int, send_buffer_bytes: int | None = None
) -> socket.socket:
    """Return a non-blocking UDP socket bound to an address.

    Args:
        address: IP number and port; port 0 picks a free port.
        receive_buffer_bytes: size requested from the operating system.
        send_buffer_bytes: size requested from the operating system; None keeps its default.

    Raises:
        OSError: if the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    datagram_socket = socket.socket(family, socket.SOCK_DGRAM)
    try:
        datagram_socket.setblocking(False)
        datagram_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        if send_buffer_bytes is not None:
            datagram_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
        datagram_socket.bind(address)
    except BaseException:
        datagram_socket.close()
        raise
    return datagram_socket
