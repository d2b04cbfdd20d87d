"""The only way to a backend server: HTTP/1.1 requests that tell started from not started.

What a backend server has to keep to:

- It frames each answer by `content-length` or chunks; an answer that ends by closing the
  connection is not accepted, as a cut of it can't be seen.
- A 503 with the header `egretsill-not-run: 1` says that the request was not run and never will be.
  `retry-after` is honoured, and `egretsill-draining: 1` says that it is leaving.
- Closing the connection cancels the request.
- `egretsill-deadline-milliseconds` is the time that is left for the request.
- A subscription's answer carries something (an empty line, say) at least every
  `Bounds.subscription_silence_seconds` if the operators set that bound; a path that has lost the
  connection is found by TCP keep-alive without it.
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
    """Speaks to one backend server.

    Args:
        address: its HTTP/1.1 endpoint.
        timer: bounds every wait.
        bounds: how long each wait may be.
    """

    def __init__(self, address: Address, timer: TimerService, bounds: Bounds | None = None) -> None:
        self._address = address
        self._timer = timer
        self._bounds = bounds or Bounds()
        self._idle: list[BackendConnection] = []
        timer.subscribe(REAP_INTERVAL_SECONDS, self._reap)

    @property
    def idle_connections(self) -> int:
        """Return how many idle connections are kept."""
        return len(self._idle)

    async def call(
        self,
        request: BackendRequest,
        body: BodySource,
        sink: AnswerSink,
        on_start: Callable[[], None],
    ) -> int:
        """Run a request and return the status of its whole answer.

        A kept connection may turn out to be stale, and then nobody knows whether the request ran.
        So only an idempotent request without a body goes over one, and is sent again on a fresh
        connection if that fails before any answer.

        `on_start` runs directly before the first byte, on each connection, and may veto by raising
        `StartVetoed`.

        Raises:
            BackendNotRun: it was not run over any connection, in one of the subclasses.
            BackendFailed: it started and its end is unknown.
            CallerGone: the body source or the sink said so; the request is cancelled.
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
            # That it was not run now says nothing of the kept connection, over which it may have.
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
            self._give_back(call.connection)

    async def _connect(self) -> BackendConnection:
        with bounded(self._timer, self._bounds.connect_seconds):
            return await connect(self._address)
        raise BackendUnreachable(self._address, "timeout")

    def _take_idle(self) -> BackendConnection | None:
        self._reap(self._timer.now)
        return self._idle.pop() if self._idle else None

    def _give_back(self, connection: BackendConnection) -> None:
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
