"""Pace of new flows at a target in warm-up."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...directory import Directory, WarmUpTerms
from ...directory.tests.revisions import rev
from .. import (
    AgentSteering,
    CapacityOffer,
    CapacityRequest,
    DeliverToTarget,
    Drop,
    DropReason,
    Forward,
    ForwardReason,
    OfferCapacity,
    PacketKind,
    Refuse,
    RefuseReason,
    Wait,
    service_hash,
)
from .._tunnel import MAXIMUM_ROUTE_HOPS
from .._warm_up_pace import (
    BOUND_SECONDS,
    BUNCHING_SECONDS,
    MAXIMUM_LOAD_FACTOR,
    OpeningWindow,
    opening_limit,
    paced_load_factor,
)
from .paced_agent import COLD_AT, HERE, LIMIT, POLICY, SPAN, SYN, TERMS, PacedAgent
from .scene import AGENTS, RETENTION, SERVICE, Scene, envelope, flow, packet, table, target

OTHER = AGENTS[1]
HOLD_SECONDS = POLICY.hold_seconds


@pytest.fixture
def cold() -> PacedAgent:
    paced = PacedAgent()
    paced.restart_target(COLD_AT)
    return paced


def test_syn_beyond_the_pace_waits_and_goes_to_another_target(cold: PacedAgent) -> None:
    cold.fill(COLD_AT)
    assert len(cold.delivered) == LIMIT
    wait = cold.take(1, COLD_AT + 0.1)[0]
    assert isinstance(wait, Wait)
    assert wait.is_paced
    kept_until = COLD_AT + 0.11 + POLICY.late_hold_seconds
    passed = [each for each in cold.release(kept_until) if isinstance(each, Forward)]
    assert [each.reason for each in passed] == [ForwardReason.WARM_UP_PACE]
    assert len(cold.delivered) == LIMIT


def test_waiting_syn_opens_when_the_pace_allows(cold: PacedAgent) -> None:
    cold.fill(COLD_AT)
    cold.take(1, COLD_AT + SPAN - 0.02)
    cold.release(COLD_AT + SPAN + 0.001)
    assert len(cold.delivered) == LIMIT + 1


# Guards against a flood at the moment at which the pace allows flows again.
def test_waiting_syns_come_free_one_by_one(cold: PacedAgent) -> None:
    for number in range(LIMIT):
        cold.take(1000 + number, COLD_AT + 0.25 * number)
        cold.agent.take_from_target(packet(PacketKind.RST, flow(1000 + number)), COLD_AT)
    for number in range(20):
        cold.take(number, COLD_AT + SPAN - 0.02)
    cold.release(COLD_AT + SPAN + 0.001)
    assert len(cold.delivered) == LIMIT + 1
    assert len(cold.agent.queue) == 19


def test_syn_is_refused_at_once_when_no_other_target_is_left(cold: PacedAgent) -> None:
    cold.fill(COLD_AT)
    path = envelope(visited=range(1, MAXIMUM_ROUTE_HOPS + 1))
    cold.take(1, COLD_AT + 0.1, path=path)
    effects = cold.release(COLD_AT + 0.1 + HOLD_SECONDS)
    (refused,) = (each for each in effects if isinstance(each, Refuse))
    assert refused.reason is RefuseReason.ALL_WARMING_UP


def test_syn_is_passed_on_at_once_if_none_is_held() -> None:
    paced = PacedAgent(policy=replace(POLICY, hold_seconds=0.0))
    paced.restart_target(COLD_AT)
    paced.fill(COLD_AT)
    (passed,) = paced.take(1, COLD_AT + 0.1)
    assert isinstance(passed, Forward)
    assert passed.reason is ForwardReason.WARM_UP_PACE


@pytest.mark.parametrize("is_answered", [False, True], ids=["unanswered", "half open"])
def test_copies_count_and_stay_here(cold: PacedAgent, is_answered: bool) -> None:
    """Guards against copies that pass the pace, or that open a flow at a second target."""
    for copy in range(LIMIT):
        cold.take(1, COLD_AT + 0.1 * copy, copy)
        if is_answered:
            cold.answer(1, COLD_AT + 0.1 * copy)
    assert len(cold.delivered) == LIMIT
    (dropped,) = cold.take(1, COLD_AT + 0.5, LIMIT)
    assert dropped == Drop(flow(1), DropReason.WARM_UP_PACE)


def test_requests_of_open_flows_go_on(cold: PacedAgent) -> None:
    """Guards against open flows that wait for the pace of new ones."""
    busy = 6  # requests at once, with four slots
    agent = cold.agent
    cold.scene.change_target(HERE, 50.0, warmup_seconds=0.0, started_milliseconds=1)
    for number in range(busy + 1):
        agent.take_from_peer(envelope(), packet(SYN, flow(number)), 50.0 + number)
        agent.take_from_target(packet(PacketKind.SYN_ACK, flow(number)), 50.0 + number)
    cold.fill(COLD_AT)
    for number in range(busy + 1):
        agent.take_from_peer(envelope(), packet(key=flow(number), payload_bytes=5), COLD_AT)
    assert len(agent.queue) == 1
    answer = packet(key=flow(0), payload_bytes=9)
    effects = agent.take_from_target(answer, COLD_AT + 0.1)
    assert any(isinstance(each, DeliverToTarget) for each in effects)


def test_offers_of_capacity_respect_the_pace(cold: PacedAgent) -> None:
    """Guards against SYN packets of other agents that the target may not get."""
    request = CapacityRequest(OTHER, service_hash(SERVICE), 9)
    cold.take(1, COLD_AT)
    (offered,) = cold.agent.take_capacity_request(request, COLD_AT)
    assert isinstance(offered, OfferCapacity)
    assert offered.offer == CapacityOffer(HERE, service_hash(SERVICE), LIMIT - 1)
    cold.fill(COLD_AT + 0.1)
    assert not cold.agent.take_capacity_request(request, COLD_AT + 0.2)


def agent_restarts(paced: PacedAgent) -> float:
    paced.restart_target(COLD_AT)
    paced.fill(COLD_AT)
    paced.start(COLD_AT + 0.3)
    return COLD_AT + 0.4


def both_restart_behind_an_old_entry(paced: PacedAgent) -> float:
    paced.start(COLD_AT)
    paced.fill(COLD_AT + 0.1)
    return COLD_AT + 0.2


def both_restart_while_the_store_is_down(paced: PacedAgent) -> float:
    paced.start(COLD_AT, age_seconds=5.0)
    return COLD_AT + 0.2


def target_restarts_under_its_id(paced: PacedAgent) -> float:
    paced.restart_target(COLD_AT)
    paced.fill(COLD_AT + 1.9)
    paced.restart_target(COLD_AT + 2.0, started=3)
    return COLD_AT + 2.2


def entry_says_zero_after_a_restart(paced: PacedAgent) -> float:
    paced.restart_target(COLD_AT, warm_up_seconds=0.0)
    paced.fill(COLD_AT + 0.1)
    return COLD_AT + 0.2


def entry_is_written_over_by_another_writer(paced: PacedAgent) -> float:
    paced.restart_target(COLD_AT)
    paced.fill(COLD_AT + 0.1)
    paced.restart_target(COLD_AT + 0.2, warm_up_seconds=0.0)
    return COLD_AT + 0.3


def entry_of_a_later_run_is_added(paced: PacedAgent) -> float:
    paced.restart_target(COLD_AT)
    paced.fill(COLD_AT + 0.1)
    other = target(HERE, name="other", started_milliseconds=9, revision=rev(10_000))
    paced.scene.targets["other"] = other
    paced.scene.publish(COLD_AT + 0.2)
    return COLD_AT + 0.3


def entry_lapses(paced: PacedAgent) -> float:
    paced.restart_target(COLD_AT)
    paced.fill(COLD_AT + 0.1)
    paced.scene.remove_target(HERE, COLD_AT + 0.2)
    return COLD_AT + 0.3


def target_answers_after_a_silence(paced: PacedAgent) -> float:
    paced.take(2, COLD_AT - 3.0)
    paced.answer(2, COLD_AT)
    paced.fill(COLD_AT + 0.1)
    return COLD_AT + 0.2


def target_has_lost_an_open_flow(paced: PacedAgent) -> float:
    paced.take(2, COLD_AT - 3.0)
    paced.answer(2, COLD_AT - 3.0)
    paced.agent.take_from_target(packet(key=flow(2), payload_bytes=9), COLD_AT - 3.0)
    lost = packet(key=flow(2), payload_bytes=5, is_bounced=True)
    paced.agent.take_from_target(lost, COLD_AT)
    paced.fill(COLD_AT + 0.1)
    return COLD_AT + 0.2


def process_stood_still(paced: PacedAgent) -> float:
    paced.restart_target(COLD_AT)
    paced.fill(COLD_AT + 0.1)
    paced.agent.note_scheduling_pause(COLD_AT + SPAN + 0.2)
    return COLD_AT + SPAN + 0.3


# Guards against more flows than a target in warm-up bears, each after one failure.
@pytest.mark.parametrize(
    "failure",
    [
        agent_restarts,
        both_restart_behind_an_old_entry,
        both_restart_while_the_store_is_down,
        target_restarts_under_its_id,
        entry_says_zero_after_a_restart,
        entry_is_written_over_by_another_writer,
        entry_of_a_later_run_is_added,
        entry_lapses,
        target_answers_after_a_silence,
        target_has_lost_an_open_flow,
        process_stood_still,
    ],
    ids=lambda each: str(each.__name__),
)
def test_pace_is_kept_after_a_failure(failure: Callable[[PacedAgent], float]) -> None:
    paced = PacedAgent()
    now = failure(paced)
    before = len(paced.delivered)
    for number in range(LIMIT + 1):
        paced.take(number + 10, now)
    assert len(paced.delivered) == before


def test_agent_without_content_keeps_to_the_tolerance() -> None:
    """Guards against a start during which a target gets more than any configuration allows."""
    scene = Scene(HERE)
    agent = AgentSteering(
        HERE, SERVICE, Directory(), scene.peers, scene.placement, RETENTION, 0.0, POLICY
    )
    effects = [
        agent.take_from_peer(envelope(), packet(SYN, flow(each)), SPAN + 0.01) for each in range(3)
    ]
    delivered = [isinstance(each, DeliverToTarget) for found in effects for each in found]
    assert delivered == [True, False, False]


@pytest.mark.parametrize(
    ("terms", "now"),
    [
        pytest.param({}, COLD_AT, id="no pace is asked"),
        pytest.param({SERVICE: TERMS}, COLD_AT + 2.001, id="the warm-up has ended"),
        pytest.param({"other": TERMS}, COLD_AT, id="another service's pace"),
    ],
)
def test_no_pace_binds_otherwise(terms: dict[str, WarmUpTerms], now: float) -> None:
    paced = PacedAgent()
    paced.scene.publish(1.0, replace(table(8), warm_up=terms))
    paced.restart_target(COLD_AT)
    paced.fill(now)
    paced.fill(now)
    assert len(paced.delivered) == 2 * LIMIT


@pytest.mark.parametrize(
    ("rate", "overshoot", "tolerance", "limit"),
    [
        pytest.param(8.0, 1.5, 5.0, 17, id="with overshoot and tolerance"),
        pytest.param(8.0, 1.0, 0.0, 8, id="defaults"),
        pytest.param(0.5, 1.0, 0.0, 0, id="less than one a second"),
        pytest.param(2.5, 1.5, 0.0, 3, id="no part of a request"),
        pytest.param(1e12, 1.0, 0.0, 4096, id="more than are counted"),
    ],
)
def test_limit(rate: float, overshoot: float, tolerance: float, limit: int) -> None:
    assert opening_limit(WarmUpTerms(2.0, rate), overshoot, tolerance) == limit


def test_load_factor_is_what_the_pace_leaves_of_the_capacity() -> None:
    assert paced_load_factor(WarmUpTerms(2.0, 10.0), 2, 50.0, 1.6) == 4.0
    assert paced_load_factor(WarmUpTerms(2.0, 100.0), 2, 50.0, 1.6) == 1.6
    assert paced_load_factor(WarmUpTerms(2.0, 0.1), 2, 50.0, 1.6) == MAXIMUM_LOAD_FACTOR


@pytest.mark.parametrize(
    ("warm_up", "factor"),
    [
        pytest.param({}, 1.6, id="no pace"),
        pytest.param({SERVICE: WarmUpTerms(2.0, 20.0)}, 4.0, id="a quarter of what it could do"),
    ],
)
def test_balancers_count_a_paced_target_as_busier(
    warm_up: dict[str, WarmUpTerms], factor: float
) -> None:
    scene = Scene()
    scene.publish(0.0, replace(table(8), warm_up=warm_up))
    scene.receive_heartbeats(1.0, delay_milliseconds=50)
    scene.change_target(HERE, 1.0, warmup_seconds=2.0)
    views = {each.target.host: each for each in scene.directory.targets_of(SERVICE)}
    placement = scene.placement
    ratio = placement.load(views[HERE], 1.0) / placement.load(views[OTHER], 1.0)
    assert ratio == pytest.approx(factor)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sampled_from([0.0, 0.01, 0.3, 0.99, 1.0, 1.0999, 1.1]), max_size=60))
def test_window_holds_if_packets_bunch_up(gaps: Sequence[float]) -> None:
    """Guards against a bound that holds at the agent, but not at its target."""
    window, now, sent = OpeningWindow(), 0.0, []
    for gap in gaps:
        now += gap
        if window.left(LIMIT, now):
            window.record(now)
            sent.append(now)
    for start in sent:
        span = BOUND_SECONDS + BUNCHING_SECONDS - 1e-6
        assert sum(0 <= at - start < span for at in sent) <= LIMIT


def test_first_content_of_a_running_target_asks_for_no_pace() -> None:
    """Guards against warm targets that are paced because their run is new to a process."""
    paced = PacedAgent()
    paced.start(COLD_AT)
    paced.fill(COLD_AT + TERMS.seconds)
    paced.fill(COLD_AT + TERMS.seconds)
    assert len(paced.delivered) == 2 * LIMIT


def test_agent_that_restarts_beside_a_warm_target_opens_flows_at_once() -> None:
    """Guards against restarts of agents that keep their targets idle."""
    paced = PacedAgent()
    paced.start(COLD_AT)
    paced.fill(COLD_AT)
    assert len(paced.delivered) == LIMIT
