from __future__ import annotations

import math
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Limits, RequestShape
from ...outcomes import RefusalReason
from .. import Admission, AdmissionDecision, Admitted, DuplicateTicket, Queued, Rejected, Ticket

LIMITS = Limits(queue_length=1, queue_seconds=0.5)


def make_admission(slots: int = 2, connections: int = 1, limits: Limits = LIMITS) -> Admission:
    return Admission(slots, connections, limits, Random(7))


def ticket(
    identifier: str,
    tenant: str = "hakusana",
    class_name: str = "lookup",
    weight: float = 1.0,
    shape: RequestShape = RequestShape.SHORT,
    priority: int = 1,
    deadline: float | None = None,
) -> Ticket:
    return Ticket(identifier, tenant, class_name, weight, shape, priority, deadline)


def summary(decision: AdmissionDecision) -> tuple[str, str]:
    match decision:
        case Admitted(identifier):
            return identifier, "admitted"
        case Queued(identifier):
            return identifier, "queued"
        case Rejected(identifier, refusal):
            return identifier, refusal.reason.value


def filled(slots: int = 2, limits: Limits = LIMITS) -> Admission:
    admission = make_admission(slots, limits=limits)
    for number in range(slots):
        assert admission.ask(ticket(f"running-{number}"), 0.0) == Admitted(f"running-{number}")
    return admission


@pytest.mark.parametrize(
    ("asked", "expected"),
    [
        pytest.param([ticket("a")], ["admitted"], id="free slot"),
        pytest.param(
            [ticket("a"), ticket("b"), ticket("c")], ["admitted"] * 2 + ["queued"], id="wait"
        ),
        pytest.param(
            [ticket(name) for name in "abcde"],
            ["admitted"] * 2 + ["queued"] * 2 + ["full"],
            id="queue full",
        ),
        pytest.param([ticket("a", deadline=0.0)], ["deadline"], id="deadline passed"),
        pytest.param(
            [ticket(name, shape=RequestShape.UPLOAD) for name in "abc"],
            ["admitted"] * 2 + ["queued"],
            id="uploads take slots",
        ),
        pytest.param(
            [ticket(name, shape=RequestShape.SUBSCRIPTION) for name in "ab"] + [ticket("c")],
            ["admitted", "full", "admitted"],
            id="subscriptions take connections, not slots",
        ),
    ],
)
def test_decisions_of_free_admission(asked: list[Ticket], expected: list[str]) -> None:
    admission = make_admission()
    assert [summary(admission.ask(each, 0.0))[1] for each in asked] == expected


@pytest.mark.parametrize(
    ("waiting", "first"),
    [
        pytest.param([ticket("a"), ticket("b")], "a", id="order of arrival"),
        pytest.param([ticket("a"), ticket("b", priority=0)], "b", id="priority"),
        pytest.param([ticket("a"), ticket("b", class_name="order")], "b", id="least used share"),
        pytest.param([ticket("a", deadline=9.0), ticket("b", deadline=8.0)], "b", id="deadline"),
        pytest.param(
            [ticket("a", priority=0, deadline=9.0), ticket("b", class_name="order", deadline=8.0)],
            "a",
            id="priority before share and deadline",
        ),
    ],
)
def test_released_slot_goes_to_first_in_queue(waiting: list[Ticket], first: str) -> None:
    admission = filled()
    assert [summary(admission.ask(each, 0.0))[1] for each in waiting] == ["queued"] * 2
    assert [summary(each) for each in admission.release("running-0", 0.1)] == [(first, "admitted")]


