"""A search ends only by evidence newer than the packet, never because updates are missing.

Each test names the failure that it guards against.
"""

from __future__ import annotations

import pytest

from ...directory import Directory, Snapshot
from ...directory.tests.revisions import rev
from ...fleet import PeerReport
from .. import (
    AgentSteering,
    DeliverToTarget,
    Forward,
    HomeNotice,
    PacketKind,
    Refuse,
    Undecided,
)
from .._flow_table import RESUME_GRACE_SECONDS
from .._presence import UNREACHABLE_SECONDS, Presence
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
    agent.take_from_peer(envelope(), packet(PacketKind.SYN), 0.0)
    agent.take_from_target(packet(PacketKind.SYN_ACK), 0.0)
    agent.take_from_peer(envelope(), packet(payload_bytes=50), 0.0)
    agent.take_from_target(packet(payload_bytes=50), 0.0)


def keep_confirmed(scene: Scene, until: float) -> None:
    """Confirm the store's content each second, so that no entry counts as lapsed."""
    for second in range(1, int(until)):
        scene.directory.confirm(rev(scene.revision), 0.0, float(second))


def left_at(scene: Scene, since: float) -> float:
    """Return when the owner is first known to have left, checked ten times a second."""
    presence = Presence(scene.directory, scene.peers)
    for tick in range(400):
        now = since + tick / 10
        scene.peers.tick(now)
        if presence.has_left(OWNER, (SERVICE,), now):
            return now
    pytest.fail("never")


def test_vm_of_failed_cell_is_soon_known_to_have_left() -> None:
    """Guards against callers that wait for lost flows because no hub is left to report the VM."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(0.0)
    keep_confirmed(scene, 4.0)
    scene.remove_target(OWNER, 4.0)
    assert left_at(scene, 4.0) <= UNREACHABLE_SECONDS + 0.2


def test_departed_vm_stays_departed_after_heartbeats_expire() -> None:
    """Guards against callers that are reset and later wait for the same VM again."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(0.0)
    keep_confirmed(scene, 6.0)
    scene.remove_target(OWNER, 6.0)
    scene.peers.receive_reports([PeerReport(OWNER, silence_milliseconds=2_500)], 2.5)
    presence = Presence(scene.directory, scene.peers)
    seen = []
    for tick in range(30):
        scene.peers.tick(8.0 + tick)
        seen.append(presence.has_left(OWNER, (SERVICE,), 8.0 + tick))
    assert seen == [True] * 30


def test_evidence_from_before_packet_does_not_reset_flow() -> None:
    """Guards against resets by a home that was cut off when the owner's entry reappeared."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    agent.record_home_notice(HomeNotice(OWNER, (flow(),)), 1.0)
    scene.remove_target(OWNER, 2.0)
    scene.peers.receive_reports([PeerReport(OWNER, silence_milliseconds=900)], 2.5)
    assert isinstance(agent.take_from_peer(envelope(), packet(), 22.0)[0], Undecided)
    scene.targets["back"] = target(OWNER, name="back", started_milliseconds=2, revision=rev(900))
    scene.publish(22.5)
    forward, _ = agent.decide(22.5)
    assert isinstance(forward, Forward)
    assert forward.host == OWNER


def test_owner_with_recent_notice_has_not_left() -> None:
    """Guards against resets by a home whose view is older than the owner's own notice."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    scene.remove_target(OWNER, 2.0)
    scene.peers.receive_reports([PeerReport(OWNER, silence_milliseconds=1_500)], 2.5)
    agent.record_home_notice(HomeNotice(OWNER, (flow(),)), 12.0)
    forward = agent.take_from_peer(envelope(), packet(), 12.1)[0]
    assert isinstance(forward, Forward)
    assert forward.host == OWNER


def test_search_visits_long_unreachable_vms_last() -> None:
    """Guards against packets lost at a failed VM whose failure no remaining hub can report."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene)
    (first,) = agent.take_from_peer(envelope(), packet(), 0.1)
    assert isinstance(first, Forward)
    other_hosts = [host for host in AGENTS[1:] if host != first.host]
    scene.peers.receive_reports([PeerReport(host) for host in other_hosts], 10.0)
    (second,) = agent.take_from_peer(envelope(), packet(), 10.0)
    assert isinstance(second, Forward)
    assert second.host in other_hosts


def test_search_continues_when_forwarded_to_agent_lacks_flow() -> None:
    """Guards against packets that are dropped between two agents that both lack the flow."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(PacketKind.SYN), 0.0)
    (passed,) = agent.take_from_target(packet(PacketKind.SYN, is_bounced=True), 0.0)
    assert isinstance(passed, Forward)
    (onward,) = agent.take_from_peer(envelope([passed.host]), packet(), 0.3)
    assert isinstance(onward, Forward)
    assert onward.host not in (FIRST, passed.host)


