"""Stand-in backend server that follows the backend contract or breaks it as configured.

Pages:

- `GET /health`: 200 `{"status": "ok"}` or 503 `{"status": "draining"}`.
- `GET /load`: `{"running": N, "slots": N, "subscriptions": N}`, delayed or wrong as configured.
- `GET /counts`: the counters. `POST /control`: sets behaviour attributes from a JSON object.
- `GET /subscriptions…?from=R&count=N`: one JSON line for each revision above R, at most N.
- `POST` and `PUT`: reads the complete body and answers with its length and SHA-256 digest.
- any other `GET`: one JSON object with the path and the marker of the request.

Request headers: `x-request-marker` identifies the request in the counts, `x-intended-service` names
the service it was sent to, `x-weight` scales its service time.
"""

from __future__ import annotations

import json
import math
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import trio

from ._backend_behaviour import BackendBehaviour, BackendCounts, Fault
from ._backend_server_connection import ServerConnection

__all__ = ["BackendBehaviour", "BackendCounts", "BackendServer", "Fault"]

GARBAGE = b"\x00\x01 garbage \xff\xfe\r\n\r\n"
SHED_HEADERS = ((b"egretsill-not-run", b"1"), (b"retry-after", b"1"))


class BackendServer:
    """One backend server of one service, run in the current trio loop."""

    def __init__(self, service: str, behaviour: BackendBehaviour | None = None) -> None:
        self.behaviour = behaviour or BackendBehaviour()
        self.counts = BackendCounts()
        self._service = service
        self._revision = 0
        self._revision_published = trio.Event()
        self._slot_freed = trio.Event()
        self._waiting = 0
        self._started_at = trio.current_time()
        self._drain_started_at: float | None = None
        self._load_page: tuple[float, dict[str, int]] = (-math.inf, {})

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self._service

    @property
    def revision(self) -> int:
        """Return the highest revision published."""
        return self._revision

    def publish(self) -> int:
        """Send a new revision to all subscribers and return its number."""
        self._revision += 1
        self._revision_published.set()
        self._revision_published = trio.Event()
        return self._revision

    def drain(self) -> None:
        """Report draining on the health page and time the request starts that follow."""
        self.behaviour.draining = True
        if self._drain_started_at is None:
            self._drain_started_at = trio.current_time()

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; reports the bound port, for a `port` of 0."""
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound: int = listeners[0].socket.getsockname()[1]
        task_status.started(bound)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._publish_regularly)
            await trio.serve_listeners(self.serve_connection, listeners, handler_nursery=nursery)

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one connection."""
        connection = ServerConnection(stream)
        try:
            while await self._serve_request(connection):
                connection.http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _publish_regularly(self) -> None:
        while True:
            await trio.sleep(self.behaviour.revision_seconds or 1.0)
            if self.behaviour.revision_seconds:
                self.publish()

    async def _serve_request(self, connection: ServerConnection) -> bool:
        event = await connection.next_event()
        if not isinstance(event, h11.Request):
            return False
        path = event.target.decode()
        match urlsplit(path).path:
            case "/health":
                await self._answer_health(connection)
            case "/load":
                await connection.send_json(200, self._sample_load())
            case "/counts":
                await connection.send_json(200, self.counts.to_json())
            case "/control":
                await self._apply_control(connection)
            case _:
                await self._serve_work(connection, event, path)
        return connection.http.our_state is h11.DONE and connection.http.their_state is h11.DONE

    async def _answer_health(self, connection: ServerConnection) -> None:
        draining = self.behaviour.draining
        lag = self.behaviour.health_lag_seconds
        if (
            draining
            and self._drain_started_at is not None
            and trio.current_time() < self._drain_started_at + lag
        ):
            draining = False
        if draining:
            await connection.send_json(503, {"status": "draining"})
        else:
            await connection.send_json(200, {"status": "ok"})

    def _sample_load(self) -> dict[str, int]:
        sampled_at, page = self._load_page
        if trio.current_time() - sampled_at >= self.behaviour.load_lag_seconds:
            page = {
                "running": round(self.counts.running * self.behaviour.load_factor),
                "slots": self.behaviour.slots,
                "subscriptions": self.counts.subscriptions,
            }
            self._load_page = (trio.current_time(), page)
        return page

    async def _apply_control(self, connection: ServerConnection) -> None:
        body = await connection.receive_body()
        try:
            values = json.loads(body)
            self.behaviour.change(values)
        except (ValueError, AttributeError) as error:
            await connection.send_json(400, {"error": str(error)})
            return
        if self.behaviour.draining:
            self.drain()
        await connection.send_json(200, {"status": "changed"})

    async def _serve_work(
        self, connection: ServerConnection, request: h11.Request, path: str
    ) -> None:
        headers = {name.decode(): value.decode() for name, value in request.headers}
        subscription = path.startswith("/subscriptions")
        full = not subscription and self._waiting >= self.behaviour.waiting
        if self.behaviour.shedding or full:
            self.counts.shed += 1
            drained = ((b"egretsill-draining", b"1"),) if self.behaviour.draining else ()
            await connection.send_json(503, {"status": "not run"}, (*SHED_HEADERS, *drained))
            return
        self._count_start(request.method.decode(), headers)
        finished = False
        try:
            if subscription:
                finished = await self._run_subscription(connection, path)
            else:
                finished = await self._run_short_request(connection, request, path, headers)
        finally:
            self.counts.finished += finished
            self.counts.cancelled += not finished

    def _count_start(self, method: str, headers: dict[str, str]) -> None:
        self.counts.starts_by_method[method] += 1
        if "x-request-marker" in headers:
            self.counts.starts[headers["x-request-marker"]] += 1
        if headers.get("x-intended-service", self._service) != self._service:
            self.counts.misdirected += 1
        if self._drain_started_at is not None:
            since = trio.current_time() - self._drain_started_at
            self.counts.last_start_after_drain_seconds = since

    async def _run_short_request(
        self,
        connection: ServerConnection,
        request: h11.Request,
        path: str,
        headers: dict[str, str],
    ) -> bool:
        weight = float(headers.get("x-weight", "1"))
        answer: dict[str, Any] = {"service": self._service, "path": path}
        answer["marker"] = headers.get("x-request-marker", "")
        await self._take_slot()
        try:
            if request.method in (b"POST", b"PUT"):
                answer |= await connection.digest_body()
            if not await connection.stays_open_for(self._service_time_seconds(weight)):
                return False
            if not await self._send_answer(connection, answer):
                return False
            self.counts.weight_done += weight
            return True
        finally:
            self._free_slot()

    def _service_time_seconds(self, weight: float) -> float:
        behaviour = self.behaviour
        seconds = behaviour.seconds_per_weight * weight
        if behaviour.fault is Fault.SLOW:
            seconds *= behaviour.slow_factor
        if trio.current_time() - self._started_at < behaviour.cold_seconds:
            seconds *= behaviour.cold_factor
        return seconds

    async def _take_slot(self) -> None:
        self._waiting += 1
        try:
            while self.counts.running >= self.behaviour.slots:
                await self._slot_freed.wait()
        finally:
            self._waiting -= 1
        self.counts.running += 1
        self.counts.most_running = max(self.counts.most_running, self.counts.running)

    def _free_slot(self) -> None:
        self.counts.running -= 1
        self._slot_freed.set()
        self._slot_freed = trio.Event()

    async def _send_answer(self, connection: ServerConnection, answer: dict[str, Any]) -> bool:
        """Send the answer or simulate the fault; return whether the answer was sent completely."""
        match self.behaviour.fault:
            case Fault.SWALLOW:
                await connection.stays_open_for(math.inf)
                return False
            case Fault.GARBAGE:
                await connection.stream.send_all(GARBAGE)
                return False
            case Fault.CUT:
                await connection.send_cut_answer(answer)
                return False
            case _:
                await connection.send_json(200, answer)
                return True

    async def _run_subscription(self, connection: ServerConnection, path: str) -> bool:
        query = parse_qs(urlsplit(path).query)
        sent = int(query.get("from", [str(self._revision)])[0])
        last = sent + int(query["count"][0]) if "count" in query else None
        await connection.send_head(200, ((b"transfer-encoding", b"chunked"),))
        self.counts.subscriptions += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.cancel_when_closed, nursery.cancel_scope)
                while last is None or sent < last:
                    sent = await self._send_new_revisions(connection, sent, last)
                await connection.end_answer()
                nursery.cancel_scope.cancel()
        finally:
            self.counts.subscriptions -= 1
        return connection.http.our_state is h11.DONE

    async def _send_new_revisions(
        self, connection: ServerConnection, sent: int, last: int | None
    ) -> int:
        match self.behaviour.fault:
            case Fault.SWALLOW:
                await trio.sleep_forever()
            case Fault.CUT:
                await trio.aclose_forcefully(connection.stream)
        if sent >= self._revision:
            with trio.move_on_after(self.behaviour.heartbeat_seconds):
                await self._revision_published.wait()
        if sent >= self._revision:
            await connection.send_data(b"\n")
            return sent
        end = self._revision if last is None else min(self._revision, last)
        for revision in range(sent + 1, end + 1):
            line = json.dumps({"service": self._service, "revision": revision})
            await connection.send_data(line.encode() + b"\n")
        return end