@pytest.mark.parametrize(
    ("new_ticket", "decision", "displaced"),
    [
        pytest.param(ticket("c", priority=0), "queued", [("b", "overload")], id="higher priority"),
        pytest.param(ticket("c", priority=2), "full", [], id="lower priority"),
        pytest.param(ticket("c"), "full", [], id="same tenant"),
        pytest.param(
            ticket("c", tenant="vasile"), "queued", [("b", "overload")], id="tenant below share"
        ),
        pytest.param(ticket("c", tenant="vasile", weight=9.0), "full", [], id="tenant above share"),
    ],
)
def test_new_ticket_at_full_queue(
    new_ticket: Ticket, decision: str, displaced: list[tuple[str, str]]
) -> None:
    admission = filled()
    admission.ask(ticket("a"), 0.0)
    admission.ask(ticket("b"), 0.0)
    assert summary(admission.ask(new_ticket, 0.0))[1] == decision
    assert (admission.next_expiry == -math.inf) == bool(displaced)
    assert [summary(each) for each in admission.expire(0.0)] == displaced


@pytest.mark.parametrize(
    ("deadline", "at", "reason"),
    [
        pytest.param(None, 0.5, "overload", id="longest wait"),
        pytest.param(0.2, 0.2, "deadline", id="deadline before the longest wait"),
    ],
)
def test_queued_ticket_expires(deadline: float | None, at: float, reason: str) -> None:
    admission = filled()
    admission.ask(ticket("a", deadline=deadline), 0.0)
    assert admission.next_expiry == at
    assert admission.expire(at - 0.01) == []
    assert [summary(each) for each in admission.expire(at)] == [("a", reason)]
    assert admission.next_expiry is None


def test_late_release_rejects_expired_tickets() -> None:
    admission = filled()
    admission.ask(ticket("a", deadline=0.2), 0.0)
    admission.ask(ticket("b", deadline=400.0), 0.0)
    decisions = [summary(each) for each in admission.release("running-0", 300.0)]
    assert decisions == [("a", "deadline"), ("b", "overload")]


def test_ticket_that_cannot_meet_deadline_is_rejected() -> None:
    admission = filled()
    admission.release("running-0", 2.0)
    assert summary(admission.ask(ticket("a", deadline=3.0), 2.0))[1] == "deadline"
    assert summary(admission.ask(ticket("b", class_name="new", deadline=3.0), 2.0))[1] == "admitted"


def test_decayed_service_time_admits_again() -> None:
    admission = filled()
    admission.release("running-0", 2.0)
    assert summary(admission.ask(ticket("a", deadline=32.0), 31.0))[1] == "admitted"


def test_long_expected_wait_is_overload() -> None:
    admission = filled(limits=Limits(queue_length=4, queue_seconds=0.5))
    admission.release("running-0", 0.8)
    admission.ask(ticket("a"), 0.8)
    assert summary(admission.ask(ticket("b"), 0.8))[1] == "queued"
    assert summary(admission.ask(ticket("c"), 0.8))[1] == "overload"


def test_stop_rejects_queue_and_keeps_running() -> None:
    admission = filled()
    admission.ask(ticket("a"), 0.0)
    assert [summary(each) for each in admission.stop(0.1)] == [("a", "draining")]
    assert summary(admission.ask(ticket("b"), 0.1)) == ("b", "draining")
    assert (admission.running, admission.stopped) == (2, True)
    assert admission.release("running-0", 0.2) == []
    admission.resume()
    assert summary(admission.ask(ticket("c"), 0.3)) == ("c", "admitted")


def test_repeated_release_frees_one_slot() -> None:
    admission = filled()
    admission.ask(ticket("a"), 0.0)
    admission.ask(ticket("b"), 0.0)
    assert [summary(each) for each in admission.release("running-0", 0.1)] == [("a", "admitted")]
    assert admission.release("running-0", 0.1) == []
    assert admission.cancel("running-0", 0.1) == []
    assert admission.cancel("b", 0.1) == []
    assert (admission.running, admission.queued) == (2, 0)


def test_duplicate_identifier_raises() -> None:
    admission = filled()
    with pytest.raises(DuplicateTicket):
        admission.ask(ticket("running-0"), 0.0)


