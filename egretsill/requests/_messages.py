"""Messages between two agents about one request, on one relay link at a time.

The requester is the agent that owns the caller's flow; the gate is the agent of a backend server.
The requester opens a link with a Ping and sends nothing else before the Pong. A link serves one
request at a time and is free again after the gate has sent Refusal, End or Failed.
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
    """Identifies one offer of a request to one gate.

    Attributes:
        agent: target number of the requester.
        incarnation: number that differs in each run of that agent.
        sequence: increases with each offer.
    """

    agent: int
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.agent}.{self.incarnation}.{self.sequence}"


class GateMark(NamedTuple):
    """A point in time at a gate, on the gate's own clock.

    Attributes:
        incarnation: number that differs in each run of the gate's agent.
        time: in seconds on the gate's timer service.
    """

    incarnation: int
    time: float


@dataclass(frozen=True, slots=True)
class Ping:
    """Requester to gate: checks that the gate is reachable.

    Attributes:
        next_seconds: the longest time until the next Ping is sent.
    """

    next_seconds: float


@dataclass(frozen=True, slots=True)
class Pong:
    """Gate to requester: the answer to a Ping."""

    mark: GateMark

    def __post_init__(self) -> None:
        object.__setattr__(self, "mark", _mark(self.mark))


@dataclass(frozen=True, slots=True)
class Open:
    """Requester to gate: offers a request, to be run or refused at once.

    Attributes:
        epoch: epoch of the first link for the request.
        mark: the gate's mark from the last Pong that the requester received before it sent this.
        deadline: in seconds on the gate's clock, as derived from its Pongs, or None. So a gate that
            was paused detects that a request has expired, however late it reads this.
        idempotent: whether the class is idempotent in the requester's configuration.
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
    """Gate to requester: the request holds a slot, or waits in the short queue for one."""

    identifier: RequestId

    def __post_init__(self) -> None:
        object.__setattr__(self, "identifier", _identifier(self.identifier))


@dataclass(frozen=True, slots=True)
class Started:
    """Gate to requester: the request's first byte is being sent to the backend server.

    Attributes:
        queue_milliseconds: time that the request waited at the gate.
    """

    queue_milliseconds: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Gate to requester: the request was not run and will not run at this gate."""

    reason: str
    retry_after_seconds: float

    def __post_init__(self) -> None:
        RefusalReason(self.reason)


@dataclass(frozen=True, slots=True)
class Body:
    """Requester to gate: a piece of the request's body."""

    offset: int
    data: bytes
    last: bool


@dataclass(frozen=True, slots=True)
class BodyAcknowledge:
    """Gate to requester: the backend server accepted the body up to this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class Head:
    """Gate to requester: the head of the answer."""

    status: int
    headers: WireHeaders

    def __post_init__(self) -> None:
        _check_headers(self.headers)


@dataclass(frozen=True, slots=True)
class Data:
    """Gate to requester: a piece of the answer's body."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """Gate to requester: the answer is complete, with this length."""

    length: int


@dataclass(frozen=True, slots=True)
class Failed:
    """Gate to requester: the request started, and its result is unknown."""

    reason: str

    def __post_init__(self) -> None:
        UnknownReason(self.reason)


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Requester to gate: the caller's flow accepted the answer up to this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Requester to gate: the request is no longer needed; answered by Refusal or Failed."""

    identifier: RequestId

    def __post_init__(self) -> None:
        object.__setattr__(self, "identifier", _identifier(self.identifier))


@dataclass(frozen=True, slots=True)
class Resume:
    """Requester to gate, on a new link: asks for the state and the rest of a request.

    Attributes:
        epoch: greater than that of every earlier link for the request.
        mark: the same as in its Open.
        has_head: whether the requester has the answer's head.
        offset: length of the answer's body that the requester has.
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
    """Gate to requester: the state of a request, in answer to Resume.

    Attributes:
        state: RUNNING or FINISHED if the rest of the answer follows; NOT_STARTED if it did not and
            will not start; NOT_KNOWN if it may have run.
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
        raise ValueError("malformed request identifier")
    return RequestId(*value)  # type: ignore[arg-type]


def _mark(value: tuple[object, ...]) -> GateMark:
    if len(value) != 2 or type(value[0]) is not int or type(value[1]) not in (int, float):
        raise ValueError("malformed gate mark")
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
