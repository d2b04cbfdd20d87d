"""Performs the I/O that a gate decides on: links to requesters and calls to the backend server."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import TypeAlias

import trio

from ..configuration import Limits
from ..outcomes import RefusalReason, Refused, UnknownReason
from ..supervision import Part, Supervisor
from ..timing import ClockJump, TimerService
from ._backend_call import BackendRequest
from ._backend_client import BackendClient
from ._byte_window import WindowGap
from ._collaborators import RequestObserver
from ._exceptions import (
    BackendFailed,
    BackendNotRun,
    BackendShed,
    BackendUnreachable,
    StartVetoed,
)
from ._exchange import CallerGone
from ._gate import Gate
from ._gate_events import (
    Abort,
    BackendEnded,
    BoundsChanged,
    CloseLink,
    Follow,
    GateEffect,
    GateEvent,
    Launch,
    LinkLost,
    MessageArrived,
    Progress,
    Resumed,
    Send,
    Stopped,
    TimePassed,
)
from ._gate_request import PIECE_BYTES, AnswerWriter, GateRequest
from ._message_link import LinkBroken, MessageLink
from ._messages import End, Failed, Head, Ping, Refusal, RelayMessage, RequestId, Verdict
from ._request_link import GateEnd
from ._silence import SilenceWatch, bounded
from ._wakeup import Wakeup

TICK_SECONDS = 0.05
LINK_SILENCE_SECONDS = 6.0
MAXIMUM_PING_INTERVAL_SECONDS = 60.0

Headers: TypeAlias = Sequence[tuple[bytes, bytes]]


class GateRunner:
    """Drives one gate.

    Args:
        gate: the decision logic.
        timer: the timer service.
        backend: client of the backend server.
        observer: notified of starts, backend results and malformed data.
        supervisor: contains unexpected exceptions of single calls and effects.
    """

    def __init__(
        self,
        gate: Gate,
        timer: TimerService,
        backend: BackendClient,
        observer: RequestObserver,
        supervisor: Supervisor,
    ) -> None:
        self._gate = gate
        self._timer = timer
        self._backend = backend
        self._observer = observer
        self._supervisor = supervisor
        self._links: dict[int, GateEnd] = {}
        self._calls: dict[RequestId, _Call] = {}
        self._link_number = 0
        self._nursery: trio.Nursery | None = None

    @property
    def incarnation(self) -> int:
        """Return the number that identifies this run of the agent."""
        return self._gate.incarnation

    @property
    def running(self) -> int:
        """Return how many requests are in progress at the gate."""
        return self._gate.running

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; must have started before anything is served."""
        tick = self._timer.subscribe(TICK_SECONDS, lambda _: self._handle(TimePassed()))
        self._timer.subscribe_jumps(self._on_jump)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await trio.sleep_forever()
        finally:
            tick.cancel()
            self._nursery = None

    def stop_new_work(self) -> None:
        """Stop starting requests."""
        self._handle(Stopped())

    def resume_new_work(self) -> None:
        """Start requests again."""
        self._handle(Resumed())

    def change_bounds(self, slots: int, connections: int, limits: Limits) -> None:
        """Apply the bounds of a changed configuration."""
        self._handle(BoundsChanged(slots, connections, limits))

    async def serve_link(self, link: MessageLink) -> None:
        """Serve another agent's link until it ends, then close it."""
        scope = trio.CancelScope()
        watch = SilenceWatch(self._timer, LINK_SILENCE_SECONDS, scope)
        gate_link = _GateLink(link, scope)
        number = self.attach(gate_link)
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(gate_link.write)
                    await self._read(number, link, watch)
                    nursery.cancel_scope.cancel()
        finally:
            watch.close()
            self.detach(number)
            with trio.CancelScope(shield=True):
                await link.close()

    def attach(self, end: GateEnd) -> int:
        """Register a link and return its number."""
        self._link_number += 1
        self._links[self._link_number] = end
        return self._link_number

    def take(self, number: int, message: RelayMessage) -> None:
        """Handle a message received on a link."""
        self._handle(MessageArrived(number, message))

    def detach(self, number: int) -> None:
        """Unregister a link that is closed."""
        del self._links[number]
        self._handle(LinkLost(number))

    def start_call(self, request: GateRequest) -> None:
        """Get the gate's permission just before a request's first byte is sent.

        Raises:
            StartVetoed: if it must not start.
        """
        now = self._timer.now
        first = request.started_at is None
        refused = self._gate.start(request.open.identifier, now)
        if refused is not None:
            raise StartVetoed(refused)
        self.wake(request.open.identifier)
        if first:
            waited = now - request.received_at
            self._observer.on_start(request.request_class, request.service.tenant, waited)

    def wake(self, identifier: RequestId) -> None:
        """Wake the call and the link of a request whose state changed."""
        call = self._calls.get(identifier)
        if call is not None:
            call.wakeup_body.set()
            call.wakeup_answer.set()
        request = self._gate.request(identifier)
        if request is not None and request.link in self._links:
            self._links[request.link].wake()

    async def _read(self, number: int, link: MessageLink, watch: SilenceWatch) -> None:
        try:
            while True:
                message = await link.receive()
                if isinstance(message, Ping):
                    watch.change(
                        min(message.next_seconds, MAXIMUM_PING_INTERVAL_SECONDS)
                        + LINK_SILENCE_SECONDS
                    )
                watch.touch()
                self.take(number, message)
        except LinkBroken as error:
            if error.malformed:
                self._observer.on_malformed("relay")

    def _on_jump(self, jump: ClockJump) -> None:
        self._apply(self._gate.handle(TimePassed(), jump.after))

    def _handle(self, event: GateEvent) -> None:
        now = self._timer.now
        self._apply(self._gate.handle(event, now))

    def _apply(self, effects: Sequence[GateEffect]) -> None:
        for effect in effects:
            # The gate has recorded all of them, so one that fails must not cost the others.
            with self._supervisor.contain(Part.REQUESTS):
                self._apply_effect(effect)

    def _apply_effect(self, effect: GateEffect) -> None:
        match effect:
            case Launch(identifier):
                self._launch(identifier)
            case Abort(identifier):
                if identifier in self._calls:
                    self._calls[identifier].scope.cancel()
            case Progress(identifier):
                self.wake(identifier)
            case _:
                self._apply_to_link(effect)

    def _apply_to_link(self, effect: Send | Follow | CloseLink) -> None:
        link = self._links.get(effect.link)
        if link is None:
            return
        match effect:
            case Send(_, message):
                link.send(message)
            case Follow(_, identifier, resumed, has_head, offset):
                request = self._gate.request(identifier)
                if request is not None:
                    link.follow(AnswerWriter(request, resumed, has_head, offset))
            case CloseLink():
                link.close()

    def _launch(self, identifier: RequestId) -> None:
        request = self._gate.request(identifier)
        if request is None or self._nursery is None:
            return
        call = _Call(self, request)
        self._calls[identifier] = call
        self._nursery.start_soon(self._run, call)

    async def _run(self, call: _Call) -> None:
        identifier = call.request.open.identifier
        verdict: Verdict = Failed(UnknownReason.RELAY_LOST.value)
        try:
            # After a failure it isn't known whether the request ran.
            with self._supervisor.contain(Part.REQUESTS), call.scope:
                verdict = await self._verdict(call)
        finally:
            del self._calls[identifier]
            with self._supervisor.contain(Part.REQUESTS):
                self._handle(BackendEnded(identifier, verdict))

    async def _verdict(self, call: _Call) -> Verdict:
        request = call.request
        left = None if request.deadline is None else request.deadline - self._timer.now
        with bounded(self._timer, left):
            return await self._call(call)
        if request.started_at is None:
            return _refusal(Refused(RefusalReason.DEADLINE))
        return Failed(UnknownReason.DEADLINE.value)

    async def _call(self, call: _Call) -> Verdict:
        try:
            await self._backend.call(self._backend_request(call.request), call, call, call.start)
        except BackendNotRun as error:
            if isinstance(error, BackendUnreachable):
                self._observer.on_backend_failed(error)
            return _refusal(_refused(error))
        except BackendFailed as error:
            self._observer.on_backend_failed(error)
            if error.reason is UnknownReason.BACKEND_MALFORMED:
                self._observer.on_malformed("http")
            return Failed(error.reason.value)
        except CallerGone:
            # The body's length differs from the head's content-length: not a backend failure.
            return Failed(UnknownReason.RELAY_LOST.value)
        self._observer.on_backend_answered()
        return End(call.request.answer.end)

    def _backend_request(self, request: GateRequest) -> BackendRequest:
        return BackendRequest(
            request.open.method,
            request.open.path,
            request.service.authority,
            request.open.headers,
            request.open.idempotent and request.request_class.idempotent,
            request.request_class.shape,
            request.deadline,
        )


