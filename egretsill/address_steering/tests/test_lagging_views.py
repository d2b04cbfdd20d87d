"""Open flows under stale views: a target missing from a view may still exist.

These tests need no network. Each names the failure that it guards against.
"""

from __future__ import annotations

import pytest

from ...directory.tests.revisions import rev
from ...fleet import PeerReport
from .. import (
    AgentSteering,
    DeliverToTarget,
    Drop,
    DropReason,
    Forward,
    ForwardReason,
    HomeNotice,
    NotifyBalancer,
    OwnerNotice,
    PacketKind,
    Refuse,
    RefuseReason,
    Undecided,
)
from .._decisions import AgentEffect
from .._flow_table import MAXIMUM_FLOWS
from .._tunnel import MAXIMUM_ROUTE_HOPS
from .._undecided import CONFIRMATION_SLACK_SECONDS, MAXIMUM_UNDECIDED, UNDECIDED_SECONDS
from .scene import (
    AGENTS,
    OTHER_SERVICE,
    RETENTION,
    Scene,
    envelope,
    flow,
    make_agent,
    packet,
    table,
    target,
    with_route,
)

SIZES = [pytest.param(count, id=f"{count}-targets") for count in (3, 13, 40)]
AGES = (0.2, 0.5, 0.9, 2.0, 3.0, 5.0, 6.0, 30.0)  # seconds
FIRST = AGENTS[0]


def service_of(count: int) -> list[int]:
    return [FIRST + number for number in range(count)]


def ask_last_agent(agent: AgentSteering, other_hosts: list[int], now: float) -> AgentEffect:
    """Return an agent's decision on a packet that has visited as many other hosts as possible."""
    incoming = envelope(other_hosts[:MAXIMUM_ROUTE_HOPS])
    (effect,) = agent.take_from_peer(incoming, packet(), now)
    return effect


@pytest.mark.parametrize("count", SIZES)
def test_flow_at_target_unknown_to_last_agent_is_not_reset(
    count: int,
) -> None:
    """Guards against resets of flows at targets added after an agent's view was last updated."""
    hosts = service_of(count)
    for age in AGES:
        scene = Scene(hosts[-1], [target(host) for host in hosts])
        scene.receive_heartbeats(age, hosts)
        effect = ask_last_agent(make_agent(scene, hosts[-1]), hosts[:-1], age)
        assert not isinstance(effect, Refuse), f"content confirmed {age} s ago"


@pytest.mark.parametrize("count", SIZES)
def test_flow_at_target_with_vanished_entry_is_not_reset(count: int) -> None:
    """Guards against resets of flows at targets that still serve after their entries vanished."""
    *other_hosts, last, owner = service_of(count)
    for age in AGES:
        scene = Scene(last, [target(host) for host in (*other_hosts, last, owner)])
        scene.receive_heartbeats(0.0, (*other_hosts, last, owner))
        scene.remove_target(owner, 1.0)
        now = 1.0 + age
        scene.receive_heartbeats(now, (*other_hosts, last, owner))
        effect = ask_last_agent(make_agent(scene, last), other_hosts, now)
        assert not isinstance(effect, Refuse), f"entry vanished {age} s ago"
        if len(other_hosts) < MAXIMUM_ROUTE_HOPS:
            assert isinstance(effect, Forward)
            assert effect.host == owner


OWNER = AGENTS[1]
SILENT = PeerReport(OWNER, silence_milliseconds=2_000)


@pytest.mark.parametrize(
    ("reports", "replacement", "is_reset"),
    [
        pytest.param([PeerReport(OWNER)], False, False, id="its VM is reachable"),
        pytest.param([], False, False, id="no report of its VM"),
        pytest.param([SILENT], False, True, id="its VM is reported silent"),
        pytest.param([PeerReport(OWNER)], True, False, id="another target has its address"),
        pytest.param([], True, False, id="another target has its address, no report of its VM"),
        pytest.param([SILENT], True, True, id="another target had its address, its VM is silent"),
    ],
)
def test_vanished_entry_resets_flow_only_with_evidence(
    reports: list[PeerReport], replacement: bool, is_reset: bool
) -> None:
    """Guards against resets because no hub has reported the owner's VM, as with a new hub."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    agent.record_home_notice(HomeNotice(OWNER, (flow(),)), 0.0)
    scene.remove_target(OWNER, 1.0)
    if replacement:
        scene.targets["next"] = target(
            OWNER, OTHER_SERVICE, name="next", started_milliseconds=2, revision=rev(500)
        )
        scene.publish(1.1, with_route(table(8), OTHER_SERVICE))
    scene.peers.receive_reports(reports, 2.4)
    effect = agent.take_from_peer(envelope(version=scene.table.version), packet(), 2.5)[0]
    if is_reset:
        assert isinstance(effect, Undecided), "newer content may have its entry again"
        scene.directory.confirm(rev(scene.revision), 0.0, 3.0)
        (effect,) = agent.decide(3.0)
        assert isinstance(effect, Refuse)
        assert effect.reason is RefuseReason.OWNER_GONE
    else:
        assert isinstance(effect, Forward)
        assert (effect.host, effect.reason) == (OWNER, ForwardReason.ANNOUNCED_BY_OWNER)


def test_search_includes_reachable_agent_without_known_target() -> None:
    """Guards against resets by an agent that started after the owner's entry had vanished."""
    other_hosts = service_of(3)
    new_host = FIRST + 50
    scene = Scene(other_hosts[-1], [target(host) for host in other_hosts])
    scene.receive_heartbeats(1.0, (*other_hosts, new_host))
    effect = ask_last_agent(make_agent(scene, other_hosts[-1]), other_hosts[:-1], 1.0)
    assert isinstance(effect, Forward)
    assert effect.host == new_host


