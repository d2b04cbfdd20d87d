"""Sockets of a process, bound before its libraries are loaded.

Loading the libraries takes some tenths of a second. Packets of callers and peers in that time wait
in the socket buffers; otherwise they would be lost and sent again only after a timeout. TCP
endpoints are reserved in the same step, so that no outgoing connection, of this process or another
one, gets their ports meanwhile.
"""

from __future__ import annotations

import socket
from collections.abc import Iterable
from dataclasses import dataclass

from ..endpoints import (
    SOCKET_BUFFER_BYTES,
    Address,
    bind_stream_socket,
    open_datagram_socket,
)
from ._settings import NodeSettings


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
        OSError: if a UDP endpoint can't be bound; no socket is left open then.
    """
    packets = settings.packets if settings.agent is None else settings.agent.outbound
    tunnel = Address(settings.host, settings.tunnel_port)
    heartbeats = Address(settings.host, settings.gossip_port)
    bound = _bind_all((packets, tunnel, heartbeats))
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


def _bind_all(addresses: Iterable[Address]) -> list[socket.socket]:
    bound: list[socket.socket] = []
    try:
        for address in addresses:
            bound.append(open_datagram_socket(address, SOCKET_BUFFER_BYTES, SOCKET_BUFFER_BYTES))
    except BaseException:
        for each in bound:
            each.close()
        raise
    return bound
