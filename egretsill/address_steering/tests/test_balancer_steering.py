"""Tests of steering by a balancer."""

from __future__ import annotations

from collections import Counter

import pytest

from ...directory import TargetPhase
from .. import (
    BalancerSteering,
    Drop,
    DropReason,
    FlowKey,
    Forward,
    ForwardReason,
    OwnerNotice,
    PacketKind,
    Refuse,
    RefuseReason,
)
from .._undecided import MAXIMUM_UNDECIDED, UNDECIDED_SECONDS
from .scene import (
    AGENTS,
    BALANCER,
    DOMAIN,
    OTHER_AGENT,
    RETENTION,
    SERVICE_HOST,
    Scene,
    flow,
    packet,
    table,
    target,
)

SYN = PacketKind.SYN
UNROUTED = FlowKey(1, 2, SERVICE_HOST, 999)


def make_balancer(scene: Scene) -> BalancerSteering:
    return BalancerSteering(
        BALANCER, DOMAIN, scene.directory, scene.peers, scene.placement, RETENTION
    )


def place(balancer: BalancerSteering, number: int, now: float, copy: int = 0) -> int:
    decision = balancer.steer(packet(SYN, flow(number), copy), now)
    assert isinstance(decision, Forward)
    return decision.host


def test_packets_follow_the_syn_of_their_flow() -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    balancer = make_balancer(scene)
    for number in range(50):
        host = place(balancer, number, 0.0)
        later = balancer.steer(packet(key=flow(number)), 0.1)
        assert isinstance(later, Forward)
        assert (later.host, later.reason) == (host, ForwardReason.KNOWN_OWNER)


def test_other_balancer_often_guesses_owner_and_follows_notice() -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    first, second = make_balancer(scene), make_balancer(scene)
    direct_hits = 0
    for number in range(200):
        host = place(first, number, 0.0)
        guess = second.steer(packet(key=flow(number)), 0.1)
        assert isinstance(guess, Forward)
        direct_hits += guess.host == host
        second.record_owner(OwnerNotice(flow(number), host), 0.2)
        steered = second.steer(packet(key=flow(number)), 0.3)
        assert isinstance(steered, Forward)
        assert steered.host == host
    assert direct_hits > 70


def test_syn_copies_go_to_other_targets() -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    balancer, other = make_balancer(scene), make_balancer(scene)
    for number in range(50):
        hosts = [place(balancer, number, 0.2 * copy, copy) for copy in range(3)]
        assert len(set(hosts)) == 3
        assert place(other, number, 0.2, copy=1) != hosts[0]


@pytest.mark.parametrize(
    "fields",
    [
        pytest.param({"is_target_silent": True}, id="target silent"),
        pytest.param({"is_leaving": True}, id="agent leaving"),
    ],
)
def test_agent_that_declines_gets_no_new_flows(fields: dict[str, object]) -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    scene.receive_heartbeats(0.1, AGENTS[:2], **fields)
    balancer = make_balancer(scene)
    assert {place(balancer, number, 0.2) for number in range(99)} == set(AGENTS[2:])


def test_draining_departed_and_unreachable_targets_get_no_new_flows() -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    scene.change_target(AGENTS[0], 0.5, phase=TargetPhase.DRAINING)
    scene.remove_target(AGENTS[1], 0.5)
    scene.receive_heartbeats(1.0, AGENTS[3:])
    balancer = make_balancer(scene)
    assert {place(balancer, number, 1.0) for number in range(99)} == set(AGENTS[3:])


def test_unreachable_agents_are_used_when_all_are_unreachable() -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    balancer = make_balancer(scene)
    assert {place(balancer, number, 30.0) for number in range(99)} == set(AGENTS)


def test_new_flows_are_spread_evenly() -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    balancer = make_balancer(scene)
    counts = Counter(place(balancer, number, 0.0) for number in range(500))
    assert max(counts.values()) < 1.1 * 500 / len(AGENTS)


