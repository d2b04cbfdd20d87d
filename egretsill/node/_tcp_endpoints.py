"""The TCP endpoints of a process, without which it can still serve packets."""

from __future__ import annotations

import socket
from collections.abc import Mapping, Sequence

from ..boot import NodeSettings, NodeSockets
from ..endpoints import Address
from ..observation import (
    EndpointOpened,
    EndpointStates,
    EndpointUnavailable,
    Journal,
    Metrics,
)
from ..wire import StreamServer


class TcpEndpoints:
    """Makes the server of each endpoint, and records when one is unavailable.

    Args:
        sockets: bound according to the settings; those for TCP belong to the servers.
    """

    def __init__(
        self, settings: NodeSettings, sockets: NodeSockets, metrics: Metrics, journal: Journal
    ) -> None:
        self._journal = journal
        self._states = EndpointStates(metrics, self._record)
        content = Address(settings.host, settings.tunnel_port)
        self._content = self._make_server("content", content, sockets.content)
        self._pages = [
            self._make_server(endpoint, address, reserved)
            for endpoint, address, reserved in (
                ("health", settings.health, sockets.health),
                ("metrics", settings.metrics, sockets.metrics),
            )
            if address is not None
        ]

    @property
    def content(self) -> StreamServer:
        """Return the server of content for peers."""
        return self._content

    @property
    def pages(self) -> Sequence[StreamServer]:
        """Return the servers of the pages for routers and operators."""
        return self._pages

    @property
    def states(self) -> Mapping[str, str]:
        """Return `open` or the name of the error by endpoint."""
        return self._states.page

    def _make_server(
        self, endpoint: str, address: Address, reserved: socket.socket | None
    ) -> StreamServer:
        return StreamServer(address, self._states.observer(endpoint, address), reserved)

    def _record(self, change: EndpointUnavailable | EndpointOpened) -> None:
        match change:
            case EndpointUnavailable(endpoint, address, error):
                self._journal.record(
                    "endpoint-unavailable", endpoint=endpoint, address=str(address), error=error
                )
            case EndpointOpened(endpoint, address):
                self._journal.record("endpoint-opened", endpoint=endpoint, address=str(address))
