"""HTTP/1.1 client of a backend server that distinguishes started from not started requests.

All requests to a backend server go through it. A backend server must follow these rules:

- It frames each answer by `content-length` or chunks; an answer that ends by closing the
  connection is not accepted, because a truncated one can't be detected.
- A 503 with the header `egretsill-not-run: 1` means that the request was not run and will not run
  later. `retry-after` is honoured, and `egretsill-draining: 1` means that the server is draining.
- Closing the connection cancels the request.
- The request header `egretsill-deadline-milliseconds` is the time left until the deadline.
- If operators set `Bounds.subscription_silence_seconds`, a subscription's answer carries data (for
  example an empty line) at least that often. Without the bound, TCP keep-alive detects a lost
  connection.
"""

from __future__ import annotations

from collections.abc import Callable

from ..configuration import Address
from ..outcomes import UnknownReason
from ..timing import TimerService
from ._backend_call import AnswerSink, BackendCall, BackendRequest, BodySource, Bounds
from ._backend_connection import BackendConnection, connect
from ._exceptions import BackendFailed, BackendNotRun, BackendUnreachable
from ._silence import bounded

REAP_INTERVAL_SECONDS = 5.0


class BackendClient:
    """Sends requests to one backend server.

    Args:
        address: its HTTP/1.1 endpoint.
        timer: the timer service for all timeouts.
        bounds: the timeouts.
    """

    def __init__(self, address: Address, timer: TimerService, bounds: Bounds | None = None) -> None:
        self._address = address
        self._timer = timer
        self._bounds = bounds or Bounds()
        self._idle: list[BackendConnection] = []
        timer.subscribe(REAP_INTERVAL_SECONDS, self._reap)

    @property
    def idle_connections(self) -> int:
        """Return the number of idle connections in the pool."""
        return len(self._idle)

    async def call(
        self,
        request: BackendRequest,
        body: BodySource,
        sink: AnswerSink,
        on_start: Callable[[], None],
    ) -> int:
        """Run a request and return the status of its complete answer.

        A pooled connection may be stale, and then it is unknown whether the request ran. So only an
        idempotent request without a body uses one, and is retried on a new connection if the
        pooled one fails before any answer.

        `on_start` runs just before the first byte, on each connection, and may prevent the start by
        raising `StartVetoed`.

        Raises:
            BackendNotRun: it was not run on any connection; always one of the subclasses.
            BackendFailed: it started, and its result is unknown.
            CallerGone: raised by the body source or the sink; the request is cancelled.
        """
        kept = self._take_idle() if request.idempotent and not request.has_body else None
        if kept is None:
            return await self._call_on_fresh(request, body, sink, on_start)
        call = BackendCall(kept, request, body, sink, self._timer, self._bounds)
        try:
            return await self._run(call, on_start)
        except BackendFailed as error:
            if call.answer_begun or error.reason is not UnknownReason.BACKEND_LOST:
                raise
            lost = error
        try:
            return await self._call_on_fresh(request, body, sink, on_start)
        except BackendNotRun as error:
            # It was not run on the new connection, but may have run on the pooled one.
            raise lost from error

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _call_on_fresh(
        self,
        request: BackendRequest,
        body: BodySource,
        sink: AnswerSink,
        on_start: Callable[[], None],
    ) -> int:
        connection = await self._connect()
        call = BackendCall(connection, request, body, sink, self._timer, self._bounds)
        return await self._run(call, on_start)

    async def _run(self, call: BackendCall, on_start: Callable[[], None]) -> int:
        try:
            return await call.run(on_start)
        finally:
            self._return_to_pool(call.connection)

    async def _connect(self) -> BackendConnection:
        with bounded(self._timer, self._bounds.connect_seconds):
            return await connect(self._address)
        raise BackendUnreachable(self._address, "timeout")

    def _take_idle(self) -> BackendConnection | None:
        self._reap(self._timer.now)
        return self._idle.pop() if self._idle else None

    def _return_to_pool(self, connection: BackendConnection) -> None:
        if not connection.reusable or len(self._idle) >= self._bounds.idle_connections:
            connection.close()
            return
        connection.start_next_cycle()
        connection.idle_since = self._timer.now
        self._idle.append(connection)

    def _reap(self, now: float) -> None:
        fresh = [each for each in self._idle if now - each.idle_since < self._bounds.idle_seconds]
        for each in self._idle:
            if each not in fresh:
                each.close()
        self._idle = fresh
