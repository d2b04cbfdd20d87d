"""Tests of steering by an agent."""

from __future__ import annotations

import random

import pytest

from ...directory import TargetPhase
from .. import (
    AgentSteering,
    Answered,
    DeliverToTarget,
    DropReason,
    Envelope,
    Expire,
    FlowState,
    Forward,
    ForwardReason,
    NotifyBalancer,
    OwnerNotice,
    PacketKind,
    Refuse,
    RefuseReason,
    SendToCaller,
    Start,
    Undecided,
    Wait,
)
from .._decisions import AgentEffect, Drop
from .._flow_table import MAXIMUM_FLOWS
from .._target_capacity import OPENING_SECONDS
from .._tunnel import MAXIMUM_ROUTE_HOPS
from .scene import (
    AGENTS,
    BALANCER,
    DEADLINE,
    OBJECTIVE,
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
SYN = PacketKind.SYN


def open_flow(agent: AgentSteering, number: int = 0, now: float = 0.0) -> None:
    agent.take_from_peer(envelope(), packet(SYN, flow(number)), now)
    agent.take_from_target(packet(PacketKind.SYN_ACK, flow(number)), now)


def only(effects: object) -> AgentEffect:
    assert isinstance(effects, tuple)
    assert len(effects) == 1
    return effects[0]  # type: ignore[no-any-return]


def test_syn_reaches_target_and_syn_ack_reaches_caller() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    assert isinstance(only(agent.take_from_peer(envelope(), packet(SYN), 0.0)), DeliverToTarget)
    answer = only(agent.take_from_target(packet(PacketKind.SYN_ACK), 0.1))
    assert answer == SendToCaller(flow().caller_host, b"packet")
    assert agent.flows.owned == 1


def test_bounced_syn_goes_to_another_target_and_later_packets_follow() -> None:
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN), 0.0)
    passed = only(agent.take_from_target(packet(SYN, is_bounced=True), 0.0))
    assert isinstance(passed, Forward)
    assert passed.reason is ForwardReason.TARGET_FULL
    assert passed.host != HERE
    assert passed.envelope.visited == (HERE,)
    later = only(agent.take_from_peer(envelope(), packet(), 0.1))
    assert isinstance(later, Forward)
    assert (later.host, later.reason) == (passed.host, ForwardReason.PASSED_BEFORE)


def test_syn_bounced_by_all_targets_is_refused() -> None:
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(AGENTS[1:]), packet(SYN), 0.0)
    refused = only(agent.take_from_target(packet(SYN, is_bounced=True), 0.0))
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.ALL_FULL


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"phase": TargetPhase.DRAINING}, id="draining"),
        pytest.param(None, id="gone"),
        pytest.param({"service": OTHER_SERVICE}, id="address of another service now"),
    ],
)
def test_syn_for_leaving_target_is_passed_on(change: dict[str, object] | None) -> None:
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    if change is None:
        scene.remove_target(HERE, 0.1)
    else:
        scene.change_target(HERE, 0.1, **change)
    agent = make_agent(scene)
    effect = only(agent.take_from_peer(envelope(), packet(SYN), 0.2))
    assert isinstance(effect, Forward)
    assert effect.reason is ForwardReason.TARGET_LEAVING


def test_syn_steered_by_newer_configuration_is_not_refused() -> None:
    scene = Scene(HERE)
    scene.publish(0.0, table(version=8, port=99))
    agent = make_agent(scene)
    older = only(agent.take_from_peer(envelope(version=7), packet(SYN), 0.0))
    newer = only(agent.take_from_peer(envelope(version=9), packet(SYN), 0.0))
    assert isinstance(older, Refuse)
    assert older.reason is RefuseReason.NO_ROUTE
    assert isinstance(newer, DeliverToTarget)


