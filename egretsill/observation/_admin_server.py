"""The admin port: metrics, state and health over HTTP/1.1.

Whatever arrives here is bounded: the connections, the size of a request, and the time that one may
take. Each connection carries one request.
"""

from __future__ import annotations

import enum
import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias, Union

import h11
import trio

from ..wire import Address
from ._health import HealthState
from ._metrics import Metrics

MAXIMUM_CONNECTIONS = 16
MAXIMUM_REQUEST_BYTES = 8_192
READ_BYTES = 4_096
REQUEST_SECONDS = 5.0
ANSWER_SECONDS = 5.0

JSON: TypeAlias = Union[bool, int, float, str, "Sequence[JSON]", "Mapping[str, JSON]", None]

_JSON_HEADERS = {"Content-Type": "application/json"}
_VERSIONS = frozenset({b"1.0", b"1.1"})
_PATHS = frozenset({"/metrics", "/status", "/health"})


class AdminRefusal(enum.Enum):
    """Why a connection to the admin port was closed without an answer to its request."""

    TOO_MANY = "too-many-connections"
    SLOW = "slow"
    MALFORMED = "malformed"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    headers: Mapping[str, str]
    body: bytes


class AdminServer:
    """Serves `/metrics`, `/status` and `/health`.

    Args:
        listen: TCP endpoint; port 0 takes any free one.
        status: returns the state of this process for `/status`.
        health: returns the health of this process for `/health`.
    """

    def __init__(
        self,
        listen: Address,
        metrics: Metrics,
        status: Callable[[], Mapping[str, JSON]],
        health: Callable[[], HealthState],
    ) -> None:
        self._listen = listen
        self._metrics = metrics
        self._status = status
        self._health = health
        self._connections = 0

    async def run(self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; starts with the endpoint that it listens on.

        Raises:
            OSError: if the endpoint can't be listened on.
        """
        listeners = await trio.open_tcp_listeners(self._listen.port, host=self._listen.host)
        bound = listeners[0].socket.getsockname()
        task_status.started(Address(bound[0], bound[1]))
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.abc.HalfCloseableStream) -> None:
        if self._connections >= MAXIMUM_CONNECTIONS:
            self._refuse(AdminRefusal.TOO_MANY)
            await trio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            await self._serve_one(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._refuse(AdminRefusal.GONE)
        except h11.ProtocolError:
            self._refuse(AdminRefusal.MALFORMED)
        finally:
            self._connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_one(self, stream: trio.abc.HalfCloseableStream) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAXIMUM_REQUEST_BYTES)
        request: h11.Request | None = None
        with trio.move_on_after(REQUEST_SECONDS) as reading:
            try:
                request = await _read_request(stream, connection)
            except h11.RemoteProtocolError as error:
                self._refuse(AdminRefusal.MALFORMED)
                answer = _Answer(error.error_status_hint, {}, b"")
                await self._send(stream, connection, answer)
                return
        if reading.cancelled_caught:
            self._refuse(AdminRefusal.SLOW)
            return
        if request is None:
            self._refuse(AdminRefusal.GONE)
            return
        answer = self._answer(request)
        if not await self._send(stream, connection, answer):
            self._refuse(AdminRefusal.SLOW)

    async def _send(
        self, stream: trio.abc.HalfCloseableStream, connection: h11.Connection, answer: _Answer
    ) -> bool:
        """Send an answer and return whether it was taken in time."""
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return True
        headers = [
            *answer.headers.items(),
            ("Content-Length", str(len(answer.body))),
            ("Connection", "close"),
        ]
        data = connection.send(h11.Response(status_code=answer.status, headers=headers)) or b""
        body = connection.send(h11.Data(data=answer.body)) or b""
        end = connection.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(ANSWER_SECONDS) as sending:
            await stream.send_all(data + body + end)
            await stream.send_eof()
        return not sending.cancelled_caught

    def _answer(self, request: h11.Request) -> _Answer:
        path = request.target.split(b"?", 1)[0].decode("ascii", "replace")
        answer = self._route(request, path)
        known = path if path in _PATHS else "other"
        self._metrics.admin_requests.increment(known, str(answer.status))
        if request.method == b"HEAD":
            return _Answer(answer.status, answer.headers, b"")
        return answer

    def _route(self, request: h11.Request, path: str) -> _Answer:
        if request.http_version not in _VERSIONS:
            return _json_answer(505, {"error": "only HTTP/1.0 and HTTP/1.1"})
        if path not in _PATHS:
            return _json_answer(404, {"error": "no such page", "pages": sorted(_PATHS)})
        if request.method not in (b"GET", b"HEAD"):
            return _json_answer(405, {"error": "only GET and HEAD"})
        try:
            return self._page(request, path)
        except Exception as error:  # A page that fails must not end the process.
            return _json_answer(500, {"error": type(error).__name__})

    def _page(self, request: h11.Request, path: str) -> _Answer:
        if path == "/metrics":
            accept = [
                value.decode("ascii", "replace")
                for name, value in request.headers
                if name == b"accept"
            ]
            body, headers = self._metrics.render(accept)
            return _Answer(200, headers, body)
        if path == "/status":
            return _json_answer(200, self._status())
        state = self._health()
        problems = [each.value for each in state.problems]
        return _json_answer(
            200 if state.healthy else 503, {"healthy": state.healthy, "problems": problems}
        )

    def _refuse(self, reason: AdminRefusal) -> None:
        self._metrics.admin_connections_refused.increment(reason)


async def _read_request(
    stream: trio.abc.HalfCloseableStream, connection: h11.Connection
) -> h11.Request | None:
    """Return the request's head, or None if the client went away first.

    Raises:
        h11.RemoteProtocolError: if what arrives is no request or too large.
    """
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        connection.receive_data(bytes(await stream.receive_some(READ_BYTES)))


def _json_answer(status: int, content: Mapping[str, JSON]) -> _Answer:
    return _Answer(status, _JSON_HEADERS, json.dumps(content).encode() + b"\n")
