"""Tests of which observations count as violations."""

from __future__ import annotations

import pytest

from ...address_steering import FlowKey
from ...directory import Route, RouteTable, ServiceShare, Target, TargetPhase
from ...directory.tests.revisions import rev
from .. import Outcome, Rule
from .._judge import Judge
from .._request import Answer, Request, answer_body

FLOW = FlowKey(1, 2, 3, 443)
RESET = b"reset"


def target(service: str = "catalog", host: int = 9) -> Target:
    return Target("t1", host, 80, service, "a", TargetPhase.READY, 2, 0.0, 1, rev(1))


def table(version: int, *services: str) -> RouteTable:
    shares = tuple(ServiceShare(each, 1) for each in services)
    routes = {(3, 443): Route("r", 3, 443, shares)} if services else {}
    return RouteTable(version, routes, 12.0)


def make_judge(is_undisturbed: bool = True, is_open: bool = True) -> Judge:
    judge = Judge(lambda _: is_undisturbed, lambda *_: is_open)
    judge.note_version(table(1, "catalog"), 0.0)
    return judge


def rules(judge: Judge) -> list[Rule]:
    return [each.rule for each in judge.violations]


@pytest.mark.parametrize(
    ("sent_at", "service", "expected"),
    [
        pytest.param(11.0, "catalog", [], id="the old service, just after the change"),
        pytest.param(13.5, "catalog", [Rule.CONFIGURATION], id="the old service, too late"),
        pytest.param(13.5, "intake", [], id="the new service"),
        pytest.param(11.0, "other", [Rule.ROUTE], id="a service that no version allows"),
    ],
)
def test_service_that_accepts_flow_is_checked(
    sent_at: float, service: str, expected: list[Rule]
) -> None:
    judge = make_judge()
    judge.note_version(table(2, "intake"), 10.0)
    judge.note_syn_sent(FLOW, sent_at)
    judge.note_syn_accepted(FLOW, target(service), sent_at + 0.1)
    assert rules(judge) == expected


@pytest.mark.parametrize(
    ("at", "expected"),
    [
        pytest.param(7.9, [], id="within the drain time"),
        pytest.param(8.1, [Rule.DRAIN], id="after the drain time"),
    ],
)
def test_new_flow_at_draining_target_is_violation(at: float, expected: list[Rule]) -> None:
    judge = make_judge()
    judge.note_draining(target(), 5.0)
    judge.note_syn_sent(FLOW, at)
    judge.note_syn_accepted(FLOW, target(), at)
    assert rules(judge) == expected


@pytest.mark.parametrize(
    ("is_undisturbed", "is_open", "is_targets_own", "expected"),
    [
        pytest.param(True, True, False, [Rule.FLOW], id="an open flow of a calm target"),
        pytest.param(False, True, False, [], id="an open flow of a disturbed VM"),
        pytest.param(True, False, False, [], id="a flow that its target doesn't have"),
        pytest.param(True, True, True, [], id="reset by the target itself"),
    ],
)
def test_reset_of_protected_flow_is_violation(
    is_undisturbed: bool, is_open: bool, is_targets_own: bool, expected: list[Rule]
) -> None:
    judge = make_judge(is_undisturbed, is_open)
    judge.note_established(FLOW, target(), 1.0)
    if is_targets_own:
        judge.note_written(RESET)
    judge.note_reset(FLOW, RESET, 2.0)
    assert rules(judge) == expected


@pytest.mark.parametrize(
    ("times", "arrives_at", "expected"),
    [
        pytest.param([1.0, 2.0, 3.0], None, [Rule.FLOW], id="three in two seconds"),
        pytest.param([1.0, 3.0], None, [], id="only two"),
        pytest.param([1.0, 1.5, 2.0], None, [], id="for a short while"),
        pytest.param([1.0, 2.0, 3.0], 2.5, [], id="one arrived meanwhile"),
    ],
)
def test_repeatedly_misrouted_flow_is_violation(
    times: list[float], arrives_at: float | None, expected: list[Rule]
) -> None:
    judge = make_judge()
    judge.note_established(FLOW, target(), 0.5)
    for at in times:
        if arrives_at is not None and arrives_at < at:
            judge.note_arrival(FLOW, arrives_at)
        judge.note_misrouted(FLOW, target(host=8), at)
    assert rules(judge) == expected


