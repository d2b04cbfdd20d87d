"""Targets that fail part of their requests although their health check succeeds."""

from __future__ import annotations

import pytest

from ...fleet import PeerReport
from .. import AgentSteering, DeliverToTarget, Forward, ForwardReason, PacketKind
from .._flow_table import STUCK_SECONDS
from .._target_failures import (
    AVOIDED_SECONDS,
    LONGEST_AVOIDED_SECONDS,
    MINIMUM_FAILURES,
    RECOVERED_SECONDS,
    TargetFailures,
    is_failure,
)
from .load_fleet import LoadFleet
from .scene import AGENTS, DOMAIN, SERVICE, Scene, envelope, flow, make_agent, packet


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        pytest.param(200, False, id="success"),
        pytest.param(404, False, id="caller's mistake"),
        pytest.param(0, False, id="unknown"),
        pytest.param(500, True, id="error"),
        pytest.param(503, True, id="overload"),
        pytest.param(421, True, id="rejected"),
    ],
)
def test_statuses_that_count_as_failures(status: int, expected: bool) -> None:
    assert is_failure(status) is expected


# Guards against a target that is avoided for the mistakes of single requests.
@pytest.mark.parametrize(
    ("failures", "successes", "expected"),
    [
        pytest.param(MINIMUM_FAILURES - 1, 0, False, id="too few"),
        pytest.param(MINIMUM_FAILURES, 0, True, id="all fail"),
        pytest.param(MINIMUM_FAILURES, 12, True, id="a quarter fails"),
        pytest.param(1, 15, False, id="one of many fails"),
    ],
)
def test_target_is_avoided_by_its_latest_answers(
    failures: int, successes: int, expected: bool
) -> None:
    judged = TargetFailures()
    for number in range(successes + failures):
        judged.record(number >= successes, 1.0 + 0.05 * number)
    assert judged.is_failing(2.0) is expected


def test_old_failures_do_not_count() -> None:
    judged = TargetFailures()
    for number in range(2 * MINIMUM_FAILURES):
        judged.record(True, 3.0 * number)
    assert not judged.is_failing(3.0 * 2 * MINIMUM_FAILURES)


# Guards against a target that goes down and up, and is taken for well after each pause.
def test_target_that_fails_its_trials_is_avoided_for_longer_each_time() -> None:
    judged = TargetFailures()
    now, spans = 0.0, []
    for _ in range(6):
        while not judged.is_failing(now):
            now += 0.1
            judged.record(True, now)
        since = now
        while judged.is_failing(now):
            now += 0.05
        spans.append(round(now - since))
    doubled = [AVOIDED_SECONDS * 2**number for number in range(6)]
    assert spans == [min(each, LONGEST_AVOIDED_SECONDS) for each in doubled]


def test_recovered_target_starts_anew() -> None:
    judged = TargetFailures()
    for number in range(MINIMUM_FAILURES):
        judged.record(True, 0.1 * number)
    now = AVOIDED_SECONDS + RECOVERED_SECONDS + 1.0
    judged.tick(now)
    for number in range(MINIMUM_FAILURES):
        assert not judged.is_failing(now + 0.1 * number)
        judged.record(True, now + 0.1 * number)
    assert judged.is_failing(now + AVOIDED_SECONDS)
    assert not judged.is_failing(now + 1.5 * AVOIDED_SECONDS)


def fail_requests(scene: Scene, now: float) -> tuple[AgentSteering, float]:
    """Return an agent whose target has just failed some requests, and the time after them."""
    agent = make_agent(scene)
    for number in range(MINIMUM_FAILURES):
        key = flow(number)
        agent.take_from_peer(envelope(), packet(PacketKind.SYN, key), now)
        agent.take_from_target(packet(PacketKind.SYN_ACK, key), now)
        agent.take_from_peer(envelope(), packet(key=key, payload_bytes=9), now)
        now += 0.05
        agent.take_from_target(packet(key=key, payload_bytes=9)._replace(status=500), now)
    return agent, now


# Guards against new flows at a failing target from balancers that were not told yet.
def test_agent_of_a_failing_target_passes_new_flows_on_once() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent, now = fail_requests(scene, 1.0)
    assert agent.is_target_failing(now)
    syn = packet(PacketKind.SYN, flow(90))
    passed = agent.take_from_peer(envelope(), syn, now)
    assert [each.reason for each in passed if isinstance(each, Forward)] == [
        ForwardReason.TARGET_FAILING
    ]
    again = packet(PacketKind.SYN, flow(91))
    kept = agent.take_from_peer(envelope([AGENTS[1]]), again, now)
    assert isinstance(kept[0], DeliverToTarget)


# Guards against refusals when a caller's own requests, or a common dependency, fail everywhere.
@pytest.mark.parametrize(
    ("failing", "is_avoided"),
    [pytest.param(1, True, id="one of five"), pytest.param(4, False, id="four of five")],
)
def test_reports_are_ignored_when_too_many_targets_fail(failing: int, is_avoided: bool) -> None:
    scene = Scene()
    scene.receive_heartbeats(1.0)
    sick = AGENTS[:failing]
    scene.peers.receive_reports([PeerReport(host, is_target_failing=True) for host in sick], 1.1)
    placement = scene.placement
    chosen = {placement.choose(flow(number), SERVICE, (), DOMAIN, 1.2) for number in range(200)}
    assert chosen.isdisjoint(sick) is is_avoided


@pytest.mark.parametrize("seed", [1, 2])
def test_callers_lose_little_while_a_target_fails_half_of_its_requests(seed: int) -> None:
    """Guards against a target that keeps its share of the flows for failing them fast."""
    fleet = LoadFleet(seed)
    fleet.ask_at_rate(0.5, 8.0, 240.0)
    fleet.at(2.0, setattr, fleet.targets[1002], "failing_share", 0.5)
    fleet.play()
    assert fleet.failed(3.0, 8.0) <= 0.02
    assert fleet.in_time(3.0, 8.0) >= 0.97


# Guards against a target that leaves some requests without an answer, and answers others.
def test_requests_without_an_answer_count_once_their_callers_have_given_up() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    for number in range(MINIMUM_FAILURES):
        key = flow(number)
        agent.take_from_peer(envelope(), packet(PacketKind.SYN, key), 1.0)
        agent.take_from_target(packet(PacketKind.SYN_ACK, key), 1.0)
        agent.take_from_peer(envelope(), packet(key=key, payload_bytes=9), 1.0)
    agent.sweep(1.0 + STUCK_SECONDS - 0.1)
    assert not agent.is_target_failing(1.0 + STUCK_SECONDS)
    agent.sweep(1.0 + STUCK_SECONDS + 0.1)
    assert agent.is_target_failing(1.0 + STUCK_SECONDS + 0.2)
