"""One end of a flow: windows, acknowledgements and repeats, without I/O or clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from ..address_steering import FlowKey
from ._adapter import Segment, SegmentFlag

WINDOW_SEGMENTS = 16  # in flight
SEGMENT_BYTES = 1_200
FIRST_REPEAT_SECONDS = 0.2
LONGEST_REPEAT_SECONDS = 1.6
MAXIMUM_REPEATS = 8


@dataclass(slots=True)
class _Sent:
    segment: Segment
    repeat_at: float
    repeats: int = 0


class FlowEnd:
    """Sends bytes in order and takes those of the other end.

    Args:
        flow: which flow.
        is_caller: which end this is.
        first_sequence: number of the first byte that it sends.
        expected: number of the next byte of the other end.
    """

    def __init__(self, flow: FlowKey, is_caller: bool, first_sequence: int, expected: int) -> None:
        self._flow = flow
        self._is_caller = is_caller
        self._next = first_sequence
        self._expected = expected
        self._unsent: deque[Segment] = deque()
        self._in_flight: deque[_Sent] = deque()
        self._ahead: dict[int, Segment] = {}
        self._unacknowledged = 0
        self.received = bytearray()
        self.has_sent_close = False
        self.has_closed = False
        self.is_lost = False

    @property
    def next_event(self) -> float:
        """Return when something must be sent again, infinity if nothing must."""
        return min((each.repeat_at for each in self._in_flight), default=float("inf"))

    @property
    def is_idle(self) -> bool:
        """Return whether the other end has everything."""
        return not self._in_flight and not self._unsent

    def send(self, data: bytes, now: float) -> Sequence[Segment]:
        """Return the segments to send now for new data."""
        for start in range(0, len(data), SEGMENT_BYTES):
            self._queue(SegmentFlag.ACKNOWLEDGE, data[start : start + SEGMENT_BYTES])
        return self._fill(now)

    def close(self, now: float) -> Sequence[Segment]:
        """Return the segments that end the own direction."""
        if self.has_sent_close:
            return ()
        self.has_sent_close = True
        self._queue(SegmentFlag.ACKNOWLEDGE | SegmentFlag.CLOSE, b"")
        return self._fill(now)

    def take(self, segment: Segment, now: float) -> Sequence[Segment]:
        """Return what to send for a segment of the other end."""
        answers: list[Segment] = []
        while self._in_flight and self._is_before(self._in_flight[0], segment.acknowledged):
            self._in_flight.popleft()
        occupies = len(segment.payload) + bool(segment.flags & SegmentFlag.CLOSE)
        if occupies:
            is_new = segment.sequence >= self._expected
            if is_new:
                self._ahead[segment.sequence] = segment
            is_gap = segment.sequence != self._expected
            self._deliver()
            self._unacknowledged += 1
            is_last = len(segment.payload) < SEGMENT_BYTES
            if not is_new or is_gap or is_last or self._unacknowledged >= 2:
                answers.append(self._acknowledgement())
        return (*answers, *self._fill(now))

    def repeat(self, now: float) -> Sequence[Segment]:
        """Return what must be sent again now."""
        again: list[Segment] = []
        for each in self._in_flight:
            if each.repeat_at <= now:
                each.repeats += 1
                wait = min(FIRST_REPEAT_SECONDS * 2**each.repeats, LONGEST_REPEAT_SECONDS)
                each.repeat_at = now + wait
                again.append(each.segment)
                self.is_lost = self.is_lost or each.repeats > MAXIMUM_REPEATS
        return again

    def _queue(self, flags: SegmentFlag, payload: bytes) -> None:
        self._unsent.append(
            Segment(self._flow, self._is_caller, flags, self._next, self._expected, payload)
        )
        self._next += len(payload) + bool(flags & SegmentFlag.CLOSE)

    def _fill(self, now: float) -> Sequence[Segment]:
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
            self._in_flight.append(_Sent(segment, now + FIRST_REPEAT_SECONDS))
            sent.append(segment)
        return sent

    def _deliver(self) -> None:
        while (segment := self._ahead.pop(self._expected, None)) is not None:
            self.received += segment.payload
            self._expected += len(segment.payload)
            if segment.flags & SegmentFlag.CLOSE:
                self._expected += 1
                self.has_closed = True

    def _acknowledgement(self) -> Segment:
        self._unacknowledged = 0
        return Segment(
            self._flow, self._is_caller, SegmentFlag.ACKNOWLEDGE, self._next, self._expected
        )

    @staticmethod
    def _is_before(sent: _Sent, acknowledged: int) -> bool:
        segment = sent.segment
        end = segment.sequence + len(segment.payload) + bool(segment.flags & SegmentFlag.CLOSE)
        return end <= acknowledged