def test_agent_of_another_service_does_not_deliver_unknown_packet() -> None:
    """Guards against packets at targets of a service that the flow can't belong to."""
    scene = Scene(OWNER, [target(FIRST), target(OWNER, OTHER_SERVICE)])
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene, OWNER, OTHER_SERVICE, started_at=0.0)
    (onward,) = agent.take_from_peer(envelope(), packet(), 1.0)
    assert isinstance(onward, Forward)
    assert onward.host == FIRST


def test_flow_at_former_service_of_its_route_is_found() -> None:
    """Guards against resets of flows that stay at a service after their route moved."""
    old = [target(host) for host in AGENTS[:2]]
    new = [target(host, OTHER_SERVICE) for host in AGENTS[2:]]
    scene = Scene(AGENTS[2], [*old, *new])
    scene.receive_heartbeats(1.0)
    scene.publish(1.0, table(8, (OTHER_SERVICE,)))
    agent = make_agent(scene, AGENTS[2], OTHER_SERVICE)
    incoming = envelope(AGENTS[3:], version=8, service=OTHER_SERVICE)
    (onward,) = agent.take_from_peer(incoming, packet(), 2.0)
    assert isinstance(onward, Forward)
    assert onward.host in AGENTS[:2]
    scene.directory.tick(1.0 + RETENTION)
    route = scene.directory.route(flow().service_host, flow().service_port)
    assert route is not None
    assert scene.directory.flow_services(route) == (OTHER_SERVICE,)


@pytest.mark.parametrize("lost_seconds", [0.0, 0.2, 0.6])
def test_flow_idle_just_below_the_limit_is_kept(lost_seconds: float) -> None:
    """Guards against flows that their agent removes early because copies of a packet were lost."""
    scene = Scene(FIRST)
    agent = make_agent(scene)
    open_flow(agent)
    arrived_at = IDLE - 0.1 + lost_seconds
    agent.sweep(arrived_at)
    effects = agent.take_from_peer(envelope(), packet(payload_bytes=9, sequence=51), arrived_at)
    assert isinstance(effects[0], DeliverToTarget)


def test_scheduling_pause_keeps_flows_with_unread_packets() -> None:
    """Guards against flows that an agent no longer knows after a scheduling pause."""
    scene = Scene(FIRST)
    agent = make_agent(scene)
    open_flow(agent)
    agent.note_scheduling_pause(IDLE + 2.0)
    agent.sweep(IDLE + 2.0)
    late = packet(payload_bytes=9, sequence=51)
    assert isinstance(agent.take_from_peer(envelope(), late, IDLE + 2.1)[0], DeliverToTarget)
    agent.sweep(IDLE + 2.1 + RESUME_GRACE_SECONDS)
    assert agent.flows.owned == 1


def test_scheduling_pause_discards_undecided_packets() -> None:
    """Guards against resets due to heartbeats that were queued in the socket and seem current."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    assert isinstance(agent.take_from_peer(envelope(AGENTS[1:]), packet(), 1.0)[0], Undecided)
    agent.note_scheduling_pause(5.0)
    scene.directory.confirm(rev(scene.revision), 0.0, 5.0)
    assert agent.decide(5.0) == []


def test_restarted_homes_are_notified_immediately() -> None:
    """Guards against flows that are not found until the owner's next notice ten seconds later."""
    fleet = Fleet(110, 5)
    host = fleet.open(fleet.balancer(0), 1, 0.0)
    fleet.announce_to_homes(1.0)
    homes = {each for each in fleet.candidates.of(SERVICE).homes(flow(1)) if each != host}
    fleet.peers[host].receive_reports([PeerReport(each, is_new=True) for each in homes], 1.3)
    assert {each.home for each in fleet.agent(host).due_home_notices(1.5)} == homes
    assert fleet.agent(host).due_home_notices(2.0) == [], "notified once per restart"


def test_relayed_confirmations_do_not_renew_content() -> None:
    """Guards against resets due to content that no process reads but all confirm to each other."""
    directories = [Directory(), Directory()]
    for each in directories:
        each.apply_snapshot(Snapshot(rev(100), table(), ()), 0.0)
    now = 0.0
    for _ in range(100):
        for sender, receiver in (directories, reversed(directories)):
            age = now - sender.confirmed_at
            now += 0.05  # delay of a heartbeat
            receiver.confirm(rev(100), age, now)
    assert [each.confirmed_at for each in directories] == [0.0, 0.0]
    directories[0].confirm(rev(100), 0.1, now)
    assert directories[0].confirmed_at == pytest.approx(now - 0.1)


def test_outage_ended_by_heartbeat_keeps_vanished_target() -> None:
    """Guards against views that depend on which process read the store first after an outage."""
    scene = Scene(FIRST)
    scene.directory.confirm(rev(scene.revision), 0.0, 10.0)
    scene.remove_target(OWNER, 10.1)
    view = scene.directory.target_at(OWNER, SERVICE)
    assert view is not None
    assert not view.has_departed(10.2)
    assert not any(isinstance(each, Refuse) for each in make_agent(scene).decide(10.2))
