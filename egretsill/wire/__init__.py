"""Framing of typed messages between processes, UDP sockets, and reads of small pages."""

from ._address import Address
from ._codec import Codec, MalformedMessage, StreamDecoder
from ._datagram_socket import close_datagram_socket, open_datagram_socket
from ._http_get import HttpPage, PageUnavailable, get_page

__all__ = [
    "Address",
    "Codec",
    "HttpPage",
    "MalformedMessage",
    "PageUnavailable",
    "StreamDecoder",
    "close_datagram_socket",
    "get_page",
    "open_datagram_socket",
]
