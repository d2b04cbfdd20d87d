"""One request as its gate sees it, and the way of its answer onto a link."""

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
    """How far a request has come at its gate."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    STARTED = "started"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class GateRequest:
    """Everything that a gate knows of a request.

    Attributes:
        epoch: of the link that it belongs to; messages of earlier links mean nothing.
        link: that link, or None while there is none.
        deadline: seconds on this process's clock, or None.
        launched: whether a task for the call to the backend server exists.
        asked_at: when Open was read, in seconds.
        body: what the asker sent and the backend server did not take yet.
        answer: what the backend server sent and the asker did not acknowledge yet.
        verdict: how it ended, once it has.
    """

    open: Open
    service: Service
    request_class: RequestClass
    epoch: int
    link: int | None
    deadline: float | None
    asked_at: float
    phase: Phase = Phase.WAITING
    launched: bool = False
    started_at: float | None = None
    body: ByteWindow = field(default_factory=ByteWindow)
    answer: ByteWindow = field(default_factory=ByteWindow)
    head: Head | None = None
    verdict: Verdict | None = None

    @property
    def answer_full(self) -> bool:
        """Return whether the backend server has to wait for acknowledgements."""
        return self.answer.size >= self.service.limits.answer_tail_bytes

    @property
    def finished(self) -> bool:
        """Return whether the asker has all that it could ask for."""
        match self.verdict:
            case None:
                return False
            case End(length):
                return self.answer.base >= length
            case _:
                return True


class AnswerWriter:
    """Cuts what a gate has to say of a request into the messages for one link."""

    def __init__(self, request: GateRequest, resumed: bool, has_head: bool, offset: int) -> None:
        self._request = request
        self._told_start = resumed
        self._has_head = has_head
        self._offset = offset
        self._body_acknowledged = 0
        self._done = False

    @property
    def done(self) -> bool:
        """Return whether the verdict was handed out, so that the link is free."""
        return self._done

    def next_message(self) -> RelayMessage | None:
        """Return the next message, or None while there is none.

        Raises:
            WindowGap: if the asker acknowledged what it was never sent.
        """
        request = self._request
        if self._done:
            return None
        if request.started_at is not None and not self._told_start:
            self._told_start = True
            return Started(int((request.started_at - request.asked_at) * 1000))
        if isinstance(request.verdict, Refusal | Failed):
            self._done = True
            return request.verdict
        if request.body.base - self._body_acknowledged >= BODY_ACKNOWLEDGE_BYTES:
            self._body_acknowledged = request.body.base
            return BodyAcknowledge(request.body.base)
        return self._next_of_answer(request)

    def _next_of_answer(self, request: GateRequest) -> RelayMessage | None:
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
    """Cuts a request's body into the messages for one link, within the gate's window."""

    def __init__(self, body: ByteWindow) -> None:
        self._body = body
        self._offset = 0
        self._acknowledged = 0
        self._ended = False

    def rewind(self, offset: int) -> None:
        """Go on from another offset, as on a new link."""
        self._offset = offset
        self._ended = False

    def acknowledge(self, offset: int) -> None:
        """Note that the gate passed the body on up to `offset`."""
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