def test_syn_for_another_service_is_not_delivered() -> None:
    scene = Scene(HERE, [target(HERE), target(OTHER_AGENT, OTHER_SERVICE)])
    scene.receive_heartbeats(0.0, [OTHER_AGENT])
    scene.publish(0.0, table(version=8, services=[OTHER_SERVICE]))
    agent = make_agent(scene)
    effect = only(agent.take_from_peer(envelope(), packet(SYN), 0.0))
    assert isinstance(effect, Forward)
    assert (effect.host, effect.reason) == (OTHER_AGENT, ForwardReason.OTHER_SERVICE)
    unknown = envelope(version=9, service=OTHER_SERVICE)
    dropped = only(agent.take_from_peer(unknown, packet(SYN), 0.0))
    assert isinstance(dropped, Drop)
    assert dropped.reason is DropReason.STALE_CONTENT


def test_unknown_flow_is_refused_after_visiting_each_candidate_once() -> None:
    """The last agent refuses it once content newer than the packet has no other candidate."""
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    agents = {host: make_agent(scene, host=host) for host in AGENTS}
    visited: list[int] = []
    incoming = envelope()
    host = HERE
    while True:
        visited.append(host)
        effect = only(agents[host].take_from_peer(incoming, packet(), 0.0))
        if isinstance(effect, Undecided):
            break
        assert isinstance(effect, Forward)
        assert effect.reason is ForwardReason.NOT_HERE
        host, incoming = effect.host, effect.envelope
    assert sorted(visited) == sorted(AGENTS)
    assert effect.asked == tuple(visited)
    assert agents[host].decide(0.4) == []
    scene.publish(0.4)
    (refused,) = agents[host].decide(0.4)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.NOWHERE_OPEN
    assert refused.asked == tuple(visited)
    assert agents[host].undecided == 0


def test_restarted_agent_tries_its_target_before_passing_on() -> None:
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene, started_at=0.0)
    incoming = envelope([AGENTS[1]])
    assert isinstance(agent.take_from_peer(incoming, packet(), 1.0)[0], DeliverToTarget)
    passed = only(agent.take_from_target(packet(is_bounced=True), 1.0))
    assert isinstance(passed, Forward)
    assert passed.envelope.visited == (AGENTS[1], HERE)
    assert passed.envelope.balancer == BALANCER


def test_owner_notifies_balancer_of_redirected_packet() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    open_flow(agent)
    direct = agent.take_from_peer(envelope(), packet(), 0.1)
    redirected = agent.take_from_peer(envelope([AGENTS[1]]), packet(), 0.1)
    assert [type(each) for each in direct] == [DeliverToTarget]
    notify = redirected[1]
    assert isinstance(notify, NotifyBalancer)
    assert (notify.balancer, notify.notice.owner, notify.notice.flow) == (BALANCER, HERE, flow())


def test_pending_requests_are_counted_from_payloads() -> None:
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
    agent.take_from_target(packet(PacketKind.RST, flow(1)), 1.3)
    assert agent.flows.pending == 1
    assert agent.flows.delay_seconds == pytest.approx(0.06)


@pytest.mark.parametrize(
    ("state", "silence", "is_kept"),
    [
        pytest.param(FlowState.OWNED, 14.0, True, id="idle flow"),
        pytest.param(FlowState.OWNED, 16.0, False, id="flow beyond the idle limit"),
        pytest.param(FlowState.TRYING, 2.0, True, id="flow being opened"),
        pytest.param(FlowState.TRYING, 4.0, False, id="flow that never opened"),
    ],
)
def test_sweep_removes_idle_flows(state: FlowState, silence: float, is_kept: bool) -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN), 0.0)
    if state is FlowState.OWNED:
        agent.take_from_target(packet(PacketKind.SYN_ACK), 0.0)
    agent.sweep(silence)
    assert (agent.flows.get(flow()) is not None) is is_kept


