"""Buffer for the part of a byte sequence that may still be needed."""

from __future__ import annotations


class WindowGap(Exception):
    """Bytes before an offset are missing, were released, or lie after the end.

    Attributes:
        expected: offset of the next byte.
        offset: offset that was given.
    """

    def __init__(self, expected: int, offset: int) -> None:
        super().__init__(f"expected offset {expected}, got {offset}")
        self.expected = expected
        self.offset = offset


class ByteWindow:
    """Holds bytes, addressed by their offset in the sequence, until they are released.

    Attributes:
        complete: whether the sequence has ended.
    """

    def __init__(self) -> None:
        self.complete = False
        self._base = 0
        self._held = bytearray()

    @property
    def base(self) -> int:
        """Return the offset of the first buffered byte."""
        return self._base

    @property
    def end(self) -> int:
        """Return the offset after the last buffered byte."""
        return self._base + len(self._held)

    @property
    def size(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._held)

    def append(self, data: bytes) -> None:
        """Append bytes at the end."""
        self._held += data

    def append_at(self, offset: int, data: bytes) -> None:
        """Append bytes received for an offset, skipping those that are already present.

        Raises:
            WindowGap: if bytes before `offset` are missing, or if new bytes follow the end.
        """
        known = self.end - offset
        if known < 0 or offset < 0 or (self.complete and known < len(data)):
            raise WindowGap(self.end, offset)
        self._held += data[known:]

    def read(self, offset: int, limit: int) -> bytes:
        """Return at most `limit` bytes starting at `offset`.

        Raises:
            WindowGap: if `offset` was released already.
        """
        if offset < self._base:
            raise WindowGap(self._base, offset)
        start = offset - self._base
        return bytes(self._held[start : start + limit])

    def release(self, offset: int) -> None:
        """Discard the bytes before `offset`."""
        count = min(max(offset - self._base, 0), len(self._held))
        del self._held[:count]
        self._base += count
