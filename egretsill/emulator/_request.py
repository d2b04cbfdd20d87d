"""Requests and answers as emulated callers and targets write them; the system never reads them."""

from __future__ import annotations

import struct
from dataclasses import dataclass

_REQUEST_HEAD = struct.Struct(">QIIIB")
_ANSWER_HEAD = struct.Struct(">QIB")


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What callers ask for.

    Attributes:
        name: of the kind.
        service: that serves it.
        is_repeatable: whether it may run more than once.
        keeps_flow: whether callers use a flow for many of them.
        request_bytes: size of a request.
        answer_bytes: size of an answer.
        work_seconds: mean time that a target works on one.
        aim_seconds: how soon callers want the answer.
        limit_seconds: when callers give up.
        share: of all requests.
    """

    name: str
    service: str
    is_repeatable: bool
    keeps_flow: bool
    request_bytes: int
    answer_bytes: int
    work_seconds: float
    aim_seconds: float
    limit_seconds: float
    share: float


@dataclass(frozen=True, slots=True)
class Request:
    """One try of a request.

    Attributes:
        number: of the try, unique in a day.
        kind: index of its kind.
        work_seconds: how long a target works on it.
        answer_bytes: size of its answer's body.
        total_bytes: size of the request.
    """

    number: int
    kind: int
    work_seconds: float
    answer_bytes: int
    total_bytes: int

    def encode(self) -> bytes:
        """Return its bytes."""
        work = int(self.work_seconds * 1e6)
        total = max(self.total_bytes, _REQUEST_HEAD.size)
        head = _REQUEST_HEAD.pack(self.number, total, work, self.answer_bytes, self.kind)
        return head.ljust(total, b".")


def decode_request(data: bytearray) -> Request | None:
    """Return a request at the beginning of a stream and take it off, or None if it isn't whole."""
    if len(data) < _REQUEST_HEAD.size:
        return None
    number, total, work, answer_bytes, kind = _REQUEST_HEAD.unpack_from(data)
    if len(data) < total:
        return None
    del data[:total]
    return Request(number, kind, work / 1e6, answer_bytes, total)


def encode_answer(number: int, has_run: bool, body_bytes: int) -> bytes:
    """Return an answer; its body depends on the request's number."""
    return _ANSWER_HEAD.pack(number, body_bytes, has_run) + answer_body(number, body_bytes)


def answer_body(number: int, body_bytes: int) -> bytes:
    """Return the only right body of an answer."""
    return number.to_bytes(8, "big").ljust(8, b"\0") * (body_bytes // 8) + bytes(body_bytes % 8)


@dataclass(frozen=True, slots=True)
class Answer:
    """What a target answered.

    Attributes:
        number: of the request.
        has_run: whether the target worked on it.
        body: its data.
    """

    number: int
    has_run: bool
    body: bytes


def decode_answer(data: bytearray) -> Answer | None:
    """Return an answer at the beginning of a stream and take it off, or None if it isn't whole."""
    if len(data) < _ANSWER_HEAD.size:
        return None
    number, size, has_run = _ANSWER_HEAD.unpack_from(data)
    if len(data) < _ANSWER_HEAD.size + size:
        return None
    body = bytes(data[_ANSWER_HEAD.size : _ANSWER_HEAD.size + size])
    del data[: _ANSWER_HEAD.size + size]
    return Answer(number, bool(has_run), body)
