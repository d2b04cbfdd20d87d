"""Reassembly of one request's answer from the messages of several links, without duplicates."""

from __future__ import annotations

from ._gate_request import PIECE_BYTES

ACKNOWLEDGE_PARTS = 4


class AnswerViolation(Exception):
    """The gate sent an inconsistent or incomplete answer.

    Attributes:
        offset: offset in the answer's body.
    """

    def __init__(self, offset: int) -> None:
        super().__init__(f"inconsistent answer at offset {offset}")
        self.offset = offset


class AnswerReceiver:
    """Checks that an answer is in order, within its window, and complete.

    Args:
        window_bytes: largest number of unacknowledged bytes that the gate may keep.
    """

    def __init__(self, window_bytes: int) -> None:
        self._window_bytes = window_bytes
        self._status: int | None = None
        self._received = 0
        self._delivered = 0
        self._acknowledged = 0

    @property
    def status(self) -> int | None:
        """Return the HTTP status, or None before the head."""
        return self._status

    @property
    def received(self) -> int:
        """Return the length of the answer's body received so far."""
        return self._received

    def receive_head(self, status: int) -> bool:
        """Handle a head and return whether it is new."""
        fresh = self._status is None
        self._status = status if fresh else self._status
        return fresh

    def receive_data(self, offset: int, data: bytes) -> bytes:
        """Handle a piece and return the part of it that is new.

        Raises:
            AnswerViolation: if there is no head yet or a gap, or the window is exceeded.
        """
        known = self._received - offset
        ahead = offset + len(data) - self._acknowledged
        # The last piece may exceed the gate's window by its own length.
        too_much = ahead > self._window_bytes + 2 * PIECE_BYTES
        if self._status is None or offset < 0 or known < 0 or too_much:
            raise AnswerViolation(offset)
        fresh = data[known:]
        self._received += len(fresh)
        return fresh

    def receive_end(self, length: int) -> int:
        """Handle the end and return the status of the complete answer.

        Raises:
            AnswerViolation: if the answer is not complete.
        """
        if self._status is None or length != self._received:
            raise AnswerViolation(length)
        return self._status

    def record_delivery(self, offset: int) -> bool:
        """Record what the caller received, and return whether an acknowledgement is due."""
        self._delivered = max(self._delivered, offset)
        unacknowledged = self._delivered - self._acknowledged
        return unacknowledged >= max(self._window_bytes // ACKNOWLEDGE_PARTS, 1)

    def acknowledge(self) -> int:
        """Mark all delivered bytes as acknowledged and return their offset."""
        self._acknowledged = self._delivered
        return self._delivered
