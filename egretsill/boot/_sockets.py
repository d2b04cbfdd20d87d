"""The UDP sockets of a process, bound before its libraries are loaded.

Loading them takes some tenths of a second. What callers and peers send in that time waits in the
sockets instead of being lost, so that it isn't sent again only after a time-out.
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
        packets: of a balancer, packets from the fabric; of an agent, packets from its target.
        tunnel: carried packets of other processes.
        heartbeats: heartbeats of other processes.
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
