"""Emulated callers: open flows, send requests, retry them depending on kind, and time out."""

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

SYN_COPIES = 3
OPEN_TIMEOUT_SECONDS = 1.4
RETRIES = 2
RETRANSMIT_CHECK_SECONDS = 0.05
IDLE_SECONDS = 8.0  # callers close a reusable flow after this idle time


@dataclass(slots=True)
class _RequestState:
    """State of one request over all its attempts."""

    kind: int
    requested_at: float
    retries_left: int = RETRIES
    number: int = 0
    is_finished: bool = False


class _Flow:
    """State of one flow at its caller."""

    def __init__(self, key: FlowKey, first_sequence: int) -> None:
        self.key = key
        self.first_sequence = first_sequence
        self.end: FlowEnd | None = None
        self.task: _RequestState | None = None
        self.is_ended = False
        self.used_at = 0.0


class EmulatedCaller:
    """A caller host with its flows.

    Args:
        address: address that receives its packets.
        send: sends a datagram through the router.
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
        self._idle_flows: dict[int, _Flow] = {}
        self._check_retransmissions()

    def ask(self, kind: int) -> None:
        """Start a request."""
        now = self._scheduler.now
        task = _RequestState(kind, now)
        self._judge.note_request_started()
        self._scheduler.call_later(self._kinds[kind].deadline_seconds, lambda: self._give_up(task))
        self._send_attempt(task)

    def deliver(self, data: bytes, source: Address) -> None:
        """Process a received datagram."""
        segment = self._adapter.decode(data)
        flow = self._flows.get(segment.flow)
        if flow is None or flow.is_ended:
            return
        if segment.flags & SegmentFlag.RST:
            self._judge.note_reset(segment.flow, data, self._scheduler.now)
            self._handle_lost_flow(flow)
            return
        self._judge.note_delivery_to_caller(data, self._scheduler.now)
        now = self._scheduler.now
        if segment.flags & SegmentFlag.SYN:
            self._complete_handshake(flow, segment)
        elif flow.end is not None:
            self._send(flow.end.receive(segment, now))
            self._take_answers(flow)
            if flow.end.has_closed:
                self._send(flow.end.close(now))
                if flow.task is not None:
                    self._handle_lost_flow(flow)
                self._remove_idle_flow(flow)

    def _send_attempt(self, task: _RequestState) -> None:
        kind = self._kinds[task.kind]
        flow = self._idle_flows.pop(task.kind, None) if kind.reuses_flow else None
        if flow is not None and not flow.is_ended and flow.end is not None:
            flow.task = task
            self._send_request(flow)
            return
        service_host, service_port = self._services[task.kind]
        self._next_port += 1
        key = FlowKey(self._host, self._next_port, service_host, service_port)
        flow = self._flows[key] = _Flow(key, self._random.randrange(1, 1 << 30))
        flow.task = task
        for copy in range(SYN_COPIES):
            self._scheduler.call_later(syn_copy_delay(copy), self._syn_sender(flow, copy))
        self._scheduler.call_later(OPEN_TIMEOUT_SECONDS, lambda: self._check_opened(flow))

    def _syn_sender(self, flow: _Flow, copy: int) -> Callable[[], None]:
        def send_copy() -> None:
            if flow.end is None and not flow.is_ended:
                syn = Segment(flow.key, True, SegmentFlag.SYN, flow.first_sequence, copy)
                self._judge.note_syn_sent(flow.key, self._scheduler.now)
                self._send([syn])

        return send_copy

    def _check_opened(self, flow: _Flow) -> None:
        if flow.end is None and not flow.is_ended:
            self._handle_lost_flow(flow)

    def _complete_handshake(self, flow: _Flow, segment: Segment) -> None:
        if flow.end is not None:
            return
        flow.end = FlowEnd(flow.key, True, flow.first_sequence + 1, segment.sequence + 1)
        acknowledgement = Segment(
            flow.key,
            True,
            SegmentFlag.ACK,
            flow.first_sequence + 1,
            segment.sequence + 1,
        )
        self._send([acknowledgement])
        self._send_request(flow)

    def _send_request(self, flow: _Flow) -> None:
        task, end = flow.task, flow.end
        if task is None or end is None or task.is_finished:
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
            if task is None or task.is_finished:
                continue
            if not answer.has_run:
                self._retry(task, is_allowed=True)
                self._close(flow)
                continue
            task.is_finished = True
            kind = self._kinds[task.kind]
            waited = self._scheduler.now - task.requested_at
            outcome = Outcome.IN_TIME if waited <= kind.latency_objective_seconds else Outcome.LATE
            self._judge.note_outcome(outcome, task.requested_at)
            if kind.reuses_flow and not end.has_closed:
                flow.used_at = self._scheduler.now
                self._idle_flows.setdefault(task.kind, flow)
            if self._idle_flows.get(task.kind) is not flow:
                self._close(flow)

    def _handle_lost_flow(self, flow: _Flow) -> None:
        """Drop a flow that was lost, and retry its request if the request may run again."""
        was_open = flow.end is not None
        flow.is_ended = True
        self._flows.pop(flow.key, None)
        self._remove_idle_flow(flow)
        task, flow.task = flow.task, None
        if task is not None and not task.is_finished:
            self._retry(task, not was_open or self._kinds[task.kind].is_idempotent)

    def _retry(self, task: _RequestState, is_allowed: bool) -> None:
        if is_allowed and task.retries_left > 0:
            task.retries_left -= 1
            self._send_attempt(task)
            return
        task.is_finished = True
        self._judge.note_outcome(Outcome.FAILED, task.requested_at)

    def _give_up(self, task: _RequestState) -> None:
        if task.is_finished:
            return
        task.is_finished = True
        self._judge.note_outcome(Outcome.FAILED, task.requested_at)
        for flow in tuple(self._flows.values()):
            if flow.task is task:
                flow.task = None
                self._close(flow)

    def _close(self, flow: _Flow) -> None:
        if flow.end is not None:
            self._send(flow.end.close(self._scheduler.now))
        else:
            flow.is_ended = True
        self._remove_idle_flow(flow)

    def _remove_idle_flow(self, flow: _Flow) -> None:
        for kind, idle in tuple(self._idle_flows.items()):
            if idle is flow:
                del self._idle_flows[kind]

    def _check_retransmissions(self) -> None:
        now = self._scheduler.now
        for key, flow in tuple(self._flows.items()):
            end = flow.end
            if end is None:
                if flow.is_ended:
                    del self._flows[key]
                continue
            if end.next_retransmission <= now:
                self._send(end.retransmit(now))
            if end.is_lost or (end.has_sent_close and end.has_closed and end.is_idle):
                del self._flows[key]
            elif flow.task is None and now - flow.used_at > IDLE_SECONDS:
                self._close(flow)
        self._scheduler.call_later(RETRANSMIT_CHECK_SECONDS, self._check_retransmissions)

    def _send(self, segments: Iterable[Segment]) -> None:
        for segment in segments:
            data = self._adapter.encode(segment)
            self._judge.note_written(data)
            self._send_to_fabric(data, segment.flow)
