"""Admin port that serves metrics, state and health over HTTP/1.1.

The number of connections, the size of a request and the time that it may take are limited. Each
connection carries one request.
"""

from __future__ import annotations

import enum
import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias, Union

import h11
import trio

from ..supervision import Connections, Part, Supervisor
from ..wire import Address, StreamServer
from ._health import HealthState
from ._metrics import Metrics

MAXIMUM_CONNECTIONS = 16
MAXIMUM_REQUEST_BYTES = 8_192
READ_BYTES = 4_096
REQUEST_TIMEOUT_SECONDS = 5.0
RESPONSE_TIMEOUT_SECONDS = 5.0

JSON: TypeAlias = Union[bool, int, float, str, "Sequence[JSON]", "Mapping[str, JSON]", None]

_JSON_HEADERS = {"Content-Type": "application/json"}
_VERSIONS = frozenset({b"1.0", b"1.1"})
_PATHS = frozenset({"/metrics", "/status", "/health"})


class AdminRefusal(enum.Enum):
    """Why a connection to the admin port was closed without serving its request."""

    TOO_MANY = "too-many-connections"
    SLOW = "slow"
    MALFORMED = "malformed"
    DISCONNECTED = "gone"


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    headers: Mapping[str, str]
    body: bytes


class AdminServer:
    """Serves `/metrics`, `/status` and `/health`.

    Args:
        server: serves the TCP endpoint.
        status: returns the state of this process for `/status`.
        health: returns the health of this process for `/health`.
        supervisor: contains unexpected exceptions of connections and pages.
    """

    def __init__(
        self,
        server: StreamServer,
        metrics: Metrics,
        status: Callable[[], Mapping[str, JSON]],
        health: Callable[[], HealthState],
        supervisor: Supervisor,
    ) -> None:
        self._server = server
        self._metrics = metrics
        self._status = status
        self._health = health
        self._supervisor = supervisor
        self._connections = Connections(
            Part.ADMIN,
            MAXIMUM_CONNECTIONS,
            supervisor,
            lambda: self._count_refusal(AdminRefusal.TOO_MANY),
        )

    async def run(self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; `task_status` reports the endpoint after one attempt."""
        await self._server.run(self._serve, task_status)

    async def _serve(self, stream: trio.abc.HalfCloseableStream) -> None:
        await self._connections.serve(stream, lambda: self._serve_connection(stream))

    async def _serve_connection(self, stream: trio.abc.HalfCloseableStream) -> None:
        try:
            await self._serve_request(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._count_refusal(AdminRefusal.DISCONNECTED)
        except h11.ProtocolError:
            self._count_refusal(AdminRefusal.MALFORMED)

    async def _serve_request(self, stream: trio.abc.HalfCloseableStream) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAXIMUM_REQUEST_BYTES)
        request: h11.Request | None = None
        with trio.move_on_after(REQUEST_TIMEOUT_SECONDS) as receive_scope:
            try:
                request = await _read_request(stream, connection)
            except h11.RemoteProtocolError as error:
                self._count_refusal(AdminRefusal.MALFORMED)
                response = _Response(error.error_status_hint, {}, b"")
                await self._send(stream, connection, response)
                return
        if receive_scope.cancelled_caught:
            self._count_refusal(AdminRefusal.SLOW)
            return
        if request is None:
            self._count_refusal(AdminRefusal.DISCONNECTED)
            return
        response = self._respond(request)
        if not await self._send(stream, connection, response):
            self._count_refusal(AdminRefusal.SLOW)

    async def _send(
        self, stream: trio.abc.HalfCloseableStream, connection: h11.Connection, response: _Response
    ) -> bool:
        """Send a response and return whether that succeeded within the timeout."""
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return True
        headers = [
            *response.headers.items(),
            ("Content-Length", str(len(response.body))),
            ("Connection", "close"),
        ]
        data = connection.send(h11.Response(status_code=response.status, headers=headers)) or b""
        body = connection.send(h11.Data(data=response.body)) or b""
        end = connection.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(RESPONSE_TIMEOUT_SECONDS) as send_scope:
            await stream.send_all(data + body + end)
            await stream.send_eof()
        return not send_scope.cancelled_caught

    def _respond(self, request: h11.Request) -> _Response:
        path = request.target.split(b"?", 1)[0].decode("ascii", "replace")
        response = self._route(request, path)
        path_label = path if path in _PATHS else "other"
        self._metrics.admin_requests.increment(path_label, str(response.status))
        if request.method == b"HEAD":
            return _Response(response.status, response.headers, b"")
        return response

    def _route(self, request: h11.Request, path: str) -> _Response:
        if request.http_version not in _VERSIONS:
            return _json_response(505, {"error": "only HTTP/1.0 and HTTP/1.1"})
        if path not in _PATHS:
            return _json_response(404, {"error": "no such page", "pages": sorted(_PATHS)})
        if request.method not in (b"GET", b"HEAD"):
            return _json_response(405, {"error": "only GET and HEAD"})
        try:
            return self._render_page(request, path)
        except Exception as error:
            self._supervisor.note_failure(Part.ADMIN, error)
            return _json_response(500, {"error": type(error).__name__})

    def _render_page(self, request: h11.Request, path: str) -> _Response:
        if path == "/metrics":
            accept = [
                value.decode("ascii", "replace")
                for name, value in request.headers
                if name == b"accept"
            ]
            body, headers = self._metrics.render(accept)
            return _Response(200, headers, body)
        if path == "/status":
            return _json_response(200, self._status())
        state = self._health()
        problems = [each.value for each in state.problems]
        return _json_response(
            200 if state.healthy else 503, {"healthy": state.healthy, "problems": problems}
        )

    def _count_refusal(self, reason: AdminRefusal) -> None:
        self._metrics.admin_connections_refused.increment(reason)


async def _read_request(
    stream: trio.abc.HalfCloseableStream, connection: h11.Connection
) -> h11.Request | None:
    """Return the head of the request, or None if the client disconnected first.

    Raises:
        h11.RemoteProtocolError: if the data is not a valid request or is too large.
    """
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        connection.receive_data(bytes(await stream.receive_some(READ_BYTES)))


def _json_response(status: int, content: Mapping[str, JSON]) -> _Response:
    return _Response(status, _JSON_HEADERS, json.dumps(content).encode() + b"\n")
