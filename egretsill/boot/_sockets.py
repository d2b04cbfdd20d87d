"""Sockets of a process, bound before its libraries are loaded.

Loading the libraries takes some tenths of a second. Packets of callers and peers in that time wait
in the socket buffers; otherwise they would be lost and sent again only after a timeout. TCP
endpoints are reserved in the same step, so that no outgoing connection, of this process or another
one, gets their ports meanwhile.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Mapping
from dataclasses import dataclass

from ..endpoints import (
    SOCKET_BUFFER_BYTES,
    Address,
    bind_stream_socket,
    open_datagram_socket,
)
from ._settings import NodeSettings

# The address is held by someone else, isn't configured yet, or the system is short of resources.
_TEMPORARY_ERRORS = frozenset(
    {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


class BindFailed(Exception):
    """A UDP endpoint, without which a process can't serve, could not be bound.

    Attributes:
        endpoint: what it is used for.
        address: its address.
        is_temporary: whether it may be possible later.
    """

    def __init__(self, endpoint: str, address: Address, error: OSError) -> None:
        super().__init__(f"{endpoint} address {address} can't be bound: {error.strerror}")
        self.endpoint = endpoint
        self.address = address
        self.is_temporary = error.errno in _TEMPORARY_ERRORS


@dataclass(frozen=True, slots=True)
class NodeSockets:
    """Bound, non-blocking sockets; those of TCP don't listen yet.

    Attributes:
        packets: receives a balancer's packets from the fabric, or an agent's from its target.
        tunnel: receives tunneled packets from other processes.
        heartbeats: receives heartbeats from other processes.
        content: TCP, serves content to other processes; None if its address can't be bound yet.
        health: TCP, serves the health page; None as for `content`, or if it isn't configured.
        metrics: TCP, serves the metrics page; None as for `health`.
    """

    packets: socket.socket
    tunnel: socket.socket
    heartbeats: socket.socket
    content: socket.socket | None = None
    health: socket.socket | None = None
    metrics: socket.socket | None = None


def bind_node_sockets(settings: NodeSettings) -> NodeSockets:
    """Bind the endpoints of a process.

    Raises:
        BindFailed: if a UDP endpoint can't be bound; no socket is left open then.
    """
    packets = settings.packets if settings.agent is None else settings.agent.outbound
    tunnel = Address(settings.host, settings.tunnel_port)
    heartbeats = Address(settings.host, settings.gossip_port)
    bound = _bind_all({"packets": packets, "tunnel": tunnel, "heartbeats": heartbeats})
    # Content is served on the TCP port of the tunnel's number.
    listening = (tunnel, settings.health, settings.metrics)
    reserved = [None if each is None else _reserve(each) for each in listening]
    return NodeSockets(*bound, *reserved)


def _reserve(address: Address) -> socket.socket | None:
    try:
        return bind_stream_socket(address)
    except OSError:
        # Its server reports this, and tries again.
        return None


def _bind_all(addresses: Mapping[str, Address]) -> list[socket.socket]:
    bound: list[socket.socket] = []
    try:
        for endpoint, address in addresses.items():
            bound.append(_bind(endpoint, address))
    except BaseException:
        for each in bound:
            each.close()
        raise
    return bound


def _bind(endpoint: str, address: Address) -> socket.socket:
    try:
        return open_datagram_socket(address, SOCKET_BUFFER_BYTES, SOCKET_BUFFER_BYTES)
    except OSError as error:
        raise BindFailed(endpoint, address, error) from error