def test_busy_target_gets_no_new_flows_while_others_are_idle() -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    scene.receive_heartbeats(0.1, AGENTS[:1], pending=12)
    balancer = make_balancer(scene)
    counts = Counter(place(balancer, number, 0.2) for number in range(20))
    assert counts[AGENTS[0]] == 0


def test_near_targets_are_preferred_until_loaded() -> None:
    targets = [
        target(host, failure_domain=DOMAIN if host in AGENTS[:2] else "b") for host in AGENTS
    ]
    scene = Scene(targets=targets)
    scene.receive_heartbeats(0.0)
    balancer = make_balancer(scene)
    assert {place(balancer, number, 0.0) for number in range(4)} == set(AGENTS[:2])
    scene.receive_heartbeats(0.1, AGENTS[:2], pending=9)
    assert {place(balancer, number, 0.2) for number in range(4, 10)} <= set(AGENTS[2:])


@pytest.mark.parametrize(
    ("age", "kind", "expected"),
    [
        pytest.param(0.5, SYN, Refuse(UNROUTED, 1000, RefuseReason.NO_ROUTE), id="refused"),
        pytest.param(5.0, SYN, Drop(UNROUTED, DropReason.STALE_CONTENT), id="stale content"),
        pytest.param(
            0.5,
            PacketKind.PLAIN,
            Drop(UNROUTED, DropReason.NO_ROUTE),
            id="flow of unknown route not reset",
        ),
        pytest.param(
            0.5,
            PacketKind.RST,
            Drop(UNROUTED, DropReason.UNEXPECTED),
            id="RST never answered with RST",
        ),
    ],
)
def test_flows_without_a_route(age: float, kind: PacketKind, expected: object) -> None:
    balancer = make_balancer(Scene())
    assert balancer.steer(packet(kind, UNROUTED), age) == expected


def test_removed_route_refuses_its_flows() -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    balancer = make_balancer(scene)
    place(balancer, 0, 0.0)
    scene.publish(1.0, table(version=9, port=1))
    assert balancer.steer(packet(), 1.1) == Drop(flow(), DropReason.UNDECIDED)
    scene.directory.confirm(scene.directory.content_revision, 0.0, 1.3)
    assert balancer.decide(1.3) == [], "the view may be older than the packet"
    scene.directory.confirm(scene.directory.content_revision, 0.0, 1.6)
    assert balancer.decide(1.6) == [Refuse(flow(), 1000, RefuseReason.NO_ROUTE)]
    assert balancer.undecided == 0
    opened = balancer.steer(packet(SYN), 1.6)
    assert opened == Refuse(flow(), 1000, RefuseReason.NO_ROUTE), "a SYN packet opens nothing"
    scene.publish(2.0, table(version=10))
    assert isinstance(balancer.steer(packet(), 2.1), Forward), "the route was added again"
    assert not scene.directory.is_withdrawn(SERVICE_HOST, flow().service_port)


# Guards against the reset of a flow that another balancer opened through the restored route.
@pytest.mark.parametrize("kind", [PacketKind.PLAIN, PacketKind.FIN], ids=str)
def test_open_flow_of_a_restored_route_is_not_reset_by_an_older_view(kind: PacketKind) -> None:
    scene, other = Scene(), Scene()
    for each in (scene, other):
        each.receive_heartbeats(0.0)
        each.publish(1.0, table(version=9, port=1))
    other.publish(1.1, table(version=10))
    assert isinstance(make_balancer(other).steer(packet(SYN), 1.2), Forward)
    balancer = make_balancer(scene)
    for now in (1.4, 1.6, 2.0, 2.8):
        assert balancer.steer(packet(kind), now) == Drop(flow(), DropReason.UNDECIDED)
        assert balancer.decide(now) == []
        assert balancer.undecided == 1
    scene.publish(2.9, table(version=10))
    assert balancer.decide(2.9) == []
    assert isinstance(balancer.steer(packet(kind), 3.0), Forward)