def test_stray_packets_leave_open_flow_and_table_limit_intact() -> None:
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene, started_at=0.0)
    open_flow(agent, 0)
    source = random.Random(4)
    kinds = [each for each in PacketKind if each is not SYN]
    for number in range(1, MAXIMUM_FLOWS + 3000):
        stray = packet(source.choice(kinds), flow(number), payload_bytes=source.randrange(3))
        agent.take_from_peer(envelope([AGENTS[1]]), stray, 0.5)
        agent.take_from_target(stray._replace(is_bounced=True), 0.5)
        agent.take_from_peer(envelope(), packet(), 0.5)
    assert len(agent.flows) <= MAXIMUM_FLOWS
    assert agent.flows.owned == 1
    assert agent.flows.pending == 0
    assert isinstance(agent.take_from_peer(envelope(), packet(), 0.6)[0], DeliverToTarget)


def test_packet_with_too_many_hops_is_dropped() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    far = Envelope(BALANCER, 7, envelope().service_hash, tuple(range(MAXIMUM_ROUTE_HOPS)))
    dropped = only(agent.take_from_peer(far, packet(), 0.0))
    assert isinstance(dropped, Drop)
    assert dropped.reason is DropReason.TOO_MANY_HOPS


def send_request(agent: AgentSteering, number: int, now: float, sequence: int = 1) -> list[type]:
    request = packet(key=flow(number), payload_bytes=100, sequence=sequence)
    return [type(each) for each in agent.take_from_peer(envelope(), request, now)]


def test_requests_beyond_capacity_are_queued() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    for number in range(8):
        open_flow(agent, number, number * OPENING_SECONDS)
    handed = [send_request(agent, number, 1.0) for number in range(8)]
    assert handed == [[DeliverToTarget]] * 6 + [[Wait]] * 2
    assert (agent.flows.pending, len(agent.queue)) == (6, 2)
    assert send_request(agent, 7, 1.2) == [], "a retransmission joins the queued request"
    effects = agent.take_from_target(packet(key=flow(0), payload_bytes=9), 1.05)
    assert [type(each) for each in effects] == [SendToCaller, Answered, Start, DeliverToTarget]
    (started,) = [each for each in effects if isinstance(each, Start)]
    assert (started.flow, started.is_late) == (flow(6), False)
    assert started.waited_seconds == pytest.approx(0.05)
    assert (agent.flows.pending, len(agent.queue)) == (6, 1)


def test_late_request_gets_an_idle_slot_only() -> None:
    """Guards against late requests that hold the places of those that could be in time."""
    agent = make_agent(Scene(HERE))
    for number in range(8):
        open_flow(agent, number, number * OPENING_SECONDS)
    for number in range(8):
        send_request(agent, number, 1.0)
    answers = [
        agent.take_from_target(packet(key=flow(number), payload_bytes=9), 1.3)
        for number in range(3)
    ]
    delivered = [any(isinstance(each, DeliverToTarget) for each in effects) for effects in answers]
    assert delivered == [False, False, True], "the target has four slots"
    assert (agent.flows.pending, len(agent.queue)) == (4, 1)


@pytest.mark.parametrize(
    ("copy", "requested_at"),
    [
        pytest.param(0, 1.0, id="answered at once"),
        pytest.param(1, 0.8, id="the first copy was answered"),
        pytest.param(2, 0.4, id="the second copy was answered"),
    ],
)
def test_queued_request_waits_since_first_syn(copy: int, requested_at: float) -> None:
    agent = make_agent(Scene(HERE))
    for number in range(6):
        open_flow(agent, number)
    agent.take_from_peer(envelope(), packet(SYN, flow(6), copy), 0.9)
    agent.take_from_target(packet(PacketKind.SYN_ACK, flow(6)), 0.9)
    for number in range(7):
        send_request(agent, number, 1.0)
    first = agent.queue.get(flow(6))
    assert first is not None
    assert (first.arrived_at, first.objective_at, first.deadline_at) == pytest.approx(
        (requested_at, requested_at + OBJECTIVE, requested_at + DEADLINE)
    )
    for number in range(3):  # a late request gets an idle slot, of which there are four
        agent.take_from_target(packet(key=flow(number), payload_bytes=9), 1.1)
    agent.take_from_target(packet(key=flow(6), payload_bytes=9), 1.2)
    for number in range(3):
        send_request(agent, number, 1.2, sequence=101)
    send_request(agent, 6, 1.2, sequence=101)
    second = agent.queue.get(flow(6))
    assert second is not None
    assert second.arrived_at == 1.2


