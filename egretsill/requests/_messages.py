"""What two agents say to each other about one request, over one relay link at a time.

The asker owns the caller's flow; the gate stands before a backend server. The asker opens a link
with a Ping and sends nothing else before the Pong. A link serves one request after the other: it is
free again when the gate has sent Refusal, End or Failed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from ..outcomes import RefusalReason, UnknownReason

MAXIMUM_PIECE_BYTES = 1_048_576
MAXIMUM_HEADERS = 256
MAXIMUM_TEXT_LENGTH = 65_536

WireHeaders: TypeAlias = tuple[tuple[bytes, bytes], ...]


class RequestId(NamedTuple):
    """Names one offer of a request to one gate.

    Attributes:
        agent: target number of the asker's agent.
        incarnation: differs in each run of that agent.
        sequence: grows with each offer.
    """

    agent: int
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.agent}.{self.incarnation}.{self.sequence}"


class GateMark(NamedTuple):
    """A moment in the life of a gate, by its own clock.

    Attributes:
        incarnation: differs in each run of the gate's agent.
        time: seconds on the gate's timer service.
    """

    incarnation: int
    time: float


@dataclass(frozen=True, slots=True)
class Ping:
    """Asker to gate: are you there?

    Attributes:
        next_seconds: when the next one is sent at the latest.
    """

    next_seconds: float


@dataclass(frozen=True, slots=True)
class Pong:
    """Gate to asker: the answer to a Ping."""

    mark: GateMark

    def __post_init__(self) -> None:
        object.__setattr__(self, "mark", _mark(self.mark))


@dataclass(frozen=True, slots=True)
class Open:
    """Asker to gate: run this request, or refuse it at once.

    Attributes:
        epoch: that of the first link for the request.
        mark: the last moment of the gate that the asker knew of before it sent this.
        deadline: seconds on the gate's clock, as known from its Pongs, or None. So a gate that was
            paused sees that a request is out of date, however late it reads this.
        idempotent: whether the asker holds the class to be idempotent.
    """

    identifier: RequestId
    epoch: int
    mark: GateMark
    service: str
    class_name: str
    method: str
    path: str
    headers: WireHeaders
    deadline: float | None
    idempotent: bool

    def __post_init__(self) -> None:
        object.__setattr__(self, "identifier", _identifier(self.identifier))
        object.__setattr__(self, "mark", _mark(self.mark))
        _check_headers(self.headers)


@dataclass(frozen=True, slots=True)
class Accepted:
    """Gate to asker: the request holds a slot, or waits in the short queue for one."""

    identifier: RequestId

    def __post_init__(self) -> None:
        object.__setattr__(self, "identifier", _identifier(self.identifier))


@dataclass(frozen=True, slots=True)
class Started:
    """Gate to asker: its first byte goes to the backend server now.

    Attributes:
        queue_milliseconds: how long it waited at the gate.
    """

    queue_milliseconds: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Gate to asker: the request was not run and never will be here."""

    reason: str
    retry_after_seconds: float

    def __post_init__(self) -> None:
        RefusalReason(self.reason)


@dataclass(frozen=True, slots=True)
class Body:
    """Asker to gate: a piece of the request's body."""

    offset: int
    data: bytes
    last: bool


@dataclass(frozen=True, slots=True)
class BodyAcknowledge:
    """Gate to asker: the backend server took the body up to this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class Head:
    """Gate to asker: the head of the answer."""

    status: int
    headers: WireHeaders

    def __post_init__(self) -> None:
        _check_headers(self.headers)


@dataclass(frozen=True, slots=True)
class Data:
    """Gate to asker: a piece of the answer's body."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """Gate to asker: the answer is whole, and this long."""

    length: int


@dataclass(frozen=True, slots=True)
class Failed:
    """Gate to asker: the request started and its end is unknown."""

    reason: str

    def __post_init__(self) -> None:
        UnknownReason(self.reason)


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Asker to gate: the caller's flow took the answer up to this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Asker to gate: nobody waits for this request; answered by Refusal or Failed."""

    identifier: RequestId

    def __post_init__(self) -> None:
        object.__setattr__(self, "identifier", _identifier(self.identifier))


@dataclass(frozen=True, slots=True)
class Resume:
    """Asker to gate, on a new link: what became of this request?

    Attributes:
        epoch: above that of every earlier link for the request.
        mark: as in its Open.
        has_head: whether the asker has the answer's head.
        offset: length of the answer's body that the asker has.
    """

    identifier: RequestId
    epoch: int
    mark: GateMark
    has_head: bool
    offset: int

    def __post_init__(self) -> None:
        object.__setattr__(self, "identifier", _identifier(self.identifier))
        object.__setattr__(self, "mark", _mark(self.mark))


RUNNING = "running"
FINISHED = "finished"
NOT_STARTED = "not-started"
NOT_KNOWN = "not-known"
_RESUME_STATES = frozenset({RUNNING, FINISHED, NOT_STARTED, NOT_KNOWN})


@dataclass(frozen=True, slots=True)
class ResumeAnswer:
    """Gate to asker: what became of a request.

    Attributes:
        state: RUNNING or FINISHED, and the rest of the answer follows; NOT_STARTED, and it never
            will be; NOT_KNOWN, so it may have run.
        body_offset: length of the request's body that the gate has.
    """

    state: str
    body_offset: int

    def __post_init__(self) -> None:
        if self.state not in _RESUME_STATES:
            raise ValueError(self.state)


RelayMessage: TypeAlias = (
    Ping
    | Pong
    | Open
    | Accepted
    | Started
    | Refusal
    | Body
    | BodyAcknowledge
    | Head
    | Data
    | End
    | Failed
    | Acknowledge
    | Cancel
    | Resume
    | ResumeAnswer
)
Verdict: TypeAlias = End | Failed | Refusal

RELAY_TYPES: Mapping[int, type[RelayMessage]] = {
    1: Ping,
    2: Pong,
    3: Open,
    4: Accepted,
    5: Started,
    6: Refusal,
    7: Body,
    8: BodyAcknowledge,
    9: Head,
    10: Data,
    11: End,
    12: Failed,
    13: Acknowledge,
    14: Cancel,
    15: Resume,
    16: ResumeAnswer,
}


def _identifier(value: tuple[object, ...]) -> RequestId:
    if len(value) != 3 or any(type(each) is not int for each in value):
        raise ValueError("request identifier")
    return RequestId(*value)  # type: ignore[arg-type]


def _mark(value: tuple[object, ...]) -> GateMark:
    if len(value) != 2 or type(value[0]) is not int or type(value[1]) not in (int, float):
        raise ValueError("gate mark")
    return GateMark(value[0], float(value[1]))  # type: ignore[arg-type]


def _check_headers(headers: tuple[object, ...]) -> None:
    if len(headers) > MAXIMUM_HEADERS:
        raise ValueError("too many headers")
    for each in headers:
        if (
            type(each) is not tuple
            or len(each) != 2
            or any(type(part) is not bytes for part in each)
        ):
            raise ValueError("header")