def test_changed_slots_affect_only_new_admissions() -> None:
    admission = filled()
    admission.ask(ticket("a"), 0.0)
    assert admission.update(1, 1, LIMITS, 0.1) == []
    assert admission.release("running-0", 0.2) == []
    assert [summary(each) for each in admission.update(2, 1, LIMITS, 0.3)] == [("a", "admitted")]


def test_retry_delays_have_jitter() -> None:
    admission = filled()
    admission.stop(0.0)
    refused = [admission.ask(ticket(str(number)), 0.0) for number in range(20)]
    seconds = {each.refusal.retry_after_seconds for each in refused if isinstance(each, Rejected)}
    assert len(seconds) == 20
    assert min(seconds) > 0.0


STEPS = st.tuples(
    st.sampled_from(["ask", "ask", "ask", "release", "cancel", "expire", "stop", "resume"]),
    st.floats(0.0, 0.4),
    st.integers(0, 30),
    st.sampled_from(["a", "b"]),
    st.integers(0, 2),
    st.sampled_from([None, 0.0, 0.1, 0.5, 2.0]),
)


class AdmissionModel:
    """Applies steps to an admission and checks its invariants."""

    def __init__(self, slots: int) -> None:
        self.admission = make_admission(slots)
        self.slots = slots
        self.now = 0.0
        self.asked: dict[str, Ticket] = {}
        self.state: dict[str, str] = {}

    def apply(self, step: tuple[str, float, int, str, int, float | None]) -> None:
        action, seconds, pick, tenant, priority, time_left = step
        self.now += seconds
        match action:
            case "ask":
                deadline = None if time_left is None else self.now + time_left
                made = ticket(str(len(self.asked)), tenant, priority=priority, deadline=deadline)
                self.asked[made.identifier] = made
                self.take([self.admission.ask(made, self.now)])
            case "release" | "cancel":
                self.end(action, str(pick))
            case "expire":
                self.take(self.admission.expire(self.now))
            case "stop":
                self.take(self.admission.stop(self.now))
            case "resume":
                self.admission.resume()
        self.check()

    def end(self, action: str, identifier: str) -> None:
        if self.state.get(identifier) not in ("admitted", "queued"):
            return
        if action == "release" and self.state[identifier] == "queued":
            return
        self.state[identifier] = "ended"
        method = self.admission.release if action == "release" else self.admission.cancel
        self.take(method(identifier, self.now))

    def take(self, decisions: object) -> None:
        assert isinstance(decisions, list)
        for decision in decisions:
            identifier = decision.identifier
            assert self.state.get(identifier) in (None, "queued")
            if isinstance(decision, Admitted):
                deadline = self.asked[identifier].deadline
                assert deadline is None or self.now < deadline
                assert not self.admission.stopped
            self.state[identifier] = summary(decision)[1]

    def check(self) -> None:
        held = [each for each, state in self.state.items() if state == "admitted"]
        waits = [each for each, state in self.state.items() if state == "queued"]
        assert len(held) == self.admission.running <= self.slots
        displaced = self.admission.next_expiry == -math.inf
        assert displaced or len(waits) == self.admission.queued
        assert self.admission.queued <= LIMITS.queue_length * self.slots
        assert self.admission.queued == 0 or self.admission.running == self.slots


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(1, 3), st.lists(STEPS, max_size=60))
def test_random_steps_keep_invariants(slots: int, steps: list[tuple]) -> None:  # type: ignore[type-arg]
    model = AdmissionModel(slots)
    for step in steps:
        model.apply(step)
    model.now += 1.0
    model.take(model.admission.expire(model.now))
    assert "queued" not in model.state.values()
    for identifier, state in list(model.state.items()):
        if state == "admitted":
            model.end("release", identifier)
    assert (model.admission.running, model.admission.outstanding_weight) == (0, 0)


def test_rejection_has_refusal_reason() -> None:
    decision = filled().ask(ticket("late", deadline=-1.0), 0.0)
    assert isinstance(decision, Rejected)
    assert decision.refusal.reason is RefusalReason.DEADLINE
