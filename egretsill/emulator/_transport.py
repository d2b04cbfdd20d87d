"""One end of a flow: windows, acknowledgements and retransmissions, without I/O or clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from ..address_steering import FlowKey
from ._adapter import Segment, SegmentFlag

WINDOW_SEGMENTS = 16  # maximum in flight
SEGMENT_BYTES = 1_200
FIRST_RETRANSMIT_SECONDS = 0.2
MAXIMUM_RETRANSMIT_SECONDS = 1.6
MAXIMUM_RETRANSMISSIONS = 8


@dataclass(slots=True)
class _Sent:
    segment: Segment
    retransmit_at: float
    retransmissions: int = 0


class FlowEnd:
    """Reliable, ordered byte stream between a caller and a target.

    Args:
        flow: the flow.
        is_caller: whether this is the caller's end.
        first_sequence: number of the first byte to send.
        expected: number of the next byte expected from the peer.
    """

    def __init__(self, flow: FlowKey, is_caller: bool, first_sequence: int, expected: int) -> None:
        self._flow = flow
        self._is_caller = is_caller
        self._next = first_sequence
        self._expected = expected
        self._unsent: deque[Segment] = deque()
        self._in_flight: deque[_Sent] = deque()
        self._out_of_order: dict[int, Segment] = {}
        self._unacknowledged = 0
        self.received = bytearray()
        self.has_sent_close = False
        self.has_closed = False
        self.is_lost = False

    @property
    def next_retransmission(self) -> float:
        """Return the time of the next retransmission, or infinity if nothing is in flight."""
        return min((each.retransmit_at for each in self._in_flight), default=float("inf"))

    @property
    def is_idle(self) -> bool:
        """Return whether all data has been sent and acknowledged."""
        return not self._in_flight and not self._unsent

    def send(self, data: bytes, now: float) -> Sequence[Segment]:
        """Queue data and return the segments to send now."""
        for start in range(0, len(data), SEGMENT_BYTES):
            self._queue(SegmentFlag.ACK, data[start : start + SEGMENT_BYTES])
        return self._fill_window(now)

    def close(self, now: float) -> Sequence[Segment]:
        """Close the sending direction and return the segments to send now."""
        if self.has_sent_close:
            return ()
        self.has_sent_close = True
        self._queue(SegmentFlag.ACK | SegmentFlag.FIN, b"")
        return self._fill_window(now)

    def receive(self, segment: Segment, now: float) -> Sequence[Segment]:
        """Process a segment of the peer and return the segments to send now."""
        answers: list[Segment] = []
        while self._in_flight and self._is_acknowledged(self._in_flight[0], segment.acknowledged):
            self._in_flight.popleft()
        sequence_length = len(segment.payload) + bool(segment.flags & SegmentFlag.FIN)
        if sequence_length:
            is_new = segment.sequence >= self._expected
            if is_new:
                self._out_of_order[segment.sequence] = segment
            is_gap = segment.sequence != self._expected
            self._deliver()
            self._unacknowledged += 1
            is_last = len(segment.payload) < SEGMENT_BYTES
            if not is_new or is_gap or is_last or self._unacknowledged >= 2:
                answers.append(self._acknowledgement())
        return (*answers, *self._fill_window(now))

    def retransmit(self, now: float) -> Sequence[Segment]:
        """Return the segments to retransmit now."""
        due: list[Segment] = []
        for each in self._in_flight:
            if each.retransmit_at <= now:
                each.retransmissions += 1
                wait = min(
                    FIRST_RETRANSMIT_SECONDS * 2**each.retransmissions, MAXIMUM_RETRANSMIT_SECONDS
                )
                each.retransmit_at = now + wait
                due.append(each.segment)
                self.is_lost = self.is_lost or each.retransmissions > MAXIMUM_RETRANSMISSIONS
        return due

    def _queue(self, flags: SegmentFlag, payload: bytes) -> None:
        self._unsent.append(
            Segment(self._flow, self._is_caller, flags, self._next, self._expected, payload)
        )
        self._next += len(payload) + bool(flags & SegmentFlag.FIN)

    def _fill_window(self, now: float) -> Sequence[Segment]:
        sent: list[Segment] = []
        while self._unsent and len(self._in_flight) < WINDOW_SEGMENTS:
            waiting = self._unsent.popleft()
            segment = Segment(
                waiting.flow,
                waiting.is_from_caller,
                waiting.flags,
                waiting.sequence,
                self._expected,
                waiting.payload,
            )
            self._in_flight.append(_Sent(segment, now + FIRST_RETRANSMIT_SECONDS))
            sent.append(segment)
        return sent

    def _deliver(self) -> None:
        while (segment := self._out_of_order.pop(self._expected, None)) is not None:
            self.received += segment.payload
            self._expected += len(segment.payload)
            if segment.flags & SegmentFlag.FIN:
                self._expected += 1
                self.has_closed = True

    def _acknowledgement(self) -> Segment:
        self._unacknowledged = 0
        return Segment(self._flow, self._is_caller, SegmentFlag.ACK, self._next, self._expected)

    @staticmethod
    def _is_acknowledged(sent: _Sent, acknowledged: int) -> bool:
        segment = sent.segment
        end = segment.sequence + len(segment.payload) + bool(segment.flags & SegmentFlag.FIN)
        return end <= acknowledged
