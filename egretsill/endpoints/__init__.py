"""Addresses and sockets; depends only on the standard library."""

from ._address import (
    Address,
    format_ipv4,
    is_port,
    is_unicast_ipv4,
    parse_ipv4,
    parse_port,
)
from ._datagram_socket import SOCKET_BUFFER_BYTES, open_datagram_socket
from ._errors import error_name
from ._stream_socket import bind_stream_socket

__all__ = [
    "Address",
    "SOCKET_BUFFER_BYTES",
    "bind_stream_socket",
    "error_name",
    "format_ipv4",
    "is_port",
    "is_unicast_ipv4",
    "open_datagram_socket",
    "parse_ipv4",
    "parse_port",
]
