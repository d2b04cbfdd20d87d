"""Framing of typed messages between processes, UDP sockets, and reads of small pages."""

from ..endpoints import SOCKET_BUFFER_BYTES, Address, open_datagram_socket
from ._batches import (
    BATCH_DATAGRAMS,
    MAXIMUM_DATAGRAM_BYTES,
    read_batches,
)
from ._codec import Codec, MalformedMessage, StreamDecoder
from ._datagram_socket import close_datagram_socket
from ._http_connection import HttpResponse, PersistentHttpConnection
from ._http_get import HttpPage, PageUnavailable, get_page
from ._stream_server import EndpointObserver, StreamServer

__all__ = [
    "BATCH_DATAGRAMS",
    "HttpResponse",
    "PersistentHttpConnection",
    "MAXIMUM_DATAGRAM_BYTES",
    "SOCKET_BUFFER_BYTES",
    "read_batches",
    "Address",
    "Codec",
    "EndpointObserver",
    "HttpPage",
    "MalformedMessage",
    "PageUnavailable",
    "StreamDecoder",
    "StreamServer",
    "close_datagram_socket",
    "get_page",
    "open_datagram_socket",
]
