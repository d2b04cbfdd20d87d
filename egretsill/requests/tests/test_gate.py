from __future__ import annotations

from collections.abc import Sequence

import pytest

from ...outcomes import RefusalReason, Refused, UnknownReason
from .._gate import ORPHAN_SECONDS, Gate
from .._gate_events import (
    Abort,
    BackendEnded,
    CloseLink,
    Follow,
    GateEffect,
    GateEvent,
    Launch,
    LinkLost,
    MessageArrived,
    Progress,
    Send,
    Stopped,
    TimePassed,
)
from .._gate_memory import MEMORY_SECONDS
from .._messages import (
    FINISHED,
    NOT_KNOWN,
    NOT_STARTED,
    RUNNING,
    Accepted,
    Acknowledge,
    Cancel,
    End,
    Failed,
    GateMark,
    Head,
    Open,
    Refusal,
    RelayMessage,
    RequestId,
    Resume,
    ResumeAnswer,
)
from ._fakes import SimpleAdmission, make_service

ID = RequestId(9, 1, 1)
OTHER = RequestId(9, 1, 2)
INCARNATION = 5


def make_gate(slots: int = 1) -> Gate:
    services = {"catalog": make_service()}
    return Gate(INCARNATION, "catalog", services.get, SimpleAdmission(slots))


def make_open(
    identifier: RequestId = ID,
    marked_at: float = 0.0,
    deadline: float | None = None,
    service: str = "catalog",
    class_name: str = "order",
) -> Open:
    mark = GateMark(INCARNATION, marked_at)
    return Open(identifier, 1, mark, service, class_name, "POST", "/order", (), deadline, False)


def make_resume(
    identifier: RequestId = ID, epoch: int = 2, marked_at: float = 0.0, incarnation: int = 5
) -> Resume:
    return Resume(identifier, epoch, GateMark(incarnation, marked_at), False, 0)


def arrive(gate: Gate, link: int, message: RelayMessage, now: float) -> Sequence[GateEffect]:
    return gate.handle(MessageArrived(link, message), now)


def started_gate() -> Gate:
    gate = make_gate()
    arrive(gate, 1, make_open(), 1.0)
    assert gate.start(ID, 1.0) is None
    return gate


def test_open_is_accepted_and_launched() -> None:
    assert arrive(make_gate(), 1, make_open(), 1.0) == [
        Send(1, Accepted(ID)),
        Follow(1, ID, False, False, 0),
        Launch(ID),
    ]


@pytest.mark.parametrize(
    ("message", "reason"),
    [
        pytest.param(make_open(service="upload"), "wrong-service", id="another service"),
        pytest.param(
            make_open(class_name="listing"), "no-target", id="class does not match the declaration"
        ),
        pytest.param(make_open(deadline=1.0), "deadline", id="read after its deadline"),
    ],
)
def test_open_is_refused_at_once(message: Open, reason: str) -> None:
    effects = arrive(make_gate(), 1, message, 1.0)
    assert effects == [Send(1, Refusal(reason, 1.0))]


@pytest.mark.parametrize(
    ("wake", "expected"),
    [
        pytest.param(4.9, None, id="in time"),
        pytest.param(5.0, Refused(RefusalReason.DEADLINE), id="started after the deadline"),
    ],
)
def test_deadline_is_checked_at_start(wake: float, expected: Refused | None) -> None:
    gate = make_gate()
    arrive(gate, 1, make_open(deadline=5.0), 1.0)
    assert gate.start(ID, wake) == expected


def test_stopped_gate_refuses_admitted_request() -> None:
    gate = make_gate()
    arrive(gate, 1, make_open(), 1.0)
    gate.handle(Stopped(), 1.1)
    assert gate.start(ID, 1.2) == Refused(RefusalReason.DRAINING)


def test_queued_request_starts_when_slot_is_free() -> None:
    gate = started_gate()
    assert Launch(OTHER) not in arrive(gate, 2, make_open(OTHER), 1.0)
    effects = gate.handle(BackendEnded(ID, End(0)), 2.0)
    assert Launch(OTHER) in effects


@pytest.mark.parametrize(
    "started", [pytest.param(True, id="started"), pytest.param(False, id="not")]
)
def test_resume_before_start_prevents_start(started: bool) -> None:
    gate = started_gate() if started else make_gate()
    if not started:
        arrive(gate, 1, make_open(), 1.0)
    effects = arrive(gate, 2, make_resume(), 2.0)
    state = RUNNING if started else NOT_STARTED
    assert Send(2, ResumeAnswer(state, 0)) in effects
    assert CloseLink(1) in effects
    assert started or gate.start(ID, 2.0) == Refused(RefusalReason.FENCED)


def test_open_after_resume_is_refused() -> None:
    gate = make_gate()
    assert arrive(gate, 2, make_resume(), 2.0) == [Send(2, ResumeAnswer(NOT_STARTED, 0))]
    assert arrive(gate, 1, make_open(), 3.0) == [Send(1, Refusal("fenced", 1.0))]


