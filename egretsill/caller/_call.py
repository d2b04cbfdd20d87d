"""One request of a caller, streamed in both directions."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Protocol

import trio

from ..flows import headers as names
from ..outcomes import Cancelled, Outcome, Unknown, UnknownReason
from ._reply import Reply, outcome_of_head, outcome_of_reset

MAXIMUM_UNACKNOWLEDGED_BYTES = 131_072


class CallWriter(Protocol):
    """The part of a flow that a call uses."""

    def write(self, stream_id: int, data: bytes, end: bool) -> None:
        """Send a piece of the request's body."""

    def cancel(self, stream_id: int) -> None:
        """Cancel the request."""

    def release(self, stream_id: int, size: int) -> None:
        """Report that `size` bytes of the response were consumed."""

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return the number of body bytes that the service has not acknowledged."""


class Call:
    """A request in progress."""

    def __init__(self, stream_id: int, writer: CallWriter) -> None:
        self._stream_id = stream_id
        self._writer = writer
        self._status: int | None = None
        self._headers: Mapping[bytes, bytes] = {}
        self._data: deque[bytes] = deque()
        self._outcome: Outcome | None = None
        self._changed = trio.Event()

    @property
    def status(self) -> int | None:
        """Return the HTTP status, or None before the response head has arrived."""
        return self._status

    @property
    def headers(self) -> Mapping[bytes, bytes]:
        """Return the headers of the response."""
        return self._headers

    @property
    def outcome(self) -> Outcome | None:
        """Return the outcome of the request, or None while it is in progress."""
        return self._outcome

    async def send_data(self, data: bytes, end: bool = False) -> None:
        """Send a piece of the body, and wait while too much of it is unacknowledged."""
        if self._outcome is not None:
            return
        self._writer.write(self._stream_id, data, end)
        while (
            self._outcome is None
            and self._writer.unacknowledged_bytes(self._stream_id) > MAXIMUM_UNACKNOWLEDGED_BYTES
        ):
            await self._changed.wait()

    async def receive_head(self) -> int | None:
        """Wait for the response head; return its status, or None if the call ends without one."""
        while self._status is None and self._outcome is None:
            await self._changed.wait()
        return self._status

    async def receive_data(self) -> bytes | None:
        """Return the next piece of the response, or None once it has ended and `outcome` is set."""
        while not self._data:
            if self._outcome is not None:
                return None
            await self._changed.wait()
        data = self._data.popleft()
        self._writer.release(self._stream_id, len(data))
        return data

    async def collect(self) -> Reply:
        """Wait for the end and return everything that was received."""
        pieces: list[bytes] = []
        data = await self.receive_data()
        while data is not None:
            pieces.append(data)
            data = await self.receive_data()
        outcome = self._outcome or Unknown(UnknownReason.FLOW_LOST)
        return Reply(outcome, self._status, self._headers, b"".join(pieces))

    def cancel(self) -> None:
        """Cancel the request; the backend server is notified."""
        if self._outcome is None:
            self._writer.cancel(self._stream_id)
            self.on_end(Cancelled())

    def on_head(self, headers: Mapping[bytes, bytes]) -> None:
        """Process the response head received by the flow."""
        if self._status is None:
            self._status = int(headers.get(b":status", b"0"))
            self._headers = headers
        self._notify_waiters()

    def on_data(self, data: bytes) -> None:
        """Process a piece of the response received by the flow."""
        if data:
            self._data.append(data)
        self._notify_waiters()

    def on_finished(self) -> None:
        """Process the end of the response."""
        if self._status is None:
            self.on_end(Unknown(UnknownReason.ANSWER_CUT))
            return
        self.on_end(outcome_of_head(self._status, self._headers))

    def on_reset(self, error_code: int) -> None:
        """Process a reset of the response's stream."""
        refused = error_code == names.HTTP3_REQUEST_REJECTED and self._status is None
        end_outcome = outcome_of_reset(error_code) if refused else Unknown(UnknownReason.ANSWER_CUT)
        self.on_end(end_outcome)

    def on_end(self, outcome: Outcome) -> None:
        """Record the outcome of the request; only the first one counts."""
        if self._outcome is None:
            self._outcome = outcome
        self._notify_waiters()

    def on_progress(self) -> None:
        """Wake a sender that waits for the service to acknowledge more of the body."""
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
