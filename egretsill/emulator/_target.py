"""An emulated target with flows, slots, a request queue, warm-up, draining and crashes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..address_steering import FlowKey, MalformedFlowPacket
from ..directory import Target, TargetPhase
from ..endpoints import Address, format_ipv4
from ._adapter import Adapter, Segment, SegmentFlag
from ._judge import Judge
from ._network import Network
from ._request import Request, decode_request, encode_answer
from ._scheduler import Scheduler
from ._transport import FlowEnd

QUEUE_REQUESTS = 16
MAXIMUM_FLOWS = 2_000
WARM_UP_SECONDS = 2.0
WARM_UP_FACTOR = 1.6
FIRST_SEQUENCE_STEP = 100_003  # between successive flows, whose numbers then don't overlap
RETRANSMIT_CHECK_SECONDS = 0.05


@dataclass(slots=True)
class _Flow:
    end: FlowEnd
    first_sequence: int
    is_open: bool = False


@dataclass(frozen=True, slots=True)
class _Work:
    flow: FlowKey
    request: Request


class EmulatedTarget:
    """One run of a target on the VM of an agent.

    Args:
        entry: its entry in the store.
        outbound: address of the agent to which it sends its packets.
    """

    def __init__(
        self,
        entry: Target,
        outbound: Address,
        adapter: Adapter,
        network: Network,
        scheduler: Scheduler,
        judge: Judge,
    ) -> None:
        self.entry = entry
        self.slowdown = 1.0
        self._outbound = outbound
        self._adapter = adapter
        self._network = network
        self._scheduler = scheduler
        self._judge = judge
        self._address = Address(format_ipv4(entry.host), entry.port)
        self._flows: dict[FlowKey, _Flow] = {}
        self._queue: deque[_Work] = deque()
        self._working = 0
        self._opened = 0
        self._started_at = scheduler.now
        self.is_running = True
        network.bind(self._address, self)
        self._check_retransmissions()

    @property
    def is_draining(self) -> bool:
        """Return whether the target is draining."""
        return self.entry.phase is TargetPhase.DRAINING

    @property
    def _is_warming_up(self) -> bool:
        return self._scheduler.now - self._started_at < WARM_UP_SECONDS

    def has_open(self, flow: FlowKey) -> bool:
        """Return whether a flow is open at this target."""
        known = self._flows.get(flow)
        return self.is_running and known is not None and known.is_open

    def stop(self) -> None:
        """Stop without closing flows, as after a crash or at the end of draining."""
        self.is_running = False
        self._network.unbind(self._address, self)
        self._flows.clear()
        self._queue.clear()

    def deliver(self, data: bytes, source: Address) -> None:
        """Process a datagram from the agent."""
        if not self.is_running:
            return
        self._judge.note_delivery(data, self.entry, self._scheduler.now)
        try:
            segment = self._adapter.decode(data)
        except MalformedFlowPacket:
            return
        if segment.flags & SegmentFlag.SYN:
            if self._is_warming_up:
                self._judge.note_early_syn(self.entry, self._scheduler.now)
            self._accept_syn(segment, data)
            return
        flow = self._flows.get(segment.flow)
        if flow is None:
            self._judge.note_misrouted(segment.flow, self.entry, self._scheduler.now)
            self._send_datagram(self._adapter.bounce(data))
        elif segment.flags & SegmentFlag.RST:
            del self._flows[segment.flow]
        elif flow.is_open or segment.acknowledged > flow.first_sequence:
            self._receive_segment(flow, segment)

    def _accept_syn(self, segment: Segment, data: bytes) -> None:
        now = self._scheduler.now
        known = self._flows.get(segment.flow)
        if known is None:
            if len(self._flows) >= MAXIMUM_FLOWS:
                self._send_datagram(self._adapter.bounce(data))
                return
            self._opened += 1
            first = self._opened * FIRST_SEQUENCE_STEP + (self.entry.host & 0xFF)
            end = FlowEnd(segment.flow, False, first + 1, segment.sequence + 1)
            known = self._flows[segment.flow] = _Flow(end, first)
            self._judge.note_syn_accepted(segment.flow, self.entry, now)
        flags = SegmentFlag.SYN | SegmentFlag.ACK
        answer = Segment(
            segment.flow, False, flags, known.first_sequence, segment.sequence + 1, b""
        )
        self._send([answer])

    def _receive_segment(self, flow: _Flow, segment: Segment) -> None:
        now = self._scheduler.now
        if not flow.is_open:
            flow.is_open = True
            self._judge.note_established(segment.flow, self.entry, now)
        self._judge.note_arrival(segment.flow, now)
        self._send(flow.end.receive(segment, now))
        while (request := decode_request(flow.end.received)) is not None:
            self._accept(segment.flow, request)
        if flow.end.has_closed:
            self._send(flow.end.close(now))
            if flow.end.is_idle:
                self._end(segment.flow)

    def _accept(self, flow: FlowKey, request: Request) -> None:
        if self._working + len(self._queue) >= (self.entry.capacity or 1) + QUEUE_REQUESTS:
            self._answer(_Work(flow, request), has_run=False)
            return
        self._queue.append(_Work(flow, request))
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and self._working < (self.entry.capacity or 1):
            work = self._queue.popleft()
            if work.flow not in self._flows:
                continue
            self._working += 1
            self._judge.note_run(work.request, self.entry, self._scheduler.now)
            factor = WARM_UP_FACTOR if self._is_warming_up else 1
            seconds = work.request.work_seconds * self.slowdown * factor
            self._scheduler.call_later(seconds, self._completion_of(work))

    def _completion_of(self, work: _Work) -> Callable[[], None]:
        def finish() -> None:
            if not self.is_running:
                return
            self._working -= 1
            self._answer(work, has_run=True)
            self._start_next()

        return finish

    def _answer(self, work: _Work, has_run: bool) -> None:
        flow = self._flows.get(work.flow)
        if flow is None:
            return
        size = work.request.answer_bytes if has_run else 0
        now = self._scheduler.now
        self._send(flow.end.send(encode_answer(work.request.number, has_run, size), now))
        if self.is_draining:
            self._send(flow.end.close(now))

    def _check_retransmissions(self) -> None:
        if not self.is_running:
            return
        now = self._scheduler.now
        for key, flow in tuple(self._flows.items()):
            if flow.end.next_retransmission <= now:
                self._send(flow.end.retransmit(now))
            if flow.end.is_lost or (flow.end.has_closed and flow.end.is_idle):
                self._end(key)
        self._scheduler.call_later(RETRANSMIT_CHECK_SECONDS, self._check_retransmissions)

    def _end(self, flow: FlowKey) -> None:
        self._flows.pop(flow, None)
        self._judge.note_ended(flow)

    def _send(self, segments: Iterable[Segment]) -> None:
        for segment in segments:
            self._send_datagram(self._adapter.encode(segment))

    def _send_datagram(self, data: bytes) -> None:
        self._judge.note_written(data)
        self._network.send(data, self._address, self._outbound)
