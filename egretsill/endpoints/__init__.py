"""Addresses and UDP sockets; depends only on the standard library."""

from ._address import Address, dotted, numbered
from ._datagram_socket import SOCKET_BUFFER_BYTES, open_datagram_socket

__all__ = [
    "Address",
    "SOCKET_BUFFER_BYTES",
    "dotted",
    "numbered",
    "open_datagram_socket",
]
