"""One HTTP/1.1 connection to a backend server."""

from __future__ import annotations

import socket

import h11
import trio

from ..configuration import Address
from ..outcomes import UnknownReason
from ._exceptions import BackendFailed, BackendUnreachable

RECEIVE_BYTES = 65_536
MAXIMUM_HEAD_BYTES = 65_536
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 5
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MILLISECONDS = 20_000


async def connect(address: Address) -> BackendConnection:
    """Open a new connection.

    Raises:
        BackendUnreachable: if it could not be opened.
    """
    try:
        stream = await trio.open_tcp_stream(address.host, address.port)
    except OSError as error:
        raise BackendUnreachable(address, type(error).__name__) from error
    _enable_keep_alive(stream)
    return BackendConnection(stream)


def _enable_keep_alive(stream: trio.SocketStream) -> None:
    """Let the kernel detect a path that drops all packets, in either direction."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS)


class BackendConnection:
    """Sends requests one after the other and reads their answers.

    Attributes:
        idle_since: when it was last returned to the pool, in seconds.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.idle_since = 0.0
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAXIMUM_HEAD_BYTES)

    @property
    def reusable(self) -> bool:
        """Return whether both messages are complete and both sides keep the connection open."""
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    def encode(self, event: h11.Request | h11.Data | h11.EndOfMessage) -> bytes:
        """Encode an event.

        Raises:
            h11.LocalProtocolError: if the event may not be sent now.
        """
        return self._http.send(event) or b""

    async def send(self, data: bytes) -> None:
        """Send bytes returned by `encode`.

        Raises:
            trio.BrokenResourceError: if the backend server has closed the connection.
        """
        await self._stream.send_all(data)

    async def receive(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the answer.

        Raises:
            BackendFailed: if the connection ended early or carried malformed data.
        """
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise BackendFailed(UnknownReason.BACKEND_MALFORMED) from error
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            await self._feed()

    def start_next_cycle(self) -> None:
        """Prepare the connection for its next request."""
        self._http.start_next_cycle()

    def close(self) -> None:
        """Close at once, which cancels a running request."""
        self._stream.socket.close()

    async def _feed(self) -> None:
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise BackendFailed(UnknownReason.BACKEND_LOST) from error
        if not data and self._http.their_state is not h11.DONE:
            raise BackendFailed(UnknownReason.BACKEND_LOST)
        self._http.receive_data(data)
