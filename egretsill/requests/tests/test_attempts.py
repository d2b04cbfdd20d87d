from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from itertools import count

import pytest

from ...configuration import Limits, RequestClass
from ...outcomes import (
    Answered,
    Cancelled,
    Outcome,
    RefusalReason,
    Refused,
    Unknown,
    UnknownReason,
)
from .. import RequestHead
from .._attempt_events import (
    AttemptEffect,
    AttemptEvent,
    AwaitVerdict,
    Conclude,
    Connect,
    DeadlinePassed,
    LinkFailed,
    LinkReady,
    MessageReceived,
    RequestBegun,
    RequestCancelled,
    SendMessage,
    VerdictDue,
)
from .._attempts import Attempts
from .._messages import (
    NOT_KNOWN,
    NOT_STARTED,
    RUNNING,
    Cancel,
    Data,
    End,
    Failed,
    GateMark,
    Head,
    Open,
    Refusal,
    RequestId,
    Resume,
    ResumeAnswer,
    Started,
)
from .._offer import RESUME_SECONDS
from .._retry_budget import RetryBudget
from ._fakes import LOOKUP, ORDER, SimplePlacement, make_service

READY = LinkReady(1, GateMark(1, 0.0), 100.0)


class Driver:
    """Attempts on a clock that advances only when a test sets it."""

    def __init__(
        self,
        request_class: RequestClass,
        order: tuple[int, ...] = (1, 2, 3),
        limits: Limits | None = None,
        deadline: float | None = 50.0,
    ) -> None:
        service = replace(make_service(), limits=limits or Limits(retry_share=3.0))
        head = RequestHead("catalog", request_class.methods[0], "/", (), deadline)
        sequence = count(1)
        self.now = 0.0
        self.placement = SimplePlacement(order)
        self.attempts = Attempts(
            head,
            service,
            request_class,
            deadline,
            self.placement,
            RetryBudget(service.limits.retry_share),
            lambda: RequestId(9, 1, next(sequence)),
        )

    def feed(self, *events: AttemptEvent) -> Sequence[AttemptEffect]:
        effects: Sequence[AttemptEffect] = []
        for event in events:
            effects = self.attempts.handle(event, self.now)
        return effects


def outcome_of(effects: Sequence[AttemptEffect]) -> Outcome | None:
    return next((each.outcome for each in effects if isinstance(each, Conclude)), None)


def receive(*messages: Started | Refusal | Head | Data | End | Failed) -> list[AttemptEvent]:
    return [MessageReceived(1, each) for each in messages]


@pytest.mark.parametrize(
    ("request_class", "events", "outcome"),
    [
        pytest.param(
            ORDER, receive(Failed("backend-lost")), Unknown(UnknownReason.BACKEND_LOST), id="order"
        ),
        pytest.param(
            ORDER,
            receive(Started(0), Refusal("shedding", 2.0)),
            None,
            id="order that the backend server reports as not run",
        ),
        pytest.param(LOOKUP, receive(Failed("backend-lost")), None, id="lookup without answer"),
        pytest.param(
            LOOKUP,
            receive(Head(200, ()), Failed("backend-lost")),
            Unknown(UnknownReason.BACKEND_LOST),
            id="lookup with a partial answer",
        ),
        pytest.param(
            ORDER,
            receive(Head(200, ()), Data(0, b"ok"), End(2)),
            Answered(200),
            id="answered",
        ),
        pytest.param(ORDER, [RequestCancelled()], Cancelled(), id="cancelled"),
    ],
)
def test_sent_offer_is_concluded_or_retried(
    request_class: RequestClass, events: list[AttemptEvent], outcome: Outcome | None
) -> None:
    driver = Driver(request_class)
    driver.feed(RequestBegun(), READY)
    effects = driver.feed(*events)
    assert outcome_of(effects) == outcome
    assert outcome is not None or any(isinstance(each, Connect) for each in effects)
    assert (driver.placement.outstanding == 0.0) == (outcome is not None)


def test_open_has_deadline_on_gate_clock() -> None:
    driver = Driver(ORDER)
    opened = driver.feed(RequestBegun(), READY)[0]
    assert isinstance(opened, SendMessage)
    assert isinstance(opened.message, Open)
    assert opened.message.deadline == 150.0


def test_tries_are_bounded() -> None:
    driver = Driver(ORDER, limits=Limits(tries=2, retry_share=1.0))
    assert outcome_of(driver.feed(RequestBegun(), LinkFailed(1))) is None
    outcome = outcome_of(driver.feed(LinkFailed(2)))
    assert outcome == Refused(RefusalReason.BACKEND_UNREACHABLE)
    assert driver.attempts.tally.tries == 2


