"""Emulated callers: they open flows, send requests, repeat them by kind, and give up."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from ..address_steering import FlowKey, syn_copy_delay
from ..endpoints import Address
from ._adapter import Adapter, Segment, SegmentFlag
from ._judge import Judge, Outcome
from ._request import Request, RequestKind, decode_answer
from ._scheduler import Scheduler
from ._transport import FlowEnd

OPENING_COPIES = 3
OPENING_LIMIT_SECONDS = 1.4
RETRIES = 2
REPEAT_CHECK_SECONDS = 0.05
IDLE_SECONDS = 8.0  # a kept flow is closed by its caller after that time


@dataclass(slots=True)
class _Task:
    """One request with all its tries."""

    kind: int
    asked_at: float
    tries_left: int = RETRIES
    number: int = 0
    is_over: bool = False


class _Flow:
    """A caller's end of one flow."""

    def __init__(self, key: FlowKey, first_sequence: int) -> None:
        self.key = key
        self.first_sequence = first_sequence
        self.end: FlowEnd | None = None
        self.task: _Task | None = None
        self.is_gone = False
        self.used_at = 0.0


class EmulatedCaller:
    """One caller host with its flows.

    Args:
        address: where packets for it arrive.
        send: gives a datagram to the fabric.
    """

    def __init__(
        self,
        host: int,
        address: Address,
        services: dict[int, tuple[int, int]],
        kinds: tuple[RequestKind, ...],
        adapter: Adapter,
        scheduler: Scheduler,
        judge: Judge,
        random: Random,
        send: Callable[[bytes, FlowKey], None],
        next_number: Callable[[], int],
    ) -> None:
        self._host = host
        self.address = address
        self._services = services
        self._kinds = kinds
        self._adapter = adapter
        self._scheduler = scheduler
        self._judge = judge
        self._random = random
        self._send_to_fabric = send
        self._next_number = next_number
        self._next_port = 1_024
        self._flows: dict[FlowKey, _Flow] = {}
        self._kept: dict[int, _Flow] = {}
        self._check_repeats()

    def ask(self, kind: int) -> None:
        """Begin a request."""
        now = self._scheduler.now
        task = _Task(kind, now)
        self._judge.note_asked()
        self._scheduler.call_later(self._kinds[kind].limit_seconds, lambda: self._give_up(task))
        self._try(task)

    def deliver(self, data: bytes, source: Address) -> None:
        """Take a datagram."""
        segment = self._adapter.decode(data)
        flow = self._flows.get(segment.flow)
        if flow is None or flow.is_gone:
            return
        if segment.flags & SegmentFlag.RESET:
            self._judge.note_reset(segment.flow, data, self._scheduler.now)
            self._lose(flow)
            return
        self._judge.note_delivery_to_caller(data, self._scheduler.now)
        now = self._scheduler.now
        if segment.flags & SegmentFlag.OPEN:
            self._opened(flow, segment)
        elif flow.end is not None:
            self._send(flow.end.take(segment, now))
            self._take_answers(flow)
            if flow.end.has_closed:
                self._send(flow.end.close(now))
                if flow.task is not None:
                    self._lose(flow)
                self._forget_kept(flow)

    def _try(self, task: _Task) -> None:
        kind = self._kinds[task.kind]
        flow = self._kept.pop(task.kind, None) if kind.keeps_flow else None
        if flow is not None and not flow.is_gone and flow.end is not None:
            flow.task = task
            self._send_request(flow)
            return
        service_host, service_port = self._services[task.kind]
        self._next_port += 1
        key = FlowKey(self._host, self._next_port, service_host, service_port)
        flow = self._flows[key] = _Flow(key, self._random.randrange(1, 1 << 30))
        flow.task = task
        for copy in range(OPENING_COPIES):
            self._scheduler.call_later(syn_copy_delay(copy), self._opener(flow, copy))
        self._scheduler.call_later(OPENING_LIMIT_SECONDS, lambda: self._check_opened(flow))

    def _opener(self, flow: _Flow, copy: int) -> Callable[[], None]:
        def send_copy() -> None:
            if flow.end is None and not flow.is_gone:
                opening = Segment(flow.key, True, SegmentFlag.OPEN, flow.first_sequence, copy)
                self._judge.note_opening_sent(flow.key, self._scheduler.now)
                self._send([opening])

        return send_copy

    def _check_opened(self, flow: _Flow) -> None:
        if flow.end is None and not flow.is_gone:
            self._lose(flow)

    def _opened(self, flow: _Flow, segment: Segment) -> None:
        if flow.end is not None:
            return
        flow.end = FlowEnd(flow.key, True, flow.first_sequence + 1, segment.sequence + 1)
        acknowledgement = Segment(
            flow.key,
            True,
            SegmentFlag.ACKNOWLEDGE,
            flow.first_sequence + 1,
            segment.sequence + 1,
        )
        self._send([acknowledgement])
        self._send_request(flow)

    def _send_request(self, flow: _Flow) -> None:
        task, end = flow.task, flow.end
        if task is None or end is None or task.is_over:
            return
        kind = self._kinds[task.kind]
        task.number = self._next_number()
        work = kind.work_seconds * self._random.uniform(0.5, 1.5)
        request = Request(task.number, task.kind, work, kind.answer_bytes, kind.request_bytes)
        flow.used_at = self._scheduler.now
        self._judge.note_sent(request)
        self._send(end.send(request.encode(), self._scheduler.now))

    def _take_answers(self, flow: _Flow) -> None:
        end = flow.end
        while end is not None and (answer := decode_answer(end.received)) is not None:
            task, flow.task = flow.task, None
            expected = task.number if task is not None else None
            self._judge.note_answer(answer, expected, self._scheduler.now)
            if task is None or task.is_over:
                continue
            if not answer.has_run:
                self._retry(task, is_allowed=True)
                self._close(flow)
                continue
            task.is_over = True
            kind = self._kinds[task.kind]
            waited = self._scheduler.now - task.asked_at
            outcome = Outcome.IN_TIME if waited <= kind.aim_seconds else Outcome.LATE
            self._judge.note_outcome(outcome, task.asked_at)
            if kind.keeps_flow and not end.has_closed:
                flow.used_at = self._scheduler.now
                self._kept.setdefault(task.kind, flow)
            if self._kept.get(task.kind) is not flow:
                self._close(flow)

    def _lose(self, flow: _Flow) -> None:
        """Note that a flow is no more, and try its request again if it may run again."""
        was_open = flow.end is not None
        flow.is_gone = True
        self._flows.pop(flow.key, None)
        self._forget_kept(flow)
        task, flow.task = flow.task, None
        if task is not None and not task.is_over:
            self._retry(task, not was_open or self._kinds[task.kind].is_repeatable)

    def _retry(self, task: _Task, is_allowed: bool) -> None:
        if is_allowed and task.tries_left > 0:
            task.tries_left -= 1
            self._try(task)
            return
        task.is_over = True
        self._judge.note_outcome(Outcome.FAILED, task.asked_at)

    def _give_up(self, task: _Task) -> None:
        if task.is_over:
            return
        task.is_over = True
        self._judge.note_outcome(Outcome.FAILED, task.asked_at)
        for flow in tuple(self._flows.values()):
            if flow.task is task:
                flow.task = None
                self._close(flow)

    def _close(self, flow: _Flow) -> None:
        if flow.end is not None:
            self._send(flow.end.close(self._scheduler.now))
        else:
            flow.is_gone = True
        self._forget_kept(flow)

    def _forget_kept(self, flow: _Flow) -> None:
        for kind, kept in tuple(self._kept.items()):
            if kept is flow:
                del self._kept[kind]

    def _check_repeats(self) -> None:
        now = self._scheduler.now
        for key, flow in tuple(self._flows.items()):
            end = flow.end
            if end is None:
                if flow.is_gone:
                    del self._flows[key]
                continue
            if end.next_event <= now:
                self._send(end.repeat(now))
            if end.is_lost or (end.has_sent_close and end.has_closed and end.is_idle):
                del self._flows[key]
            elif flow.task is None and now - flow.used_at > IDLE_SECONDS:
                self._close(flow)
        self._scheduler.call_later(REPEAT_CHECK_SECONDS, self._check_repeats)

    def _send(self, segments: Iterable[Segment]) -> None:
        for segment in segments:
            data = self._adapter.encode(segment)
            self._judge.note_written(data)
            self._send_to_fabric(data, segment.flow)
