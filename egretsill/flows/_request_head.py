"""Parses a request's head from HTTP/3 headers."""

from __future__ import annotations

from collections.abc import Sequence

from ..requests import RequestHead
from .headers import DEADLINE_HEADER, HOP_BY_HOP_HEADERS, MAXIMUM_DEADLINE_MILLISECONDS

MAXIMUM_DEADLINE_DIGITS = len(str(MAXIMUM_DEADLINE_MILLISECONDS))


class MalformedRequest(Exception):
    """The headers do not form a valid request.

    Attributes:
        field: the header that is missing or wrong.
    """

    def __init__(self, field: bytes) -> None:
        super().__init__(f"malformed request: {field.decode('latin-1')}")
        self.field = field


def is_trailers(headers: Sequence[tuple[bytes, bytes]]) -> bool:
    """Return whether headers are the trailers of a request instead of its head.

    The HTTP/3 library rejects requests without pseudo-headers and trailers with one.
    """
    return not any(name.startswith(b":") for name, _ in headers)


def read_request_head(
    service: str, headers: Sequence[tuple[bytes, bytes]], now: float
) -> RequestHead:
    """Parse the head of a request.

    Args:
        service: name of the service whose address the flow came in on.
        headers: as received, pseudo-headers first.
        now: seconds on the timer service; the deadline is relative to it.

    Raises:
        MalformedRequest: if a pseudo-header is missing or malformed, or if the deadline is not a
            positive number within its limit.
    """
    pseudo = {name: value for name, value in headers if name.startswith(b":")}
    method = _text(pseudo, b":method")
    path = _text(pseudo, b":path")
    kept = tuple(
        (name, value)
        for name, value in headers
        if not name.startswith(b":") and name not in HOP_BY_HOP_HEADERS
    )
    return RequestHead(service, method, path, kept, _deadline(headers, now))


def _text(pseudo: dict[bytes, bytes], name: bytes) -> str:
    value = pseudo.get(name, b"")
    if not value or not value.isascii() or not value.decode("ascii").isprintable():
        raise MalformedRequest(name)
    if b" " in value:
        raise MalformedRequest(name)
    return value.decode("ascii")


def _deadline(headers: Sequence[tuple[bytes, bytes]], now: float) -> float | None:
    for name, value in headers:
        if name == DEADLINE_HEADER:
            is_number = value.isdigit() and len(value) <= MAXIMUM_DEADLINE_DIGITS
            if not is_number or not 0 < int(value) <= MAXIMUM_DEADLINE_MILLISECONDS:
                raise MalformedRequest(name)
            return now + int(value) / 1000
    return None
