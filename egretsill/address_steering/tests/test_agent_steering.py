"""What an agent does with packets of callers and of its target."""

from __future__ import annotations

import random

import pytest

from ...directory import TargetPhase
from .. import (
    AgentSteering,
    Answered,
    DropReason,
    Envelope,
    Expire,
    FlowState,
    Forward,
    ForwardReason,
    HandToTarget,
    PacketKind,
    Refuse,
    RefuseReason,
    SendToCaller,
    TellOwner,
    Undecided,
    Wait,
)
from .._decisions import AgentEffect, Drop
from .._flow_table import MAXIMUM_FLOWS
from .._tunnel import MAXIMUM_VISITED
from .scene import (
    AGENTS,
    AIM,
    BALANCER,
    LIMIT,
    OTHER_AGENT,
    OTHER_SERVICE,
    Scene,
    envelope,
    flow,
    make_agent,
    packet,
    table,
    target,
)

HERE = AGENTS[0]
OPENING = PacketKind.OPENING


def open_flow(agent: AgentSteering, number: int = 0, now: float = 0.0) -> None:
    agent.take_from_peer(envelope(), packet(OPENING, flow(number)), now)
    agent.take_from_target(packet(PacketKind.OPENING_ANSWER, flow(number)), now)


def only(effects: object) -> AgentEffect:
    assert isinstance(effects, tuple)
    assert len(effects) == 1
    return effects[0]  # type: ignore[no-any-return]


def test_opening_packet_goes_to_the_target_and_its_answer_to_the_caller() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    assert isinstance(only(agent.take_from_peer(envelope(), packet(OPENING), 0.0)), HandToTarget)
    answer = only(agent.take_from_target(packet(PacketKind.OPENING_ANSWER), 0.1))
    assert answer == SendToCaller(flow().caller_host, b"packet")
    assert agent.flows.owned == 1


def test_opening_packet_that_the_target_bounces_goes_to_another_and_is_remembered() -> None:
    scene = Scene(HERE)
    scene.hear(0.0)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(OPENING), 0.0)
    passed = only(agent.take_from_target(packet(OPENING, is_bounced=True), 0.0))
    assert isinstance(passed, Forward)
    assert passed.reason is ForwardReason.TARGET_FULL
    assert passed.host != HERE
    assert passed.envelope.visited == (HERE,)
    later = only(agent.take_from_peer(envelope(), packet(), 0.1))
    assert isinstance(later, Forward)
    assert (later.host, later.reason) == (passed.host, ForwardReason.PASSED_BEFORE)


def test_opening_packet_that_every_target_bounced_is_refused_at_once() -> None:
    scene = Scene(HERE)
    scene.hear(0.0)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(AGENTS[1:]), packet(OPENING), 0.0)
    refused = only(agent.take_from_target(packet(OPENING, is_bounced=True), 0.0))
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.ALL_FULL


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        pytest.param({"phase": TargetPhase.DRAINING}, ForwardReason.TARGET_LEAVING, id="draining"),
        pytest.param(None, ForwardReason.TARGET_LEAVING, id="gone"),
        pytest.param({"service": OTHER_SERVICE}, None, id="address of another service now"),
    ],
)
def test_opening_packet_for_a_target_that_left_goes_elsewhere(
    change: dict[str, object] | None, reason: ForwardReason | None
) -> None:
    scene = Scene(HERE)
    scene.hear(0.0)
    if change is None:
        scene.remove_target(HERE, 0.1)
    else:
        scene.change_target(HERE, 0.1, **change)
    agent = make_agent(scene)
    effect = only(agent.take_from_peer(envelope(), packet(OPENING), 0.2))
    if reason is None:
        assert isinstance(effect, HandToTarget)  # the agent of the former target only
    else:
        assert isinstance(effect, Forward)
        assert effect.reason is reason


