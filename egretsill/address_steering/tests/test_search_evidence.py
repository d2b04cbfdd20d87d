"""What may end a search: evidence that is newer than the question, and never the lack of news.

Each test names the failure that it guards against.
"""

from __future__ import annotations

import pytest

from ...directory import Directory, Snapshot
from ...fleet import PeerReport
from .. import (
    AgentSteering,
    Forward,
    HandToTarget,
    HomeNotice,
    PacketKind,
    Refuse,
    Undecided,
)
from .._flow_table import WAKE_SECONDS
from .._presence import LOST_SECONDS, Presence
from .scene import (
    AGENTS,
    IDLE,
    OTHER_SERVICE,
    RETENTION,
    SERVICE,
    Scene,
    envelope,
    flow,
    make_agent,
    packet,
    table,
    target,
)
from .test_large_fleet import Fleet

FIRST, OWNER = AGENTS[:2]


def open_flow(agent: AgentSteering) -> None:
    agent.take_from_peer(envelope(), packet(PacketKind.OPENING), 0.0)
    agent.take_from_target(packet(PacketKind.OPENING_ANSWER), 0.0)
    agent.take_from_peer(envelope(), packet(payload_bytes=50), 0.0)
    agent.take_from_target(packet(payload_bytes=50), 0.0)


def keep_confirmed(scene: Scene, until: float) -> None:
    """Let the store confirm content each second, so that no entry counts as lapsed."""
    for second in range(1, int(until)):
        scene.directory.confirm(scene.revision, 0.0, float(second))


def left_at(scene: Scene, since: float) -> float:
    """Return when the owner is known to have left, looked at ten times a second."""
    presence = Presence(scene.directory, scene.peers)
    for tick in range(400):
        now = since + tick / 10
        scene.peers.tick(now)
        if presence.has_left(OWNER, (SERVICE,), now):
            return now
    pytest.fail("never")


def test_vms_of_a_cell_that_went_out_as_a_whole_are_known_to_have_left_soon() -> None:
    """Guards against callers that wait for flows which no hub is left to say are lost."""
    scene = Scene(FIRST)
    scene.hear(0.0)
    keep_confirmed(scene, 4.0)
    scene.remove_target(OWNER, 4.0)
    assert left_at(scene, 4.0) <= LOST_SECONDS + 0.2


def test_a_vm_that_has_left_does_not_come_back_when_its_heartbeats_are_forgotten() -> None:
    """Guards against callers that are reset, and later wait for the same VM."""
    scene = Scene(FIRST)
    scene.hear(0.0)
    keep_confirmed(scene, 6.0)
    scene.remove_target(OWNER, 6.0)
    scene.peers.receive_reports([PeerReport(OWNER, silence_milliseconds=2_500)], 2.5)
    presence = Presence(scene.directory, scene.peers)
    seen = []
    for tick in range(30):
        scene.peers.tick(8.0 + tick)
        seen.append(presence.has_left(OWNER, (SERVICE,), 8.0 + tick))
    assert seen == [True] * 30


def test_owner_is_not_gone_by_evidence_from_before_the_packet() -> None:
    """Guards against resets by a home that was cut off while the owner's entry came back."""
    scene = Scene(FIRST)
    scene.hear(1.0)
    agent = make_agent(scene)
    agent.learn_home(HomeNotice(OWNER, (flow(),)), 1.0)
    scene.remove_target(OWNER, 2.0)
    scene.peers.receive_reports([PeerReport(OWNER, silence_milliseconds=900)], 2.5)
    assert isinstance(agent.take_from_peer(envelope(), packet(), 22.0)[0], Undecided)
    scene.targets["back"] = target(OWNER, name="back", revision=900)
    scene.publish(22.5)
    forward, _ = agent.decide(22.5)
    assert isinstance(forward, Forward)
    assert forward.host == OWNER