# Guards against resets by confirmations that seem newer as they waited for the processor.
def test_flows_without_a_route_are_bounded_and_discarded() -> None:
    scene = Scene()
    scene.publish(1.0, table(version=9, port=1))
    balancer = make_balancer(scene)
    for number in range(MAXIMUM_UNDECIDED + 9):
        dropped = balancer.steer(packet(key=flow(number)), 1.1)
        assert dropped == Drop(flow(number), DropReason.UNDECIDED)
    assert balancer.undecided == MAXIMUM_UNDECIDED
    assert balancer.decide(1.2 + UNDECIDED_SECONDS) == []
    assert balancer.undecided == 0, "too old"
    balancer.steer(packet(), 1.2)
    balancer.note_scheduling_pause()
    assert balancer.undecided == 0


def test_flow_of_departed_target_is_searched_elsewhere() -> None:
    """The balancer's choice may not be the owner: another SYN copy may have been answered."""
    scene = Scene()
    scene.receive_heartbeats(0.0)
    balancer = make_balancer(scene)
    host = place(balancer, 0, 0.0)
    scene.remove_target(host, 1.0)
    scene.receive_heartbeats(3.0, [each for each in AGENTS if each != host])
    for kind in (PacketKind.PLAIN, PacketKind.RST):
        forward = balancer.steer(packet(kind), 3.0)
        assert isinstance(forward, Forward)
        assert forward.reason is ForwardReason.FIRST_CANDIDATE
        assert forward.host != host
    assert balancer.owners_known == 0


def test_syn_ack_from_caller_is_dropped() -> None:
    dropped = make_balancer(Scene()).steer(packet(PacketKind.SYN_ACK), 0.0)
    assert dropped == Drop(flow(), DropReason.UNEXPECTED)


def test_owner_notice_of_unknown_target_is_ignored() -> None:
    scene = Scene()
    balancer = make_balancer(scene)
    assert not balancer.record_owner(OwnerNotice(flow(), OTHER_AGENT), 0.0)
    assert not balancer.record_owner(OwnerNotice(UNROUTED, AGENTS[0]), 0.0)
    assert balancer.owners_known == 0


def test_cached_owner_expires_after_retention() -> None:
    scene = Scene()
    balancer = make_balancer(scene)
    place(balancer, 0, 0.0)
    balancer.tick(RETENTION - 1)
    assert balancer.owners_known == 1
    balancer.tick(RETENTION + 1)
    assert balancer.owners_known == 0


def test_unknown_flows_avoid_departed_target() -> None:
    scene = Scene()
    scene.receive_heartbeats(0.0)
    scene.remove_target(AGENTS[0], 1.0)
    scene.peers.tick(30.0)
    scene.receive_heartbeats(30.0, AGENTS[1:])
    balancer = make_balancer(scene)
    decisions = [balancer.steer(packet(key=flow(number)), 30.0) for number in range(99)]
    hosts = {each.host for each in decisions if isinstance(each, Forward)}
    assert hosts == set(AGENTS[1:])


@pytest.mark.parametrize(
    ("noticed_at", "heard", "follows"),
    [
        pytest.param(0.01, AGENTS, True, id="the agent said that it has the packet"),
        pytest.param(-0.4, AGENTS, False, id="it said nothing since the copy before"),
        pytest.param(0.01, AGENTS[1:], False, id="it has failed"),
        pytest.param(None, AGENTS, False, id="it said nothing"),
    ],
)
def test_copy_of_syn_follows_waiting_syn(
    noticed_at: float | None, heard: tuple[int, ...], follows: bool
) -> None:
    """Guards against flows that wait at several agents."""
    scene = Scene()
    scene.receive_heartbeats(-1.5)
    balancer = make_balancer(scene)
    place(balancer, 1, 0.0)
    if noticed_at is not None:
        assert balancer.record_owner(OwnerNotice(flow(1), AGENTS[0]), noticed_at)
    scene.receive_heartbeats(0.1, heard)
    assert (place(balancer, 1, 0.2, copy=1) == AGENTS[0]) is follows