def test_opening_packet_steered_by_a_newer_configuration_is_not_refused() -> None:
    scene = Scene(HERE)
    scene.publish(0.0, table(version=8, port=99))
    agent = make_agent(scene)
    older = only(agent.take_from_peer(envelope(version=7), packet(OPENING), 0.0))
    newer = only(agent.take_from_peer(envelope(version=9), packet(OPENING), 0.0))
    assert isinstance(older, Refuse)
    assert older.reason is RefuseReason.NO_ROUTE
    assert isinstance(newer, HandToTarget)


def test_opening_packet_for_another_service_never_reaches_the_target() -> None:
    scene = Scene(HERE, [target(HERE), target(OTHER_AGENT, OTHER_SERVICE)])
    scene.hear(0.0, [OTHER_AGENT])
    scene.publish(0.0, table(version=8, services=[OTHER_SERVICE]))
    agent = make_agent(scene)
    effect = only(agent.take_from_peer(envelope(), packet(OPENING), 0.0))
    assert isinstance(effect, Forward)
    assert (effect.host, effect.reason) == (OTHER_AGENT, ForwardReason.OTHER_SERVICE)
    unknown = envelope(version=9, service=OTHER_SERVICE)
    dropped = only(agent.take_from_peer(unknown, packet(OPENING), 0.0))
    assert isinstance(dropped, Drop)
    assert dropped.reason is DropReason.STALE_CONTENT


def test_packet_of_an_unknown_flow_visits_every_candidate_once_and_then_is_refused() -> None:
    """By the last one, once content that is newer than the packet names no other candidate."""
    scene = Scene(HERE)
    scene.hear(0.0)
    agents = {host: make_agent(scene, host=host) for host in AGENTS}
    visited: list[int] = []
    came = envelope()
    host = HERE
    while True:
        visited.append(host)
        effect = only(agents[host].take_from_peer(came, packet(), 0.0))
        if isinstance(effect, Undecided):
            break
        assert isinstance(effect, Forward)
        assert effect.reason is ForwardReason.NOT_HERE
        host, came = effect.host, effect.envelope
    assert sorted(visited) == sorted(AGENTS)
    assert effect.asked == tuple(visited)
    assert agents[host].decide(0.4) == []
    scene.publish(0.4)
    (refused,) = agents[host].decide(0.4)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.NOWHERE_OPEN
    assert refused.asked == tuple(visited)
    assert agents[host].undecided == 0


def test_agent_that_may_have_lost_its_table_asks_the_target_first() -> None:
    scene = Scene(HERE)
    scene.hear(0.0)
    agent = make_agent(scene, started_at=0.0)
    came = envelope([AGENTS[1]])
    assert isinstance(agent.take_from_peer(came, packet(), 1.0)[0], HandToTarget)
    passed = only(agent.take_from_target(packet(is_bounced=True), 1.0))
    assert isinstance(passed, Forward)
    assert passed.envelope.visited == (AGENTS[1], HERE)
    assert passed.envelope.balancer == BALANCER


def test_owner_tells_the_balancer_whose_packet_went_astray() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    open_flow(agent)
    straight = agent.take_from_peer(envelope(), packet(), 0.1)
    astray = agent.take_from_peer(envelope([AGENTS[1]]), packet(), 0.1)
    assert [type(each) for each in straight] == [HandToTarget]
    told = astray[1]
    assert isinstance(told, TellOwner)
    assert (told.balancer, told.notice.owner, told.notice.flow) == (BALANCER, HERE, flow())


def test_requests_in_progress_are_seen_from_payloads_alone() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    for number in range(3):
        open_flow(agent, number)
        agent.take_from_peer(envelope(), packet(key=flow(number), payload_bytes=100), 1.0)
        agent.take_from_peer(envelope(), packet(key=flow(number), payload_bytes=100), 1.1)
    assert agent.flows.pending == 3
    agent.take_from_target(packet(key=flow(0)), 1.2)
    assert agent.flows.pending == 3
    agent.take_from_target(packet(key=flow(0), payload_bytes=9), 1.3)
    agent.take_from_target(packet(PacketKind.RESET, flow(1)), 1.3)
    assert agent.flows.pending == 1
    assert agent.flows.delay_seconds == pytest.approx(0.06)


