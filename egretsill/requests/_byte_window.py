"""The part of a byte sequence that may still be needed."""

from __future__ import annotations


class WindowGap(Exception):
    """Bytes arrived that do not join those before them, or belong after the end.

    Attributes:
        expected: offset of the next byte.
        offset: offset that arrived.
    """

    def __init__(self, expected: int, offset: int) -> None:
        super().__init__(f"expected offset {expected}, got {offset}")
        self.expected = expected
        self.offset = offset


class ByteWindow:
    """Holds bytes by their offset in the whole sequence until they are released.

    Attributes:
        complete: whether the sequence has ended.
    """

    def __init__(self) -> None:
        self.complete = False
        self._base = 0
        self._held = bytearray()

    @property
    def base(self) -> int:
        """Return the offset of the first byte held."""
        return self._base

    @property
    def end(self) -> int:
        """Return the offset after the last byte held."""
        return self._base + len(self._held)

    @property
    def size(self) -> int:
        """Return how many bytes are held."""
        return len(self._held)

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        self._held += data

    def append_at(self, offset: int, data: bytes) -> None:
        """Add bytes that arrived for an offset; what is there already is skipped.

        Raises:
            WindowGap: if bytes before `offset` are missing, or the sequence has ended before.
        """
        known = self.end - offset
        if known < 0 or offset < 0 or (self.complete and known < len(data)):
            raise WindowGap(self.end, offset)
        self._held += data[known:]

    def read(self, offset: int, limit: int) -> bytes:
        """Return at most `limit` bytes from `offset` on.

        Raises:
            WindowGap: if `offset` was released already.
        """
        if offset < self._base:
            raise WindowGap(self._base, offset)
        start = offset - self._base
        return bytes(self._held[start : start + limit])

    def release(self, offset: int) -> None:
        """Let go of the bytes before `offset`."""
        count = min(max(offset - self._base, 0), len(self._held))
        del self._held[:count]
        self._base += count