def test_unsent_or_repeated_run_is_violation() -> None:
    judge = make_judge()
    request = Request(7, 0, 0.03, 16, 200)
    judge.note_run(request, target(), 1.0)
    judge.note_sent(request)
    judge.note_run(request, target(), 2.0)
    judge.note_run(request, target(), 3.0)
    assert rules(judge) == [Rule.UNASKED, Rule.TWICE]


@pytest.mark.parametrize(
    ("answer", "expected_number", "expected"),
    [
        pytest.param(Answer(7, True, answer_body(7, 16)), 7, [], id="right"),
        pytest.param(Answer(7, False, b""), 7, [], id="not run"),
        pytest.param(
            Answer(7, True, answer_body(8, 16)), 7, [Rule.MIXED], id="body of another request"
        ),
        pytest.param(Answer(7, True, b""), 7, [Rule.MIXED], id="truncated body"),
        pytest.param(
            Answer(7, True, answer_body(7, 16)), 8, [Rule.MIXED], id="answer to another request"
        ),
        pytest.param(Answer(9, True, b""), None, [Rule.MIXED], id="answer to unknown request"),
    ],
)
def test_wrong_answer_is_violation(
    answer: Answer, expected_number: int | None, expected: list[Rule]
) -> None:
    judge = make_judge()
    judge.note_sent(Request(7, 0, 0.03, 16, 200))
    judge.note_sent(Request(8, 0, 0.03, 16, 200))
    judge.note_answer(answer, expected_number, 2.0)
    assert rules(judge) == expected


def test_unwritten_packet_is_violation() -> None:
    judge = make_judge()
    judge.note_written(b"whole")
    for data in (b"whole", b"changed"):
        judge.note_delivery(data, target(), 1.0)
        judge.note_delivery_to_caller(data, 1.0)
    assert rules(judge) == [Rule.UNASKED, Rule.MIXED]


@pytest.mark.parametrize(
    ("served", "expected"),
    [pytest.param(1, [], id="a quarter"), pytest.param(0, [Rule.RECOVERY], id="none")],
)
def test_recovery_requires_minimum_share(served: int, expected: list[Rule]) -> None:
    judge = make_judge()
    for number in range(4):
        outcome = Outcome.LATE if number < served else Outcome.FAILED
        judge.note_outcome(outcome, 20.0 + number)
    judge.note_outcome(Outcome.FAILED, 10.0)
    judge.check_recovery(5.0, 30.0)
    assert rules(judge) == expected


def test_windows_group_by_request_time() -> None:
    judge = make_judge()
    for requested_at, outcome in (
        (1.0, Outcome.IN_TIME),
        (3.0, Outcome.LATE),
        (3.5, Outcome.IN_TIME),
    ):
        judge.note_outcome(outcome, requested_at)
    assert judge.windows == [(0.0, 1, 1), (2.0, 2, 1)]


@pytest.mark.parametrize(
    ("at", "is_restored", "is_undisturbed", "expected"),
    [
        pytest.param(7.9, False, True, [], id="within the time to take effect"),
        pytest.param(8.1, False, True, [Rule.EVACUATION], id="after it"),
        pytest.param(8.1, True, True, [], id="taken back"),
        pytest.param(8.1, False, False, [], id="through a disturbed VM"),
    ],
)
def test_new_flow_in_an_evacuated_domain_is_violation(
    at: float, is_restored: bool, is_undisturbed: bool, expected: list[Rule]
) -> None:
    judge = make_judge(is_undisturbed)
    judge.note_evacuated("a", 5.0)
    judge.note_evacuated("b", 1.0)
    if is_restored:
        judge.note_restored("a")
    judge.note_syn_sent(FLOW, at)
    judge.note_syn_accepted(FLOW, target(), at)
    assert rules(judge) == expected


@pytest.mark.parametrize(
    ("times", "pace", "expected"),
    [
        pytest.param([0.0, 0.5, 1.1], 2, [], id="no more than the pace"),
        pytest.param([0.0, 0.5, 0.9], 2, [Rule.WARM_UP], id="one more in a second"),
        pytest.param([0.6, 0.9, 1.5], 2, [Rule.WARM_UP], id="a second that begins anywhere"),
        pytest.param([0.0, 0.1, 0.2], 0, [], id="no pace"),
    ],
)
def test_pace_of_targets_in_warm_up_is_checked(
    times: list[float], pace: int, expected: list[Rule]
) -> None:
    judge = Judge(lambda _: True, lambda *_: True, pace)
    for at in times:
        judge.note_early_syn(target(), at)
    assert rules(judge) == expected