@pytest.mark.parametrize(
    ("state", "silence", "is_kept"),
    [
        pytest.param(FlowState.OWNED, 14.0, True, id="quiet flow"),
        pytest.param(FlowState.OWNED, 16.0, False, id="flow silent beyond the idle limit"),
        pytest.param(FlowState.TRYING, 2.0, True, id="flow being opened"),
        pytest.param(FlowState.TRYING, 4.0, False, id="flow that never opened"),
    ],
)
def test_flows_are_forgotten_when_they_may_be(
    state: FlowState, silence: float, is_kept: bool
) -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(OPENING), 0.0)
    if state is FlowState.OWNED:
        agent.take_from_target(packet(PacketKind.OPENING_ANSWER), 0.0)
    agent.sweep(silence)
    assert (agent.flows.get(flow()) is not None) is is_kept


def test_stray_and_repeated_packets_change_nothing_and_stay_bounded() -> None:
    scene = Scene(HERE)
    scene.hear(0.0)
    agent = make_agent(scene, started_at=0.0)
    open_flow(agent, 0)
    source = random.Random(4)
    kinds = [each for each in PacketKind if each is not OPENING]
    for number in range(1, MAXIMUM_FLOWS + 3000):
        stray = packet(source.choice(kinds), flow(number), payload_bytes=source.randrange(3))
        agent.take_from_peer(envelope([AGENTS[1]]), stray, 0.5)
        agent.take_from_target(stray._replace(is_bounced=True), 0.5)
        agent.take_from_peer(envelope(), packet(), 0.5)
    assert len(agent.flows) <= MAXIMUM_FLOWS
    assert agent.flows.owned == 1
    assert agent.flows.pending == 0
    assert isinstance(agent.take_from_peer(envelope(), packet(), 0.6)[0], HandToTarget)


def test_packet_that_has_come_too_far_is_dropped() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    far = Envelope(BALANCER, 7, envelope().service_mark, tuple(range(MAXIMUM_VISITED)))
    dropped = only(agent.take_from_peer(far, packet(), 0.0))
    assert isinstance(dropped, Drop)
    assert dropped.reason is DropReason.TOO_MANY_HOPS


def ask(agent: AgentSteering, number: int, now: float, sequence: int = 1) -> list[type]:
    request = packet(key=flow(number), payload_bytes=100, sequence=sequence)
    return [type(each) for each in agent.take_from_peer(envelope(), request, now)]


def test_requests_beyond_the_targets_capacity_wait_for_answers() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    for number in range(8):
        open_flow(agent, number)
    handed = [ask(agent, number, 1.0) for number in range(8)]
    assert handed == [[HandToTarget]] * 6 + [[Wait]] * 2
    assert (agent.flows.pending, len(agent.queue)) == (6, 2)
    assert ask(agent, 7, 1.2) == [], "what is sent again waits with the first"
    effects = agent.take_from_target(packet(key=flow(0), payload_bytes=9), 1.3)
    assert [type(each) for each in effects] == [SendToCaller, Answered, HandToTarget]
    assert (agent.flows.pending, len(agent.queue)) == (6, 1)


