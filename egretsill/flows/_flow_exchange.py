"""A request stream of a flow, as the `Exchange` that the requests slice serves."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

import trio

from ..outcomes import Answered, Cancelled, Outcome, RefusalReason, Refused, Unknown
from ..requests import CallerGone, RequestHead
from .headers import (
    HTTP3_INTERNAL_ERROR,
    HTTP3_NO_ERROR,
    HTTP3_REQUEST_CANCELLED,
    OUTCOME_HEADER,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_UNAVAILABLE,
)

MAXIMUM_UNACKNOWLEDGED_BYTES = 131_072


class StreamWriter(Protocol):
    """The part of a flow's interface that an exchange uses."""

    def write_head(self, stream_id: int, headers: Sequence[tuple[bytes, bytes]], end: bool) -> None:
        """Send the head of an answer."""

    def write_data(self, stream_id: int, data: bytes, end: bool) -> None:
        """Send a piece of an answer."""

    def stop_reading(self, stream_id: int, error_code: int) -> None:
        """Ask the caller to send no more of a request's body."""

    def reset(self, stream_id: int, error_code: int) -> None:
        """Reset the stream of an answer."""

    def release(self, stream_id: int, size: int) -> None:
        """Extend the caller's flow-control window by the consumed bytes."""

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the number of bytes of the answer that the caller has not acknowledged."""


class FlowExchange:
    """Connects a request stream with the code that serves the request."""

    def __init__(self, stream_id: int, head: RequestHead, writer: StreamWriter) -> None:
        self._stream_id = stream_id
        self._head = head
        self._writer = writer
        self._body: deque[bytes] = deque()
        self._body_ended = False
        self._answer_begun = False
        self._concluded = False
        self._withdrawn = False
        self._changed = trio.Event()
        self._cancel: Callable[[], None] | None = None

    @property
    def head(self) -> RequestHead:
        """Return the head of the request."""
        return self._head

    @property
    def answer_begun(self) -> bool:
        """Return whether the head of the answer was sent."""
        return self._answer_begun

    @property
    def concluded(self) -> bool:
        """Return whether the request was concluded."""
        return self._concluded

    def on_body(self, data: bytes, ended: bool) -> None:
        """Add a piece of the request's body; called by the flow."""
        if data:
            self._body.append(data)
        self._body_ended = self._body_ended or ended
        self._notify_waiters()

    def on_progress(self) -> None:
        """Recheck whether the caller has acknowledged enough to continue sending."""
        self._notify_waiters()

    def on_withdrawn(self) -> None:
        """Mark the request as withdrawn, and cancel the task that serves it."""
        self._withdrawn = True
        self._notify_waiters()
        if self._cancel is not None:
            self._cancel()

    def cancel_with(self, cancel: Callable[[], None]) -> None:
        """Call `cancel` when the caller withdraws the request."""
        self._cancel = cancel

    async def receive_body(self) -> bytes | None:
        """Return the next piece of the request's body, or None at its end.

        Raises:
            CallerGone: if the request was withdrawn.
        """
        while not self._body:
            self._raise_if_withdrawn()
            if self._body_ended:
                return None
            await self._wait()
        data = self._body.popleft()
        self._writer.release(self._stream_id, len(data))
        return data

    async def send_head(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Send the head of the answer.

        Raises:
            CallerGone: if the request was withdrawn.
        """
        self._raise_if_withdrawn()
        self._answer_begun = True
        self._writer.write_head(self._stream_id, [_status(status), *headers], end=False)

    async def send_data(self, data: bytes) -> None:
        """Send a piece of the answer, then wait while too many bytes are unacknowledged.

        Raises:
            CallerGone: if the request was withdrawn.
        """
        self._raise_if_withdrawn()
        self._writer.write_data(self._stream_id, data, end=False)
        while self._writer.unacknowledged_bytes(self._stream_id) > MAXIMUM_UNACKNOWLEDGED_BYTES:
            self._raise_if_withdrawn()
            await self._wait()

    async def conclude(self, outcome: Outcome) -> None:
        """End the request; see `Exchange.conclude`."""
        if self._concluded or self._withdrawn:
            return
        self._concluded = True
        match outcome:
            case Answered():
                self._writer.write_data(self._stream_id, b"", end=True)
            case Refused() if not self._answer_begun:
                self._write_refusal(outcome)
            case Unknown() if not self._answer_begun:
                self._write_unknown(outcome)
            case Cancelled():
                self._writer.reset(self._stream_id, HTTP3_REQUEST_CANCELLED)
            case _:
                self._writer.reset(self._stream_id, HTTP3_INTERNAL_ERROR)
        if not self._body_ended:
            self._writer.stop_reading(self._stream_id, HTTP3_NO_ERROR)

    def _write_refusal(self, refusal: Refused) -> None:
        undeclared = refusal.reason is RefusalReason.UNDECLARED
        status = STATUS_NOT_FOUND if undeclared else STATUS_UNAVAILABLE
        seconds = max(1, math.ceil(refusal.retry_after_seconds))
        headers = [
            _status(status),
            (OUTCOME_HEADER, OUTCOME_NOT_RUN),
            (REASON_HEADER, refusal.reason.value.encode()),
            (RETRY_AFTER_HEADER, str(seconds).encode()),
        ]
        self._answer_begun = True
        self._writer.write_head(self._stream_id, headers, end=True)

    def _write_unknown(self, unknown: Unknown) -> None:
        headers = [
            _status(STATUS_GATEWAY_TIMEOUT),
            (OUTCOME_HEADER, OUTCOME_UNKNOWN),
            (REASON_HEADER, unknown.reason.value.encode()),
        ]
        self._answer_begun = True
        self._writer.write_head(self._stream_id, headers, end=True)

    def _raise_if_withdrawn(self) -> None:
        if self._withdrawn:
            raise CallerGone

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _wait(self) -> None:
        await self._changed.wait()


def _status(status: int) -> tuple[bytes, bytes]:
    return (b":status", str(status).encode())
