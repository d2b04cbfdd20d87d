"""Payload format of emulated requests and answers; egretsill itself never parses it."""

from __future__ import annotations

import struct
from dataclasses import dataclass

_REQUEST_HEAD = struct.Struct(">QIIIB")
_ANSWER_HEAD = struct.Struct(">QIB")


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    Attributes:
        name: name of the kind.
        service: service that serves it.
        is_idempotent: whether a request may run more than once.
        reuses_flow: whether callers send several requests over one flow.
        request_bytes: size of a request.
        answer_bytes: size of an answer.
        work_seconds: mean processing time at a target.
        latency_objective_seconds: latency objective.
        deadline_seconds: deadline after which callers give up.
        share: share of all requests.
    """

    name: str
    service: str
    is_idempotent: bool
    reuses_flow: bool
    request_bytes: int
    answer_bytes: int
    work_seconds: float
    latency_objective_seconds: float
    deadline_seconds: float
    share: float


@dataclass(frozen=True, slots=True)
class Request:
    """One attempt of a request.

    Attributes:
        number: number of the attempt, unique in a day.
        kind: index of its kind.
        work_seconds: processing time at a target.
        answer_bytes: size of the answer's body.
        total_bytes: size of the request.
    """

    number: int
    kind: int
    work_seconds: float
    answer_bytes: int
    total_bytes: int

    def encode(self) -> bytes:
        """Encode the request, padded to its total size."""
        work = int(self.work_seconds * 1e6)
        total = max(self.total_bytes, _REQUEST_HEAD.size)
        head = _REQUEST_HEAD.pack(self.number, total, work, self.answer_bytes, self.kind)
        return head.ljust(total, b".")


def decode_request(data: bytearray) -> Request | None:
    """Remove and return the first request of a buffer, or None if it is incomplete."""
    if len(data) < _REQUEST_HEAD.size:
        return None
    number, total, work, answer_bytes, kind = _REQUEST_HEAD.unpack_from(data)
    if len(data) < total:
        return None
    del data[:total]
    return Request(number, kind, work / 1e6, answer_bytes, total)


def encode_answer(number: int, has_run: bool, body_bytes: int) -> bytes:
    """Encode an answer; its body is derived from the request's number."""
    return _ANSWER_HEAD.pack(number, body_bytes, has_run) + answer_body(number, body_bytes)


def answer_body(number: int, body_bytes: int) -> bytes:
    """Return the expected body of an answer."""
    return number.to_bytes(8, "big").ljust(8, b"\0") * (body_bytes // 8) + bytes(body_bytes % 8)


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer of a target.

    Attributes:
        number: number of the request.
        has_run: whether the target ran the request; False if it was rejected.
        body: body of the answer.
    """

    number: int
    has_run: bool
    body: bytes


def decode_answer(data: bytearray) -> Answer | None:
    """Remove and return the first answer of a buffer, or None if it is incomplete."""
    if len(data) < _ANSWER_HEAD.size:
        return None
    number, size, has_run = _ANSWER_HEAD.unpack_from(data)
    if len(data) < _ANSWER_HEAD.size + size:
        return None
    body = bytes(data[_ANSWER_HEAD.size : _ANSWER_HEAD.size + size])
    del data[: _ANSWER_HEAD.size + size]
    return Answer(number, bool(has_run), body)