@pytest.mark.parametrize(
    ("copy", "asked_at"),
    [
        pytest.param(0, 1.0, id="answered at once"),
        pytest.param(1, 0.8, id="the first copy was answered"),
        pytest.param(2, 0.4, id="the second copy was answered"),
    ],
)
def test_restart_of_all_a_request_has_waited_since_its_first_opening_packet(
    copy: int, asked_at: float
) -> None:
    agent = make_agent(Scene(HERE))
    for number in range(6):
        open_flow(agent, number)
        ask(agent, number, 1.0)
    agent.take_from_peer(envelope(), packet(OPENING, flow(6), copy), 1.0)
    agent.take_from_target(packet(PacketKind.OPENING_ANSWER, flow(6)), 1.0)
    ask(agent, 6, 1.0)
    first = agent.queue.get(flow(6))
    assert first is not None
    assert (first.arrived_at, first.aim_at, first.limit_at) == pytest.approx(
        (asked_at, asked_at + AIM, asked_at + LIMIT)
    )
    agent.take_from_target(packet(key=flow(0), payload_bytes=9), 1.1)
    agent.take_from_target(packet(key=flow(6), payload_bytes=9), 1.2)
    ask(agent, 0, 1.2, sequence=101)
    ask(agent, 6, 1.2, sequence=101)
    second = agent.queue.get(flow(6))
    assert second is not None
    assert second.arrived_at == 1.2


def test_data_of_a_flow_that_may_be_elsewhere_never_waits() -> None:
    scene = Scene(HERE)
    scene.hear(0.0)
    agent = make_agent(scene, started_at=0.0)
    for number in range(8):
        open_flow(agent, number)
        ask(agent, number, 1.0)
    assert ask(agent, 99, 1.1) == [HandToTarget]
    assert agent.flows.pending == 6
    passed = only(agent.take_from_target(packet(key=flow(99), is_bounced=True), 1.1))
    assert isinstance(passed, Forward)
    assert passed.reason is ForwardReason.NOT_HERE


def test_data_that_is_sent_again_is_no_new_request() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    open_flow(agent)
    ask(agent, 0, 1.0)
    agent.take_from_target(packet(payload_bytes=9), 1.1)
    assert ask(agent, 0, 1.2) == [HandToTarget]
    assert agent.flows.pending == 0
    assert ask(agent, 0, 1.3, sequence=101) == [HandToTarget]
    assert agent.flows.pending == 1


def test_a_caller_that_goes_away_does_not_wait() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    for number in range(7):
        open_flow(agent, number)
        ask(agent, number, 1.0)
    agent.take_from_peer(envelope(), packet(PacketKind.RESET, flow(6)), 1.1)
    assert len(agent.queue) == 0
    assert agent.take_from_target(packet(key=flow(0), payload_bytes=9), 1.5) == (
        SendToCaller(flow().caller_host, b"packet"),
        Answered(flow(0), 0.5),
    )


def test_a_target_that_does_not_answer_does_not_stop_the_queue() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    for number in range(7):
        open_flow(agent, number)
        ask(agent, number, 1.0)
    assert agent.release(1.5) == []
    agent.sweep(3.1)
    assert agent.flows.pending == 0
    assert agent.release(3.25) == [Expire(flow(6), 2.25)]
    assert agent.queue.expired == 1


def test_new_flows_keep_away_from_a_target_that_answers_nothing() -> None:
    scene = Scene(HERE)
    scene.hear(0.0)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(OPENING, flow(1)), 0.0)
    assert not agent.is_target_silent(0.5)
    scene.hear(0.7)
    passed = only(agent.take_from_peer(envelope(), packet(OPENING, flow(2)), 0.7))
    assert isinstance(passed, Forward)
    assert passed.reason is ForwardReason.TARGET_SILENT
    last = only(agent.take_from_peer(envelope(AGENTS[1:]), packet(OPENING, flow(3)), 0.8))
    assert isinstance(last, HandToTarget), "there is no other target"
    agent.take_from_target(packet(PacketKind.OPENING_ANSWER, flow(3)), 0.9)
    assert not agent.is_target_silent(0.9)


def test_a_silent_target_is_tried_again_after_a_while() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(OPENING), 0.0)
    assert agent.is_target_silent(1.0)
    assert not agent.is_target_silent(2.1)
