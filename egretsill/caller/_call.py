"""One request of a caller, streamed both ways."""

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
    """What a call needs of its flow."""

    def write(self, stream_id: int, data: bytes, end: bool) -> None:
        """Send a piece of the request's body."""

    def cancel(self, stream_id: int) -> None:
        """Withdraw the request."""

    def release(self, stream_id: int, size: int) -> None:
        """Tell that `size` bytes of the answer were taken."""

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return what the service has not acknowledged of the body."""


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
        """Return the HTTP status, or None before the head arrived."""
        return self._status

    @property
    def headers(self) -> Mapping[bytes, bytes]:
        """Return the headers of the answer."""
        return self._headers

    @property
    def outcome(self) -> Outcome | None:
        """Return how the request ended, or None while it has not."""
        return self._outcome

    async def send_data(self, data: bytes, end: bool = False) -> None:
        """Send a piece of the body; waits while the service has not taken enough of it."""
        if self._outcome is not None:
            return
        self._writer.write(self._stream_id, data, end)
        while (
            self._outcome is None
            and self._writer.unacknowledged_bytes(self._stream_id) > MAXIMUM_UNACKNOWLEDGED_BYTES
        ):
            await self._changed.wait()

    async def receive_head(self) -> int | None:
        """Wait for the answer's head; return its status, or None if it never comes."""
        while self._status is None and self._outcome is None:
            await self._changed.wait()
        return self._status

    async def receive_data(self) -> bytes | None:
        """Return the next piece of the answer, or None once `outcome` says how it ended."""
        while not self._data:
            if self._outcome is not None:
                return None
            await self._changed.wait()
        data = self._data.popleft()
        self._writer.release(self._stream_id, len(data))
        return data

    async def collect(self) -> Reply:
        """Wait for the end and return the whole of what came."""
        pieces: list[bytes] = []
        data = await self.receive_data()
        while data is not None:
            pieces.append(data)
            data = await self.receive_data()
        outcome = self._outcome or Unknown(UnknownReason.FLOW_LOST)
        return Reply(outcome, self._status, self._headers, b"".join(pieces))

    def cancel(self) -> None:
        """Withdraw the request; the backend server is told."""
        if self._outcome is None:
            self._writer.cancel(self._stream_id)
            self.on_end(Cancelled())

    def on_head(self, headers: Mapping[bytes, bytes]) -> None:
        """Take the answer's head from the flow."""
        if self._status is None:
            self._status = int(headers.get(b":status", b"0"))
            self._headers = headers
        self._wake()

    def on_data(self, data: bytes) -> None:
        """Take a piece of the answer from the flow."""
        if data:
            self._data.append(data)
        self._wake()

    def on_finished(self) -> None:
        """Note that the answer has its end."""
        if self._status is None:
            self.on_end(Unknown(UnknownReason.ANSWER_CUT))
            return
        self.on_end(outcome_of_head(self._status, self._headers))

    def on_reset(self, error_code: int) -> None:
        """Note that the answer was cut."""
        refused = error_code == names.HTTP3_REQUEST_REJECTED and self._status is None
        whole = outcome_of_reset(error_code) if refused else Unknown(UnknownReason.ANSWER_CUT)
        self.on_end(whole)

    def on_end(self, outcome: Outcome) -> None:
        """Note how the request ended; the first word stands."""
        if self._outcome is None:
            self._outcome = outcome
        self._wake()

    def on_progress(self) -> None:
        """Look again whether the service took enough of the body to go on sending."""
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
