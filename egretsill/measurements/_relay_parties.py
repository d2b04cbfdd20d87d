"""Fakes of backend calls, callers and links around real gates and attempts."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Protocol

from ..configuration import Address, Limits, RequestClass, RequestShape, Service, Target
from ..outcomes import Outcome, RefusalReason
from ..requests._attempt_events import AttemptEffect, AttemptEvent, DeliverData, DeliverHead
from ..requests._byte_window import ByteWindow
from ..requests._gate import Gate
from ..requests._gate_request import AnswerWriter, BodyWriter, GateRequest
from ..requests._messages import RelayMessage

KEY_HEADER = b"key"
PIECES = 4
PIECE_BYTES = 48
TAIL_BYTES = 96
SLOTS = 2
NOWHERE = Address("192.0.2.1", 9)

ORDER = RequestClass("order", ("POST",), "/", idempotent=False, deadline_seconds=None)
LISTING = RequestClass("listing", ("GET",), "/", idempotent=True, deadline_seconds=None)
FEED = RequestClass(
    "feed",
    ("PATCH",),
    "/",
    idempotent=True,
    shape=RequestShape.SUBSCRIPTION,
    deadline_seconds=None,
)
CLASSES = (ORDER, LISTING, FEED)


def make_world_service(targets: int) -> Service:
    """Return a service with small windows, so that they fill."""
    limits = Limits(tries=3, retry_share=3.0, answer_tail_bytes=TAIL_BYTES)
    numbers = range(1, targets + 1)
    declared = tuple(
        Target(f"t{n}", n, "catalog", "zone", NOWHERE, NOWHERE, NOWHERE, NOWHERE, SLOTS)
        for n in numbers
    )
    return Service("catalog", 1, "sibiu", "catalog.example", (), CLASSES, declared, limits)


def expected_answer(run: str) -> bytes:
    """Return the answer of one run of a request at a backend server."""
    return b"".join(f"{run}/{n};".encode().ljust(PIECE_BYTES, b".") for n in range(PIECES))


class RotatingPlacement:
    """Offers targets in turn, starting with a different one for each request."""

    def __init__(self, targets: int, first: int) -> None:
        self.outstanding = 0.0
        self._order = [(first + n) % targets + 1 for n in range(targets)]

    def choose(
        self, request_class: RequestClass, exclude: Collection[int], now: float
    ) -> int | None:
        """Return the next target in turn."""
        return next((number for number in self._order if number not in exclude), None)

    def on_sent(self, target_number: int, weight: float, now: float, shape: RequestShape) -> None:
        """Count an offer."""
        self.outstanding += weight

    def on_granted(self, target_number: int, now: float, shape: RequestShape) -> None:
        """Do nothing."""

    def on_finished(
        self, target_number: int, weight: float, now: float, shape: RequestShape
    ) -> None:
        """Count the end of an offer."""
        self.outstanding -= weight

    def on_refused(self, target_number: int, reason: RefusalReason, now: float) -> None:
        """Do nothing."""


class RequestAttempts(Protocol):
    """Offers one request to targets until its outcome is decided."""

    body: ByteWindow

    def handle(self, event: AttemptEvent, now: float) -> Collection[AttemptEffect]:
        """Take an event and return what is to be done."""

    @property
    def concluded(self) -> bool:
        """Return whether the outcome is decided."""


@dataclass(slots=True, eq=False)
class Caller:
    """One caller's request and its result.

    Attributes:
        starts: how often its first bytes were sent to a backend server, shed requests excluded.
        runs: names of the runs, each with its own answer.
        lost: whether the agent that owned its flow crashed, so that no outcome is reported.
    """

    key: str
    request_class: RequestClass
    decider: RequestAttempts
    placement: RotatingPlacement
    body_writer: BodyWriter
    deadline: float | None
    starts: int = 0
    most_starts: int = 0
    runs: list[str] = field(default_factory=list)
    status: int | None = None
    data: bytes = b""
    outcome: Outcome | None = None
    conclusions: int = 0
    lost: bool = False
    deliveries: deque[DeliverHead | DeliverData] = field(default_factory=deque)

    def start(self, run: str) -> None:
        """Count a start."""
        self.runs.append(run)
        self.starts += 1
        self.most_starts = max(self.most_starts, self.starts)


class CallStage(enum.Enum):
    """The stage of a call to a backend server."""

    CONNECTING = "connecting"
    RUNNING = "running"
    OVER = "over"


@dataclass(slots=True, eq=False)
class BackendCallModel:
    """One call to a backend server, advanced step by step."""

    request: GateRequest
    caller: Caller
    run: str
    stage: CallStage = CallStage.CONNECTING
    aborted: bool = False
    taken: int = 0
    pieces: int = 0


@dataclass(slots=True, eq=False)
class GateNode:
    """One incarnation of a gate.

    Attributes:
        skew: how far its clock is ahead of the world's, in seconds.
        paused_until: when its process resumes, in seconds of the world.
    """

    number: int
    gate: Gate
    incarnation: int
    skew: float
    paused_until: float = 0.0
    calls: list[BackendCallModel] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class LinkModel:
    """A link that delivers in order in each direction and can break at each end separately.

    Attributes:
        to_gate: messages in flight; None stands for the end of the stream.
        late_until: when the next message can arrive, in seconds of the world.
    """

    caller: Caller
    requester_number: int
    gate_number: int
    node: GateNode
    to_gate: deque[RelayMessage | None] = field(default_factory=deque)
    to_requester: deque[RelayMessage | None] = field(default_factory=deque)
    requester_open: bool = True
    gate_open: bool = True
    writer: AnswerWriter | None = None
    sends_body: bool = False
    late_until: float = 0.0

    @property
    def over(self) -> bool:
        """Return whether both ends are closed and no message is in flight."""
        return not (self.requester_open or self.gate_open or self.to_gate or self.to_requester)


@dataclass(slots=True)
class PendingConnect:
    """A link that a requester is opening."""

    caller: Caller
    requester_number: int
    target_number: int
    due: float