def test_owner_that_has_just_told_is_not_gone() -> None:
    """Guards against resets by a home that lags behind what the owner itself says."""
    scene = Scene(FIRST)
    scene.hear(1.0)
    agent = make_agent(scene)
    scene.remove_target(OWNER, 2.0)
    scene.peers.receive_reports([PeerReport(OWNER, silence_milliseconds=1_500)], 2.5)
    agent.learn_home(HomeNotice(OWNER, (flow(),)), 12.0)
    forward = agent.take_from_peer(envelope(), packet(), 12.1)[0]
    assert isinstance(forward, Forward)
    assert forward.host == OWNER


def test_search_goes_last_to_vms_that_nobody_has_heard_for_long() -> None:
    """Guards against packets that end at a VM of which no hub is left to say that it is silent."""
    scene = Scene(FIRST)
    scene.hear(0.0)
    agent = make_agent(scene)
    (first,) = agent.take_from_peer(envelope(), packet(), 0.1)
    assert isinstance(first, Forward)
    others = [host for host in AGENTS[1:] if host != first.host]
    scene.peers.receive_reports([PeerReport(host) for host in others], 10.0)
    (second,) = agent.take_from_peer(envelope(), packet(), 10.0)
    assert isinstance(second, Forward)
    assert second.host in others


def test_search_goes_on_if_the_vm_that_an_opening_packet_was_passed_to_denied_the_flow() -> None:
    """Guards against packets that are dropped between two agents that both lack the flow."""
    scene = Scene(FIRST)
    scene.hear(0.0)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(PacketKind.OPENING), 0.0)
    (passed,) = agent.take_from_target(packet(PacketKind.OPENING, is_bounced=True), 0.0)
    assert isinstance(passed, Forward)
    (onward,) = agent.take_from_peer(envelope([passed.host]), packet(), 0.3)
    assert isinstance(onward, Forward)
    assert onward.host not in (FIRST, passed.host)


def test_agent_of_another_service_hands_no_unknown_packet_to_its_target() -> None:
    """Guards against packets at targets of a service that the flow can't be of."""
    scene = Scene(OWNER, [target(FIRST), target(OWNER, OTHER_SERVICE)])
    scene.hear(0.0)
    agent = make_agent(scene, OWNER, OTHER_SERVICE, started_at=0.0)
    (onward,) = agent.take_from_peer(envelope(), packet(), 1.0)
    assert isinstance(onward, Forward)
    assert onward.host == FIRST


def test_open_flow_at_the_service_that_its_route_named_before_is_found() -> None:
    """Guards against resets of flows that a configuration leaves where they are."""
    old = [target(host) for host in AGENTS[:2]]
    new = [target(host, OTHER_SERVICE) for host in AGENTS[2:]]
    scene = Scene(AGENTS[2], [*old, *new])
    scene.hear(1.0)
    scene.publish(1.0, table(8, (OTHER_SERVICE,)))
    agent = make_agent(scene, AGENTS[2], OTHER_SERVICE)
    came = envelope(AGENTS[3:], version=8, service=OTHER_SERVICE)
    (onward,) = agent.take_from_peer(came, packet(), 2.0)
    assert isinstance(onward, Forward)
    assert onward.host in AGENTS[:2]
    scene.directory.tick(1.0 + RETENTION)
    route = scene.directory.route(flow().service_host, flow().service_port)
    assert route is not None
    assert scene.directory.flow_services(route) == (OTHER_SERVICE,)


@pytest.mark.parametrize("lost_seconds", [0.0, 0.2, 0.6])
def test_flow_that_idled_a_little_less_than_allowed_is_not_forgotten(lost_seconds: float) -> None:
    """Guards against flows that their own agent denies, as copies of a packet were lost."""
    scene = Scene(FIRST)
    agent = make_agent(scene)
    open_flow(agent)
    came_at = IDLE - 0.1 + lost_seconds
    agent.sweep(came_at)
    effects = agent.take_from_peer(envelope(), packet(payload_bytes=9, sequence=51), came_at)
    assert isinstance(effects[0], HandToTarget)