def test_exhausted_budget_ends_request() -> None:
    limits = Limits(tries=9, retry_share=3.0)
    driver = Driver(ORDER, order=tuple(range(1, 10)), limits=limits)
    driver.feed(RequestBegun())
    outcomes = [outcome_of(driver.feed(LinkFailed(number))) for number in range(1, 5)]
    assert outcomes == [None, None, None, Refused(RefusalReason.RETRY_BUDGET)]


def test_lookup_that_may_have_run_is_unknown() -> None:
    driver = Driver(LOOKUP, order=(1,))
    driver.feed(RequestBegun(), READY, *receive(Failed("backend-lost")))
    outcome = outcome_of(driver.feed(LinkFailed(2)))
    assert outcome == Unknown(UnknownReason.BACKEND_LOST)


@pytest.mark.parametrize(
    ("request_class", "state", "outcome"),
    [
        pytest.param(ORDER, RUNNING, None, id="order that runs"),
        pytest.param(ORDER, NOT_KNOWN, Unknown(UnknownReason.RELAY_LOST), id="order not known"),
        pytest.param(ORDER, NOT_STARTED, None, id="order not started is offered again"),
        pytest.param(LOOKUP, NOT_KNOWN, None, id="lookup not known is offered again"),
    ],
)
def test_request_is_resumed_after_link_failure(
    request_class: RequestClass, state: str, outcome: Outcome | None
) -> None:
    driver = Driver(request_class)
    driver.feed(RequestBegun(), READY)
    assert driver.feed(LinkFailed(1)) == [Connect(2, 1, True, 0.0)]
    asked = driver.feed(LinkReady(2, GateMark(1, 5.0), 100.0))
    identifier = RequestId(9, 1, 1)
    assert asked == [SendMessage(2, Resume(identifier, 2, GateMark(1, 0.0), False, 0))]
    effects = driver.feed(MessageReceived(2, ResumeAnswer(state, 0)))
    assert outcome_of(effects) == outcome


def test_resume_attempts_end_before_deadline() -> None:
    driver = Driver(ORDER)
    driver.feed(RequestBegun(), READY, LinkFailed(1))
    outcome: Outcome | None = None
    for link in range(2, 40):
        driver.now += 0.5
        outcome = outcome_of(driver.feed(LinkFailed(link)))
        if outcome is not None:
            break
    assert outcome == Unknown(UnknownReason.RELAY_LOST)
    assert driver.now <= RESUME_SECONDS + 1.0


@pytest.mark.parametrize(
    ("events", "outcome"),
    [
        pytest.param([], Refused(RefusalReason.DEADLINE), id="not sent"),
        pytest.param([READY, *receive(Started(0))], Unknown(UnknownReason.DEADLINE), id="started"),
        pytest.param([READY, LinkFailed(1)], Unknown(UnknownReason.DEADLINE), id="link lost"),
    ],
)
def test_deadline_concludes_request_at_once(events: list[AttemptEvent], outcome: Outcome) -> None:
    driver = Driver(ORDER)
    driver.feed(RequestBegun(), *events)
    assert outcome_of(driver.feed(DeadlinePassed())) == outcome


@pytest.mark.parametrize(
    ("event", "outcome"),
    [
        pytest.param(
            MessageReceived(1, Refusal("deadline", 1.0)),
            Refused(RefusalReason.DEADLINE),
            id="gate reports not run",
        ),
        pytest.param(
            MessageReceived(1, Failed("deadline")),
            Unknown(UnknownReason.DEADLINE),
            id="gate reports that it ran",
        ),
        pytest.param(VerdictDue(), Unknown(UnknownReason.DEADLINE), id="no report in time"),
        pytest.param(LinkFailed(1), Unknown(UnknownReason.DEADLINE), id="link lost"),
    ],
)
def test_cancelled_offer_awaits_verdict(event: AttemptEvent, outcome: Outcome) -> None:
    driver = Driver(ORDER)
    driver.feed(RequestBegun(), READY)
    effects = driver.feed(DeadlinePassed())
    assert effects[0] == SendMessage(1, Cancel(RequestId(9, 1, 1)))
    assert isinstance(effects[1], AwaitVerdict)
    assert outcome_of(driver.feed(event)) == outcome


def test_partly_released_body_is_not_offered_again() -> None:
    driver = Driver(ORDER)
    driver.attempts.body.append(bytes(100_000))
    driver.feed(RequestBegun(), READY, *receive(Started(0)))
    driver.attempts.body.release(50_000)
    outcome = outcome_of(driver.feed(*receive(Refusal("shedding", 2.0))))
    assert outcome == Refused(RefusalReason.SHEDDING, 2.0)


def test_messages_of_older_link_are_ignored() -> None:
    driver = Driver(ORDER)
    driver.feed(RequestBegun(), READY, LinkFailed(1))
    assert driver.feed(*receive(Refusal("full", 1.0))) == []