class _GateLink:
    """The gate's end of a link to another agent, with its send queue."""

    def __init__(self, link: MessageLink, scope: trio.CancelScope) -> None:
        self._link = link
        self._scope = scope
        self._wakeup = Wakeup()
        self._control: deque[RelayMessage] = deque()
        self._writer: AnswerWriter | None = None

    def send(self, message: RelayMessage) -> None:
        self._control.append(message)
        self._wakeup.set()

    def follow(self, writer: AnswerWriter) -> None:
        self._writer = writer
        self._wakeup.set()

    def wake(self) -> None:
        self._wakeup.set()

    def close(self) -> None:
        self._scope.cancel()

    async def write(self) -> None:
        try:
            while True:
                message = self._next_message()
                if message is None:
                    await self._wakeup.wait()
                else:
                    await self._link.send(message)
        except (LinkBroken, WindowGap):
            self._scope.cancel()

    def _next_message(self) -> RelayMessage | None:
        if self._control:
            return self._control.popleft()
        return None if self._writer is None else self._writer.next_message()


class _Call:
    """One call to the backend server, acting as its body source and answer sink."""

    def __init__(self, runner: GateRunner, request: GateRequest) -> None:
        self.request = request
        self.scope = trio.CancelScope()
        self.wakeup_body = Wakeup()
        self.wakeup_answer = Wakeup()
        self._runner = runner
        self._offset = 0

    def start(self) -> None:
        self._runner.start_call(self.request)

    async def receive_body(self) -> bytes | None:
        body = self.request.body
        while not (data := body.read(self._offset, PIECE_BYTES)):
            if body.complete:
                return None
            await self.wakeup_body.wait()
        self._offset += len(data)
        body.release(self._offset)
        self._changed()
        return data

    async def send_head(self, status: int, headers: Headers) -> None:
        self.request.head = Head(status, tuple(headers))
        self._changed()
        await trio.lowlevel.checkpoint()

    async def send_data(self, data: bytes) -> None:
        while self.request.answer_full:
            await self.wakeup_answer.wait()
        self.request.answer.append(data)
        self._changed()
        await trio.lowlevel.checkpoint()

    def _changed(self) -> None:
        self._runner.wake(self.request.open.identifier)


def _refused(error: BackendNotRun) -> Refused:
    match error:
        case StartVetoed(refusal=refusal):
            return refusal
        case BackendShed(draining=True):
            return Refused(RefusalReason.DRAINING, error.retry_after_seconds)
        case BackendShed():
            return Refused(RefusalReason.SHEDDING, error.retry_after_seconds)
        case BackendUnreachable():
            return Refused(RefusalReason.BACKEND_UNREACHABLE)
        case _:
            return Refused(RefusalReason.UNDECLARED)


def _refusal(refused: Refused) -> Refusal:
    return Refusal(refused.reason.value, refused.retry_after_seconds)