def test_agent_that_stood_still_forgets_no_flow_whose_packets_wait_in_its_socket() -> None:
    """Guards against flows that an agent denies after it was frozen."""
    scene = Scene(FIRST)
    agent = make_agent(scene)
    open_flow(agent)
    agent.note_wake(IDLE + 2.0)
    agent.sweep(IDLE + 2.0)
    late = packet(payload_bytes=9, sequence=51)
    assert isinstance(agent.take_from_peer(envelope(), late, IDLE + 2.1)[0], HandToTarget)
    agent.sweep(IDLE + 2.1 + WAKE_SECONDS)
    assert agent.flows.owned == 1


def test_agent_that_stood_still_decides_nothing_about_packets_of_before() -> None:
    """Guards against resets by heartbeats that waited in the socket and seem new."""
    scene = Scene(FIRST)
    scene.hear(1.0)
    agent = make_agent(scene)
    assert isinstance(agent.take_from_peer(envelope(AGENTS[1:]), packet(), 1.0)[0], Undecided)
    agent.note_wake(5.0)
    scene.directory.confirm(scene.revision, 0.0, 5.0)
    assert agent.decide(5.0) == []


def test_homes_that_both_started_anew_are_told_again_at_once() -> None:
    """Guards against flows that nobody finds until their owner tells again, ten seconds later."""
    fleet = Fleet(110, 5)
    host = fleet.open(fleet.balancer(0), 1, 0.0)
    fleet.tell_homes(1.0)
    homes = {each for each in fleet.candidates.of(SERVICE).homes(flow(1)) if each != host}
    fleet.peers[host].receive_reports([PeerReport(each, is_new=True) for each in homes], 1.3)
    assert {each.home for each in fleet.agent(host).tell_homes(1.5)} == homes
    assert fleet.agent(host).tell_homes(2.0) == [], "once a start"


def test_readings_that_processes_tell_each_other_again_make_content_no_newer() -> None:
    """Guards against resets by content that nobody reads any more but everybody confirms."""
    directories = [Directory(), Directory()]
    for each in directories:
        each.apply_snapshot(Snapshot(100, table(), ()), 0.0)
    now = 0.0
    for _ in range(100):
        for teller, hearer in (directories, reversed(directories)):
            age = now - teller.confirmed_at
            now += 0.05  # what a heartbeat takes
            hearer.confirm(100, age, now)
    assert [each.confirmed_at for each in directories] == [0.0, 0.0]
    directories[0].confirm(100, 0.1, now)
    assert directories[0].confirmed_at == pytest.approx(now - 0.1)


def test_no_target_of_an_outage_is_gone_at_once_where_a_heartbeat_ended_it() -> None:
    """Guards against views that differ after an outage of the store, by who read it first."""
    scene = Scene(FIRST)
    scene.directory.confirm(scene.revision, 0.0, 10.0)
    scene.remove_target(OWNER, 10.1)
    view = scene.directory.target_at(OWNER, SERVICE)
    assert view is not None
    assert not view.is_gone(10.2)
    assert not any(isinstance(each, Refuse) for each in make_agent(scene).decide(10.2))


def test_open_flow_of_a_route_that_moved_before_the_last_agent_started_is_not_reset() -> None:
    """Guards against resets by an agent that never saw the configuration of the flow's time."""
    old = [target(host) for host in AGENTS[:2]]
    new = [target(host, OTHER_SERVICE) for host in AGENTS[2:]]
    scene = Scene(AGENTS[2], [*old, *new])
    scene.directory = Directory(RETENTION)
    scene.publish(1.0, table(8, (OTHER_SERVICE,)))
    scene.hear(1.0)
    agent = make_agent(scene, AGENTS[2], OTHER_SERVICE)
    came = envelope(AGENTS[3:], version=8, service=OTHER_SERVICE)
    (undecided,) = agent.take_from_peer(came, packet(), 2.0)
    assert isinstance(undecided, Undecided)
    scene.directory.confirm(scene.revision, 0.0, 3.0)
    assert not any(isinstance(each, Refuse) for each in agent.decide(3.0))
