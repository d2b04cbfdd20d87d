"""The answer of one request as it comes in over links, each byte taken once."""

from __future__ import annotations

from ._gate_request import PIECE_BYTES

ACKNOWLEDGE_PARTS = 4


class AnswerViolation(Exception):
    """The gate sent an answer that can't be whole.

    Attributes:
        offset: where in the answer's body.
    """

    def __init__(self, offset: int) -> None:
        super().__init__(f"answer broken at offset {offset}")
        self.offset = offset


class AnswerReceiver:
    """Checks that an answer is in order, within its window, and whole.

    Args:
        window_bytes: unacknowledged bytes that the gate may keep.
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
        """Return the length of the answer's body so far."""
        return self._received

    def take_head(self, status: int) -> bool:
        """Take a head and return whether it is new."""
        fresh = self._status is None
        self._status = status if fresh else self._status
        return fresh

    def take_data(self, offset: int, data: bytes) -> bytes:
        """Take a piece and return what of it is new.

        Raises:
            AnswerViolation: if there is no head yet, a gap, or too much.
        """
        known = self._received - offset
        ahead = offset + len(data) - self._acknowledged
        # The last piece may go beyond the gate's window by its own length.
        too_much = ahead > self._window_bytes + 2 * PIECE_BYTES
        if self._status is None or offset < 0 or known < 0 or too_much:
            raise AnswerViolation(offset)
        fresh = data[known:]
        self._received += len(fresh)
        return fresh

    def take_end(self, length: int) -> int:
        """Take the end and return the status of the whole answer.

        Raises:
            AnswerViolation: if it is not whole.
        """
        if self._status is None or length != self._received:
            raise AnswerViolation(length)
        return self._status

    def take_delivery(self, offset: int) -> bool:
        """Note what the caller took, and return whether it is time to acknowledge it."""
        self._delivered = max(self._delivered, offset)
        unacknowledged = self._delivered - self._acknowledged
        return unacknowledged >= max(self._window_bytes // ACKNOWLEDGE_PARTS, 1)

    def acknowledge(self) -> int:
        """Return the offset to acknowledge now."""
        self._acknowledged = self._delivered
        return self._delivered