def test_open_after_evicted_withdrawal_is_not_run() -> None:
    gate = make_gate()
    arrive(gate, 2, make_resume(), 2.0)
    gate.handle(TimePassed(), 2.0 + MEMORY_SECONDS)
    assert gate.remembered == 0
    effects = arrive(gate, 1, make_open(), 3.0 + MEMORY_SECONDS)
    assert effects == [Send(1, Failed(UnknownReason.RELAY_LOST.value))]
    assert Launch(OTHER) in arrive(gate, 3, make_open(OTHER, 2.0 + MEMORY_SECONDS), 70.0)


@pytest.mark.parametrize(
    ("resume", "state"),
    [
        pytest.param(make_resume(OTHER, marked_at=0.5), NOT_STARTED, id="never arrived"),
        pytest.param(
            make_resume(OTHER, incarnation=4), NOT_KNOWN, id="mark of an earlier incarnation"
        ),
    ],
)
def test_resume_of_unknown_identifier(resume: Resume, state: str) -> None:
    effects = arrive(started_gate(), 2, resume, 2.0)
    assert effects == [Send(2, ResumeAnswer(state, 0))]


@pytest.mark.parametrize(
    "epoch", [pytest.param(2, id="the same epoch"), pytest.param(1, id="an older epoch")]
)
def test_resume_with_old_epoch_is_fenced(epoch: int) -> None:
    gate = started_gate()
    arrive(gate, 2, make_resume(epoch=2), 2.0)
    assert arrive(gate, 3, make_resume(epoch=epoch), 3.0) == [CloseLink(3)]
    request = gate.request(ID)
    assert request is not None
    assert request.link == 2


def test_cancel_on_fenced_link_is_ignored() -> None:
    gate = started_gate()
    arrive(gate, 2, make_resume(), 2.0)
    assert arrive(gate, 1, Cancel(ID), 3.0) == []
    assert Abort(ID) in arrive(gate, 2, Cancel(ID), 3.0)


def test_finished_answer_is_kept_until_acknowledged() -> None:
    gate = started_gate()
    request = gate.request(ID)
    assert request is not None
    request.head = Head(200, ())
    request.answer.append(b"done")
    gate.handle(LinkLost(1), 2.0)
    gate.handle(BackendEnded(ID, End(4)), 3.0)
    effects = arrive(gate, 2, make_resume(), 4.0)
    assert effects == [Send(2, ResumeAnswer(FINISHED, 0)), Follow(2, ID, True, False, 0)]
    arrive(gate, 2, Acknowledge(4), 5.0)
    assert gate.request(ID) is None
    assert gate.running == 0
    assert arrive(gate, 3, make_open(), 6.0) == [CloseLink(3)]
    assert arrive(gate, 4, make_resume(), 6.0) == [Send(4, ResumeAnswer(NOT_KNOWN, 0))]


def test_orphan_releases_its_slot() -> None:
    gate = started_gate()
    gate.handle(LinkLost(1), 2.0)
    assert gate.handle(TimePassed(), 2.0 + ORPHAN_SECONDS - 0.1) == []
    assert gate.handle(TimePassed(), 2.0 + ORPHAN_SECONDS) == [Abort(ID), Progress(ID)]
    gate.handle(BackendEnded(ID, Failed("relay-lost")), 13.0)
    assert Launch(OTHER) in arrive(gate, 2, make_open(OTHER), 13.0)


@pytest.mark.parametrize("lost_first", [True, False], ids=["lost, then ended", "ended, then lost"])
def test_resumable_answer_counts_as_running(lost_first: bool) -> None:
    """Guards against a draining agent exiting with an answer whose requester lost its link."""
    gate = started_gate()
    request = gate.request(ID)
    assert request is not None
    request.answer.append(b"done")
    events: list[GateEvent] = [LinkLost(1), BackendEnded(ID, End(4))]
    for event in events if lost_first else reversed(events):
        gate.handle(event, 2.0)
    assert gate.running == 1
    gate.handle(TimePassed(), 2.0 + ORPHAN_SECONDS - 0.1)
    assert gate.running == 1
    gate.handle(TimePassed(), 2.0 + ORPHAN_SECONDS)
    assert gate.running == 0


def test_memory_is_bounded_by_time() -> None:
    gate = make_gate(slots=1000)
    for number in range(500):
        identifier = RequestId(9, 1, number)
        arrive(gate, number, make_open(identifier), 1.0)
        gate.start(identifier, 1.0)
        gate.handle(BackendEnded(identifier, Failed("backend-lost")), 1.0)
        gate.handle(LinkLost(number), 1.0)
    assert gate.remembered == 500
    gate.handle(TimePassed(), 1.0 + MEMORY_SECONDS)
    assert gate.remembered == 0
