"""Carries out what a gate decides: links to askers on one side, the backend server on the other."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import TypeAlias

import trio

from ..configuration import Limits
from ..outcomes import RefusalReason, Refused, UnknownReason
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
    Ticked,
)
from ._gate_request import PIECE_BYTES, AnswerWriter, GateRequest
from ._message_link import LinkBroken, MessageLink
from ._messages import End, Failed, Head, Refusal, RelayMessage, RequestId, Verdict
from ._silence import SilenceWatch, bounded
from ._wakeup import Wakeup

TICK_SECONDS = 0.05
LINK_SILENCE_SECONDS = 6.0

Headers: TypeAlias = Sequence[tuple[bytes, bytes]]


class GateRunner:
    """Runs one gate.

    Args:
        gate: decides.
        timer: the timer service.
        backend: the way to the backend server.
        observer: is told of starts and garbage.
    """

    def __init__(
        self, gate: Gate, timer: TimerService, backend: BackendClient, observer: RequestObserver
    ) -> None:
        self._gate = gate
        self._timer = timer
        self._backend = backend
        self._observer = observer
        self._links: dict[int, _GateLink] = {}
        self._calls: dict[RequestId, _Call] = {}
        self._link_number = 0
        self._nursery: trio.Nursery | None = None

    @property
    def running(self) -> int:
        """Return how many requests are in progress at the gate."""
        return self._gate.running

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; nothing may be served before it has started."""
        tick = self._timer.subscribe(TICK_SECONDS, lambda _: self._handle(Ticked()))
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
        """Start nothing from now on."""
        self._handle(Stopped())

    def resume_new_work(self) -> None:
        """Start new work again."""
        self._handle(Resumed())

    def change_bounds(self, slots: int, connections: int, limits: Limits) -> None:
        """Take over the bounds of a changed configuration."""
        self._handle(BoundsChanged(slots, connections, limits))

    async def serve_link(self, link: MessageLink, watched: bool = True) -> None:
        """Serve an asker's link to its end.

        Args:
            link: the link, closed at the end.
            watched: whether its silence means that it is lost.
        """
        self._link_number += 1
        number = self._link_number
        scope = trio.CancelScope()
        watch = SilenceWatch(self._timer, LINK_SILENCE_SECONDS if watched else None, scope)
        gate_link = _GateLink(link, scope)
        self._links[number] = gate_link
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(gate_link.write)
                    await self._read(number, link, watch)
                    nursery.cancel_scope.cancel()
        finally:
            watch.close()
            del self._links[number]
            self._handle(LinkLost(number))
            with trio.CancelScope(shield=True):
                await link.close()

    def start_call(self, request: GateRequest) -> None:
        """Ask the gate's leave just before a request's first byte.

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
            waited = now - request.asked_at
            self._observer.on_start(request.request_class, request.service.tenant, waited)

    def wake(self, identifier: RequestId) -> None:
        """Let a request's call and link see that something changed."""
        call = self._calls.get(identifier)
        if call is not None:
            call.wakeup_body.set()
            call.wakeup_answer.set()
        request = self._gate.request(identifier)
        if request is not None and request.link is not None:
            self._link(request.link).wakeup.set()

    async def _read(self, number: int, link: MessageLink, watch: SilenceWatch) -> None:
        try:
            while True:
                message = await link.receive()
                watch.touch()
                self._handle(MessageArrived(number, message))
        except LinkBroken as error:
            if error.malformed:
                self._observer.on_malformed("relay")

    def _on_jump(self, jump: ClockJump) -> None:
        self._apply(self._gate.handle(Ticked(), jump.after))

    def _handle(self, event: GateEvent) -> None:
        now = self._timer.now
        self._apply(self._gate.handle(event, now))

    def _apply(self, effects: Sequence[GateEffect]) -> None:
        for effect in effects:
            match effect:
                case Send(number, message):
                    self._link(number).send(message)
                case Follow(number, identifier, resumed, has_head, offset):
                    request = self._gate.request(identifier)
                    if request is not None:
                        writer = AnswerWriter(request, resumed, has_head, offset)
                        self._link(number).follow(writer)
                case CloseLink(number):
                    self._link(number).close()
                case Launch(identifier):
                    self._launch(identifier)
                case Abort(identifier):
                    if identifier in self._calls:
                        self._calls[identifier].scope.cancel()
                case Progress(identifier):
                    self.wake(identifier)

    def _link(self, number: int) -> _GateLink:
        return self._links.get(number) or _GateLink(None, trio.CancelScope())

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
            with call.scope:
                verdict = await self._verdict(call)
        finally:
            del self._calls[identifier]
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
            return _refusal(_refused(error))
        except BackendFailed as error:
            if error.reason is UnknownReason.BACKEND_MALFORMED:
                self._observer.on_malformed("http")
            return Failed(error.reason.value)
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
    """The gate's end of a link: what is to be sent, in order."""

    def __init__(self, link: MessageLink | None, scope: trio.CancelScope) -> None:
        self.wakeup = Wakeup()
        self._link = link
        self._scope = scope
        self._control: deque[RelayMessage] = deque()
        self._writer: AnswerWriter | None = None

    def send(self, message: RelayMessage) -> None:
        self._control.append(message)
        self.wakeup.set()

    def follow(self, writer: AnswerWriter) -> None:
        self._writer = writer
        self.wakeup.set()

    def close(self) -> None:
        self._scope.cancel()

    async def write(self) -> None:
        try:
            while self._link is not None:
                message = self._next_message()
                if message is None:
                    await self.wakeup.wait()
                else:
                    await self._link.send(message)
        except (LinkBroken, WindowGap):
            self._scope.cancel()

    def _next_message(self) -> RelayMessage | None:
        if self._control:
            return self._control.popleft()
        return None if self._writer is None else self._writer.next_message()


class _Call:
    """One call to the backend server: body source and answer sink in one."""

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