def undecided_packet(scene: Scene, agent: AgentSteering, now: float) -> None:
    effect = ask_last_agent(agent, list(AGENTS[1:]), now)
    assert isinstance(effect, Undecided)
    assert agent.undecided == 1


def test_undecided_packet_goes_to_newly_known_target() -> None:
    """Guards against resets and losses of flows at targets that were just added."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene, FIRST)
    undecided_packet(scene, agent, 1.0)
    new_host = target(FIRST + 50)
    scene.targets[new_host.name] = new_host
    scene.publish(1.5)
    (forward,) = agent.decide(1.5)
    assert isinstance(forward, Forward)
    assert (forward.host, forward.datagram) == (new_host.host, packet().datagram)
    assert agent.undecided == 0


@pytest.mark.parametrize(
    ("confirmed_at", "is_reset"),
    [
        pytest.param(0.9, False, id="before the packet arrived"),
        pytest.param(
            1.0 + CONFIRMATION_SLACK_SECONDS / 2, False, id="within the propagation slack"
        ),
        pytest.param(1.0 + CONFIRMATION_SLACK_SECONDS, True, id="after the packet arrived"),
    ],
)
def test_only_view_confirmed_after_arrival_allows_reset(
    confirmed_at: float, is_reset: bool
) -> None:
    scene = Scene(FIRST)
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene, FIRST)
    undecided_packet(scene, agent, 1.0)
    scene.directory.confirm(rev(scene.revision), 0.0, confirmed_at)
    effects = agent.decide(1.6)
    assert [type(each) for each in effects] == ([Refuse] if is_reset else [])
    assert agent.undecided == (0 if is_reset else 1)


def test_expired_undecided_packet_is_dropped_without_reset() -> None:
    """An agent that is cut off from store and peers never resets flows that it can't find."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene, FIRST)
    undecided_packet(scene, agent, 1.0)
    assert agent.decide(1.0 + UNDECIDED_SECONDS) == [Drop(flow(), DropReason.UNDECIDED)]
    assert agent.undecided == 0


def test_undecided_packets_are_limited_to_one_per_flow() -> None:
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    incoming = envelope(AGENTS[1:])
    for number in range(2 * MAXIMUM_UNDECIDED):
        agent.take_from_peer(incoming, packet(key=flow(number)), 1.0)
        again = agent.take_from_peer(incoming, packet(key=flow(number)), 1.1)
        assert again == (Drop(flow(number), DropReason.UNDECIDED),)
    assert agent.undecided == MAXIMUM_UNDECIDED


@pytest.mark.parametrize("count", SIZES)
def test_search_continues_past_unreachable_vm(count: int) -> None:
    """Guards against open flows that are not found while a home or candidate is down."""
    hosts = service_of(count)
    scene = Scene(FIRST, [target(host) for host in hosts])
    scene.receive_heartbeats(0.0, hosts)
    agent = make_agent(scene, FIRST)
    (first,) = agent.take_from_peer(envelope(), packet(), 0.1)
    assert isinstance(first, Forward)
    scene.receive_heartbeats(1.0, [host for host in hosts if host != first.host])
    (second,) = agent.take_from_peer(envelope(), packet(), 1.1)
    assert isinstance(second, Forward)
    assert second.host != first.host
    other_hosts = [host for host in hosts if host not in (FIRST, first.host)]
    (last,) = agent.take_from_peer(envelope(other_hosts[: MAXIMUM_ROUTE_HOPS - 1]), packet(), 1.2)
    assert isinstance(last, Forward), "the silent VM may have it, so nothing is reset"


