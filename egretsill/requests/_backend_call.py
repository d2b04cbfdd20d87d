"""One request on one connection to a backend server, streaming in both directions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import h11
import trio

from ..configuration import RequestShape
from ..outcomes import UnknownReason
from ..timing import TimerService
from ._backend_connection import BackendConnection
from ._exceptions import BackendFailed, BackendNotRun, BackendShed, RequestInvalid
from ._exchange import CallerGone
from ._silence import SilenceWatch

NOT_RUN_HEADER = b"egretsill-not-run"
DRAINING_HEADER = b"egretsill-draining"
DEADLINE_HEADER = b"egretsill-deadline-milliseconds"
DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAXIMUM_RETRY_AFTER_SECONDS = 60.0
SHEDDING_STATUS = 503

BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
BODILESS_STATUSES = frozenset({204, 304})
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        NOT_RUN_HEADER,
        DRAINING_HEADER,
        DEADLINE_HEADER,
    }
)

Headers = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request as it is sent to the backend server.

    Attributes:
        authority: value of the host header.
        deadline: in seconds on the timer service, or None.
    """

    method: str
    path: str
    authority: str
    headers: tuple[tuple[bytes, bytes], ...]
    idempotent: bool
    shape: RequestShape
    deadline: float | None = None

    @property
    def has_body(self) -> bool:
        """Return whether a body, possibly empty, is sent with the request."""
        if any(name == b"content-length" for name, _ in self.headers):
            return True
        return self.method not in BODILESS_METHODS


@dataclass(frozen=True, slots=True)
class Bounds:
    """Timeouts and pool size of backend connections.

    Attributes:
        connect_seconds: timeout for a new connection.
        silence_seconds: longest time without progress while the backend server must send next.
        subscription_silence_seconds: the same inside a subscription's answer; None leaves it to
            TCP keep-alive.
        idle_seconds: idle time after which a connection is closed.
        idle_connections: largest number of idle connections kept.
    """

    connect_seconds: float = 2.0
    silence_seconds: float = 30.0
    subscription_silence_seconds: float | None = None
    idle_seconds: float = 10.0
    idle_connections: int = 8


class BodySource(Protocol):
    """Source of the request's body."""

    async def receive_body(self) -> bytes | None:
        """Return the next piece, or None at the end."""


class AnswerSink(Protocol):
    """Destination of the answer, with backpressure."""

    async def send_head(self, status: int, headers: Headers) -> None:
        """Accept the head of the answer."""

    async def send_data(self, data: bytes) -> None:
        """Accept a piece of the answer."""


class BackendCall:
    """Runs one request on a connection, which it uses exclusively.

    Attributes:
        connection: the connection.
        answer_begun: whether the head of an answer was passed to the sink.
    """

    def __init__(
        self,
        connection: BackendConnection,
        request: BackendRequest,
        body: BodySource,
        sink: AnswerSink,
        timer: TimerService,
        bounds: Bounds,
    ) -> None:
        self.connection = connection
        self.answer_begun = False
        self._request = request
        self._body = body
        self._sink = sink
        self._timer = timer
        self._bounds = bounds
        self._error: Exception | None = None
        self._status = 0

    async def run(self, on_start: Callable[[], None]) -> int:
        """Run the request and return the status of its complete answer.

        Raises:
            BackendNotRun: it was not run.
            BackendFailed: it started, and its result is unknown.
            CallerGone: raised by the body source or the sink.
        """
        head = self._encode_head()
        on_start()
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            self._watch = SilenceWatch(self._timer, self._bounds.silence_seconds, scope)
            nursery.start_soon(self._guard, lambda: self._send_request(head), scope)
            await self._guard(self._read_answer, scope)
            scope.cancel()
        self._watch.close()
        if self._error is not None:
            raise self._error
        if self._watch.expired:
            raise BackendFailed(UnknownReason.BACKEND_LOST)
        return self._status

    async def _guard(self, step: Callable[[], Awaitable[None]], scope: trio.CancelScope) -> None:
        """Run one direction; its failure ends both, and `run` raises the first one."""
        try:
            await step()
        except (BackendFailed, BackendNotRun, CallerGone) as error:
            self._error = self._error or error
            scope.cancel()

    def _encode_head(self) -> bytes:
        request = self._request
        headers = [(b"host", request.authority.encode())]
        headers += [each for each in request.headers if each[0] not in HOP_BY_HOP_HEADERS]
        if request.has_body and not any(name == b"content-length" for name, _ in headers):
            headers.append((b"transfer-encoding", b"chunked"))
        if request.deadline is not None:
            left = max(request.deadline - self._timer.now, 0.0)
            headers.append((DEADLINE_HEADER, str(int(left * 1000)).encode()))
        try:
            event = h11.Request(method=request.method, target=request.path, headers=headers)
            return self.connection.encode(event)
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise RequestInvalid(type(error).__name__) from error

    async def _send_request(self, head: bytes) -> None:
        try:
            await self.connection.send(head)
            while self._request.has_body and (data := await self._next_body()) is not None:
                await self.connection.send(self.connection.encode(h11.Data(data=data)))
                self._watch.touch()
            await self.connection.send(self.connection.encode(h11.EndOfMessage()))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The backend server may have answered before the body's end, so the answer is decisive.
            return
        except h11.LocalProtocolError as error:
            # The caller's body does not match its content-length.
            raise CallerGone from error

    async def _next_body(self) -> bytes | None:
        self._watch.hold()
        try:
            return await self._body.receive_body()
        finally:
            self._watch.release()

    async def _read_answer(self) -> None:
        while True:
            event = await self.connection.receive()
            self._watch.touch()
            match event:
                case h11.Response():
                    await self._take_head(event)
                case h11.Data():
                    await self._pass_to_sink(self._sink.send_data(bytes(event.data)))
                case h11.EndOfMessage():
                    return
                case h11.InformationalResponse():
                    continue
                case _:
                    raise BackendFailed(UnknownReason.BACKEND_MALFORMED)

    async def _take_head(self, response: h11.Response) -> None:
        headers = dict(response.headers)
        if response.status_code == SHEDDING_STATUS and NOT_RUN_HEADER in headers:
            raise BackendShed(_retry_after_seconds(headers), DRAINING_HEADER in headers)
        if not self._is_framed(response.status_code, headers):
            raise BackendFailed(UnknownReason.BACKEND_MALFORMED)
        kept = [each for each in response.headers if each[0] not in HOP_BY_HOP_HEADERS]
        self._status = response.status_code
        self.answer_begun = True
        await self._pass_to_sink(self._sink.send_head(self._status, kept))
        if self._request.shape is RequestShape.SUBSCRIPTION:
            self._watch.change(self._bounds.subscription_silence_seconds)

    def _is_framed(self, status: int, headers: dict[bytes, bytes]) -> bool:
        """Return whether a complete answer can be distinguished from a truncated one."""
        if self._request.method == "HEAD" or status in BODILESS_STATUSES:
            return True
        return b"content-length" in headers or b"transfer-encoding" in headers

    async def _pass_to_sink(self, delivery: Awaitable[None]) -> None:
        self._watch.hold()
        try:
            await delivery
        finally:
            self._watch.release()


def _retry_after_seconds(headers: dict[bytes, bytes]) -> float:
    text = headers.get(b"retry-after", b"")
    if not text.isdigit():
        return DEFAULT_RETRY_AFTER_SECONDS
    return min(float(text), MAXIMUM_RETRY_AFTER_SECONDS)