def test_data_of_unconfirmed_flow_is_not_queued() -> None:
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene, started_at=0.0)
    for number in range(8):
        open_flow(agent, number)
        send_request(agent, number, 1.0)
    assert send_request(agent, 99, 1.1) == [DeliverToTarget]
    assert agent.flows.pending == 6
    passed = only(agent.take_from_target(packet(key=flow(99), is_bounced=True), 1.1))
    assert isinstance(passed, Forward)
    assert passed.reason is ForwardReason.NOT_HERE


def test_retransmitted_data_is_not_a_new_request() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    open_flow(agent)
    send_request(agent, 0, 1.0)
    agent.take_from_target(packet(payload_bytes=9), 1.1)
    assert send_request(agent, 0, 1.2) == [DeliverToTarget]
    assert agent.flows.pending == 0
    assert send_request(agent, 0, 1.3, sequence=101) == [DeliverToTarget]
    assert agent.flows.pending == 1


def test_reset_removes_queued_request() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    for number in range(7):
        open_flow(agent, number)
        send_request(agent, number, 1.0)
    agent.take_from_peer(envelope(), packet(PacketKind.RST, flow(6)), 1.1)
    assert len(agent.queue) == 0
    assert agent.take_from_target(packet(key=flow(0), payload_bytes=9), 1.5) == (
        SendToCaller(flow().caller_host, b"packet"),
        Answered(flow(0), 0.5),
    )


def test_queue_continues_when_target_does_not_answer() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    for number in range(7):
        open_flow(agent, number)
        send_request(agent, number, 1.0)
    assert agent.release(1.5) == []
    agent.sweep(3.1)
    assert agent.flows.pending == 0
    assert agent.release(3.25) == [Expire(flow(6), 2.25)]
    assert agent.queue.expired == 1


def test_new_flows_avoid_silent_target() -> None:
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN, flow(1)), 0.0)
    assert not agent.is_target_silent(0.5)
    scene.receive_heartbeats(0.7)
    passed = only(agent.take_from_peer(envelope(), packet(SYN, flow(2)), 0.7))
    assert isinstance(passed, Forward)
    assert passed.reason is ForwardReason.TARGET_SILENT
    last, notice = agent.take_from_peer(envelope(AGENTS[1:]), packet(SYN, flow(3)), 0.8)
    assert isinstance(last, DeliverToTarget), "there is no other target"
    assert notice == NotifyBalancer(BALANCER, OwnerNotice(flow(3), HERE))
    agent.take_from_target(packet(PacketKind.SYN_ACK, flow(3)), 0.9)
    assert not agent.is_target_silent(0.9)


def test_silent_target_is_retried() -> None:
    scene = Scene(HERE)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN), 0.0)
    assert agent.is_target_silent(1.0)
    assert not agent.is_target_silent(2.1)


@pytest.mark.parametrize("caller_closed", [False, True], ids=["answered", "given up"])
def test_answer_whose_fin_packet_overtakes_its_data_is_measured(caller_closed: bool) -> None:
    """Guards against requests of fresh flows whose answers show nothing of the target's speed."""
    agent = make_agent(Scene(HERE))
    open_flow(agent)
    send_request(agent, 0, 1.0)
    if caller_closed:
        fin = packet(PacketKind.FIN, flow(0), sequence=101)
        agent.take_from_peer(envelope(), fin, 1.01)
    closing = agent.take_from_target(packet(PacketKind.FIN, flow(0)), 1.05)
    data = agent.take_from_target(packet(key=flow(0), payload_bytes=900), 1.0501)
    delays = [each.delay_seconds for each in (*closing, *data) if isinstance(each, Answered)]
    assert delays == ([] if caller_closed else [pytest.approx(0.05)])
    assert agent.flows.pending == 0
    assert (agent.flows.work.usual_seconds > 0.0) is not caller_closed