@pytest.mark.parametrize(
    "started_at", [pytest.param(-RETENTION, id="complete table"), pytest.param(0.0, id="new table")]
)
def test_home_forwards_to_announced_owner_and_notifies_balancer(
    started_at: float,
) -> None:
    """Guards against packets at other targets while an owner's agent is down and routers change."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene, FIRST, started_at=started_at)
    agent.record_home_notice(HomeNotice(OWNER, (flow(),)), 0.0)
    forward, notice = agent.take_from_peer(envelope(), packet(), 0.1)
    assert isinstance(forward, Forward)
    assert (forward.host, forward.reason) == (OWNER, ForwardReason.ANNOUNCED_BY_OWNER)
    assert notice == NotifyBalancer(envelope().balancer, OwnerNotice(flow(), OWNER))


def test_home_tries_own_target_after_owner_was_visited() -> None:
    """The notice may belong to an earlier flow with the same addresses and ports."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST, started_at=0.0)
    agent.record_home_notice(HomeNotice(OWNER, (flow(),)), 0.0)
    (handed,) = agent.take_from_peer(envelope([OWNER]), packet(), 0.1)
    assert isinstance(handed, DeliverToTarget)


def open_flow(agent: AgentSteering, sequence: int) -> None:
    agent.take_from_peer(envelope(), packet(PacketKind.SYN), 0.0)
    agent.take_from_target(packet(PacketKind.SYN_ACK), 0.0)
    request = packet(payload_bytes=100, sequence=sequence)
    agent.take_from_peer(envelope(), request, 0.1)
    agent.take_from_target(packet(payload_bytes=100), 0.2)


def end_flow(agent: AgentSteering, sequence: int) -> None:
    agent.take_from_target(packet(PacketKind.FIN), 0.3)
    agent.take_from_peer(envelope(), packet(PacketKind.FIN, sequence=sequence), 0.3)


@pytest.mark.parametrize(
    ("sequence", "is_passed_on"),
    [
        pytest.param(101, False, id="late packet of the flow that ended"),
        pytest.param(0x80000000, True, id="packet of a later flow"),
        pytest.param(2**32 - 1_000, False, id="late packet from before the numbers wrapped"),
    ],
)
def test_packet_of_later_flow_is_not_delivered_to_earlier_target(
    sequence: int, is_passed_on: bool
) -> None:
    """Guards against resets by a target that had an earlier flow with the same key."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    open_flow(agent, sequence=1)
    end_flow(agent, sequence=101)
    stray = packet(payload_bytes=100, sequence=sequence)
    (effect,) = agent.take_from_peer(envelope(), stray, 1.0)
    assert isinstance(effect, Forward if is_passed_on else DeliverToTarget)


def test_bounced_packet_of_later_flow_is_passed_on() -> None:
    """Guards against resets of flows whose caller reuses the ports of a vanished flow."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    open_flow(agent, sequence=1)
    bounced = packet(payload_bytes=100, sequence=0x80000000, is_bounced=True)
    (effect,) = agent.take_from_target(bounced, 1.0)
    assert isinstance(effect, Forward)
    assert effect.reason is ForwardReason.NOT_HERE


def test_bounced_late_syn_copy_keeps_flow_open() -> None:
    """Guards against packets of an open flow at other targets after its agent removed it."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene, FIRST)
    open_flow(agent, sequence=1)
    agent.take_from_peer(envelope(), packet(PacketKind.SYN, copy=1), 0.3)
    dropped = agent.take_from_target(packet(PacketKind.SYN, copy=1, is_bounced=True), 0.3)
    assert dropped == (Drop(flow(), DropReason.UNEXPECTED),)
    later = agent.take_from_peer(envelope(), packet(payload_bytes=9, sequence=101), 0.4)
    assert [type(each) for each in later] == [DeliverToTarget]


def test_agent_with_overflowed_table_tries_its_target_first() -> None:
    """Guards against resets of open flows that an agent evicted from its full table."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    for number in range(MAXIMUM_FLOWS + 1):
        agent.take_from_peer(envelope(), packet(PacketKind.SYN, flow(number)), 0.0)
        agent.take_from_target(packet(PacketKind.SYN_ACK, flow(number)), 0.0)
    (handed,) = agent.take_from_peer(envelope(AGENTS[1:]), packet(key=flow(0)), 1.0)
    assert isinstance(handed, DeliverToTarget)


@pytest.mark.parametrize(
    ("announced_at", "is_used"),
    [
        pytest.param(1.0, True, id="announced after the SYN was passed on"),
        pytest.param(-1.0, False, id="earlier flow announced before"),
    ],
)
def test_announced_owner_replaces_earlier_forwarding(announced_at: float, is_used: bool) -> None:
    """Guards against open flows that are not found because packets go to an agent that is down."""
    scene = Scene(FIRST)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene, FIRST)
    agent.take_from_peer(envelope(), packet(PacketKind.SYN), 0.0)
    (passed,) = agent.take_from_target(packet(PacketKind.SYN, is_bounced=True), 0.0)
    assert isinstance(passed, Forward)
    owner = next(host for host in AGENTS[1:] if host != passed.host)
    agent.record_home_notice(HomeNotice(owner, (flow(),)), announced_at)
    effect = agent.take_from_peer(envelope(), packet(), 1.1)[0]
    assert isinstance(effect, Forward)
    assert effect.host == (owner if is_used else passed.host)
