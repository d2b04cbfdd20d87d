"""Addresses and UDP sockets; depends only on the standard library."""

from ._address import (
    Address,
    format_ipv4,
    is_port,
    is_unicast_ipv4,
    parse_ipv4,
    parse_port,
)
from ._datagram_socket import SOCKET_BUFFER_BYTES, open_datagram_socket

__all__ = [
    "Address",
    "SOCKET_BUFFER_BYTES",
    "format_ipv4",
    "is_port",
    "is_unicast_ipv4",
    "open_datagram_socket",
    "parse_ipv4",
    "parse_port",
]
