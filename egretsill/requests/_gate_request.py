"""The gate's state of one request, and writers that split answers and bodies into messages."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from ..configuration import RequestClass, Service
from ._byte_window import ByteWindow
from ._messages import (
    Body,
    BodyAcknowledge,
    Data,
    End,
    Failed,
    Head,
    Open,
    Refusal,
    RelayMessage,
    Started,
    Verdict,
)

PIECE_BYTES = 65_536
BODY_WINDOW_BYTES = 262_144
BODY_ACKNOWLEDGE_BYTES = 32_768


class Phase(enum.Enum):
    """Progress of a request at its gate."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    STARTED = "started"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class GateRequest:
    """The gate's state of one request.

    Attributes:
        epoch: epoch of the link that it belongs to; messages of earlier links are ignored.
        link: number of that link, or None without a link.
        deadline: in seconds on this process's clock, or None.
        launched: whether a task for the backend call exists.
        received_at: when Open was read, in seconds.
        body: bytes that the requester sent and the backend server has not accepted yet.
        answer: bytes that the backend server sent and the requester has not acknowledged yet.
        verdict: how it ended, or None while it runs.
    """

    open: Open
    service: Service
    request_class: RequestClass
    epoch: int
    link: int | None
    deadline: float | None
    received_at: float
    phase: Phase = Phase.WAITING
    launched: bool = False
    started_at: float | None = None
    body: ByteWindow = field(default_factory=ByteWindow)
    answer: ByteWindow = field(default_factory=ByteWindow)
    head: Head | None = None
    verdict: Verdict | None = None

    @property
    def answer_full(self) -> bool:
        """Return whether reading from the backend server must wait for acknowledgements."""
        return self.answer.size >= self.service.limits.answer_tail_bytes

    @property
    def finished(self) -> bool:
        """Return whether the requester needs nothing more of this request."""
        match self.verdict:
            case None:
                return False
            case End(length):
                return self.answer.base >= length
            case _:
                return True


class AnswerWriter:
    """Splits the start, answer and verdict of a request into messages for one link."""

    def __init__(self, request: GateRequest, resumed: bool, has_head: bool, offset: int) -> None:
        self._request = request
        self._start_sent = resumed
        self._has_head = has_head
        self._offset = offset
        self._body_acknowledged = 0
        self._done = False

    @property
    def done(self) -> bool:
        """Return whether the verdict was returned, so that the link is free."""
        return self._done

    def next_message(self) -> RelayMessage | None:
        """Return the next message, or None while there is none.

        Raises:
            WindowGap: if the requester acknowledged bytes that were not sent to it.
        """
        request = self._request
        if self._done:
            return None
        if request.started_at is not None and not self._start_sent:
            self._start_sent = True
            return Started(int((request.started_at - request.received_at) * 1000))
        if isinstance(request.verdict, Refusal | Failed):
            self._done = True
            return request.verdict
        if request.body.base - self._body_acknowledged >= BODY_ACKNOWLEDGE_BYTES:
            self._body_acknowledged = request.body.base
            return BodyAcknowledge(request.body.base)
        return self._next_answer_message(request)

    def _next_answer_message(self, request: GateRequest) -> RelayMessage | None:
        if request.head is not None and not self._has_head:
            self._has_head = True
            return request.head
        data = request.answer.read(self._offset, PIECE_BYTES)
        if data:
            offset, self._offset = self._offset, self._offset + len(data)
            return Data(offset, data)
        self._done = request.verdict is not None
        return request.verdict


class BodyWriter:
    """Splits a request's body into messages for one link, within the gate's window."""

    def __init__(self, body: ByteWindow) -> None:
        self._body = body
        self._offset = 0
        self._acknowledged = 0
        self._ended = False

    def rewind(self, offset: int) -> None:
        """Continue from another offset, for example on a new link."""
        self._offset = offset
        self._ended = False

    def acknowledge(self, offset: int) -> None:
        """Record that the gate forwarded the body up to `offset`."""
        self._acknowledged = max(self._acknowledged, offset)

    def next_message(self) -> Body | None:
        """Return the next message, or None while there is none."""
        room = self._acknowledged + BODY_WINDOW_BYTES - self._offset
        data = self._body.read(self._offset, min(room, PIECE_BYTES)) if room > 0 else b""
        last = self._body.complete and self._offset + len(data) == self._body.end
        if self._ended or not (data or last):
            return None
        offset, self._offset = self._offset, self._offset + len(data)
        self._ended = last
        return Body(offset, data, last)
