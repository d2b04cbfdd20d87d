"""UDP sockets of a process, bound before its libraries are loaded.

Loading the libraries takes some tenths of a second. Packets of callers and peers in that time wait
in the socket buffers; otherwise they would be lost and sent again only after a timeout.
"""

from __future__ import annotations

import socket
from collections.abc import Iterable
from dataclasses import dataclass

from ..endpoints import SOCKET_BUFFER_BYTES, Address, open_datagram_socket
from ._settings import NodeSettings


@dataclass(frozen=True, slots=True)
class NodeSockets:
    """Bound, non-blocking UDP sockets.

    Attributes:
        packets: receives a balancer's packets from the fabric, or an agent's from its target.
        tunnel: receives tunneled packets from other processes.
        heartbeats: receives heartbeats from other processes.
    """

    packets: socket.socket
    tunnel: socket.socket
    heartbeats: socket.socket


def bind_node_sockets(settings: NodeSettings) -> NodeSockets:
    """Bind the UDP endpoints of a process.

    Raises:
        OSError: if one of them can't be bound; none is left open then.
    """
    packets = settings.packets if settings.agent is None else settings.agent.outbound
    tunnel = Address(settings.host, settings.tunnel_port)
    heartbeats = Address(settings.host, settings.gossip_port)
    return NodeSockets(*_bind_all((packets, tunnel, heartbeats)))


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
