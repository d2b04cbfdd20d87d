"""Open flows stay at targets of a service that their route no longer names.

The processes in these tests started after the configuration changed, so they don't know which
service the route had before.
"""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from ...directory import Directory, Snapshot, Target
from ...directory.tests.revisions import rev
from ...fleet import FORGET_SECONDS, PeerReport, PeerTable
from .. import (
    AgentSteering,
    BalancerSteering,
    Candidates,
    DeliverToTarget,
    Drop,
    DropReason,
    FlowPlacement,
    Forward,
    HomeNotice,
    OwnerNotice,
    Refuse,
    RefuseReason,
    Undecided,
    service_hash,
)
from .._presence import Presence
from .._tunnel import (
    ANY_SERVICE,
    MAXIMUM_HOPS,
    MAXIMUM_ROUTE_HOPS,
    TunneledPacket,
    decode_tunnel,
    encode_tunneled_packet,
)
from .scene import (
    AGENTS,
    BALANCER,
    DOMAIN,
    OTHER_AGENT,
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
    with_route,
)

FORMER, NEW = AGENTS[:2], AGENTS[2:]
UNHEARD = 0x0A090009
SIZES = [
    pytest.param(5, 5, id="10 targets"),
    pytest.param(40, 12, id="52 targets"),
    pytest.param(110, 30, id="140 targets"),
    pytest.param(700, 300, id="1,000 targets"),
]


def moved_scene(host: int, extra: Sequence[Target] = ()) -> Scene:
    """Return a view in which the route's former service has targets, but only another route."""
    former = [target(each) for each in FORMER]
    new = [target(each, OTHER_SERVICE) for each in NEW]
    scene = Scene(host, [*former, *new, *extra])
    scene.directory = Directory(RETENTION)
    scene.publish(0.0, with_route(table(8, (OTHER_SERVICE,)), SERVICE))
    scene.receive_heartbeats(0.0)
    return scene


class MovedFleet:
    """Agents that all started after a route moved; targets bounce what they don't have.

    Args:
        new: number of targets of the route's service.
        former: number of targets of the service that it had before.
    """

    def __init__(self, new: int, former: int) -> None:
        hosts = [0x0A020001 + number for number in range(new + former)]
        self.former = hosts[new:]
        targets = [
            target(
                host,
                SERVICE if host in self.former else OTHER_SERVICE,
                failure_domain=f"d{number % 3}",
            )
            for number, host in enumerate(hosts)
        ]
        self.directory = Directory(RETENTION)
        route_table = with_route(table(8, (OTHER_SERVICE,)), SERVICE)
        self.directory.apply_snapshot(Snapshot(rev(100), route_table, targets), 0.0)
        self.peers = PeerTable(0)
        self.peers.receive_reports([PeerReport(host) for host in hosts], 0.0)
        self.candidates = Candidates(self.directory)
        placement = FlowPlacement(self.directory, self.peers, self.candidates)
        self.agents = {
            each.host: AgentSteering(
                each.host, each.service, self.directory, self.peers, placement, RETENTION, 0.0
            )
            for each in targets
        }
        self.balancer = BalancerSteering(
            BALANCER, "d0", self.directory, self.peers, placement, RETENTION
        )

    def homes(self, number: int) -> Sequence[int]:
        return self.candidates.of(SERVICE).homes(flow(number))

    def follow(
        self, number: int, owner: int, now: float, first: int | None = None
    ) -> tuple[bool, int, object]:
        """Follow a packet; return whether it reaches its target, the hops, and the last effect.

        A balancer that knows the former service may have steered it to a VM that it takes for one
        of the route (`first`).
        """
        sent = packet(key=flow(number), payload_bytes=9)
        effect: object = self.balancer.steer(sent, now)
        if first is not None and isinstance(effect, Forward):
            mark = service_hash(OTHER_SERVICE)
            path = effect.envelope._replace(service_hash=mark)
            effect = effect._replace(host=first, envelope=path)
        hops = 0
        while isinstance(effect, Forward):
            hops += 1
            agent = self.agents[effect.host]
            found = agent.take_from_peer(effect.envelope, sent, now)
            if isinstance(found[0], DeliverToTarget):
                if effect.host == owner:
                    return True, hops, found[0]
                found = agent.take_from_target(sent._replace(is_bounced=True), now)
            effect = found[0]
        return False, hops, effect


# Guards against resets of open flows because their agent, which had passed the packet on without
# asking its target, counted as one that had denied them.
@pytest.mark.parametrize(
    ("new", "former"), [pytest.param(3, 2, id="5 targets"), pytest.param(10, 5, id="15 targets")]
)
def test_agent_that_has_not_asked_its_target_is_asked_again(new: int, former: int) -> None:
    fleet = MovedFleet(new, former)
    for number in range(20):
        owner = fleet.former[number % former]
        found, hops, last = fleet.follow(number, owner, 1.0, first=owner)
        assert found, last
        assert hops <= new + former + 1


# Guards against resets of flows at a service that a route left out before all processes restarted.
@pytest.mark.parametrize(("new", "former"), SIZES[:1])
def test_flows_at_a_former_service_are_found_after_a_restart_of_all(new: int, former: int) -> None:
    fleet = MovedFleet(new, former)
    for number in range(50):
        owner = fleet.former[number % former]
        found, hops, last = fleet.follow(number, owner, 1.0)
        assert found, last
        assert hops <= new + former


# Guards against a search of the whole fleet, or resets, for flows that their homes know.
@pytest.mark.parametrize(("new", "former"), SIZES)
def test_announced_flows_at_a_former_service_are_found_through_their_homes(
    new: int, former: int
) -> None:
    fleet = MovedFleet(new, former)
    for number in range(30):
        owner = fleet.former[number % former]
        for home in fleet.homes(number):
            fleet.agents[home].record_home_notice(HomeNotice(owner, (flow(number),)), 0.5)
        found, hops, last = fleet.follow(number, owner, 1.0)
        assert found, last
        assert hops <= 8


# Guards against resets where more agents may have a flow than one packet can visit, and against
# packets that visit many agents in vain.
@pytest.mark.parametrize(
    ("new", "former"),
    [
        pytest.param(40, 12, id="more targets of the route than are asked"),
        pytest.param(10, 45, id="more other targets than a packet can visit"),
        pytest.param(10, 990, id="large fleet"),
    ],
)
def test_flow_that_cannot_be_searched_everywhere_is_not_reset(new: int, former: int) -> None:
    fleet = MovedFleet(new, former)
    for number in range(10):
        found, hops, last = fleet.follow(number, 0, 1.0)
        assert not found
        assert last == Drop(flow(number), DropReason.TOO_MANY_HOPS)
        assert hops <= MAXIMUM_ROUTE_HOPS + 1


# Guards against callers that wait for a flow that no target has, though all agents can be asked.
@pytest.mark.parametrize(
    ("new", "former"), [pytest.param(5, 5, id="10 targets"), pytest.param(10, 38, id="48 targets")]
)
def test_flow_that_no_target_has_is_undecided_once_all_were_asked(new: int, former: int) -> None:
    fleet = MovedFleet(new, former)
    for number in range(10):
        found, hops, last = fleet.follow(number, 0, 1.0)
        assert not found
        assert isinstance(last, Undecided)
        assert hops == new + former
        assert len(last.asked) == new + former


# Guards against a datagram that is fragmented, of which each part may be lost.
def test_packet_that_has_visited_the_most_agents_is_not_fragmented() -> None:
    largest = bytes(31 + 1_200)
    data = encode_tunneled_packet(envelope(range(1, MAXIMUM_HOPS + 1)), largest)
    assert len(data) <= 1_472
    decoded = decode_tunnel(data)
    assert isinstance(decoded, TunneledPacket)
    assert len(decoded.envelope.visited) == MAXIMUM_HOPS


# Guards against resets by an agent that never saw the configuration under which a flow opened.
def test_open_flow_of_a_route_that_moved_before_the_last_agent_started_is_not_reset() -> None:
    scene = moved_scene(NEW[0])
    agent = make_agent(scene, NEW[0], OTHER_SERVICE)
    visited = list(NEW[1:])
    for _ in FORMER:
        incoming = envelope(visited, version=8, service=OTHER_SERVICE)
        (forward,) = agent.take_from_peer(incoming, packet(), 2.0)
        assert isinstance(forward, Forward)
        assert forward.host in FORMER
        assert forward.envelope.service_hash == ANY_SERVICE
        visited.append(forward.host)
    incoming = envelope(visited, version=8, service=OTHER_SERVICE)
    (undecided,) = agent.take_from_peer(incoming, packet(), 2.0)
    assert isinstance(undecided, Undecided), "every agent has denied it"
    scene.directory.confirm(rev(scene.revision), 0.0, 3.0)
    (refused,) = agent.decide(3.0)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.NOWHERE_OPEN


# Guards against an agent that denies its target's flow because the flow's route has moved.
def test_restarted_agent_of_the_former_service_asks_its_target() -> None:
    scene = moved_scene(FORMER[0])
    agent = make_agent(scene, FORMER[0], started_at=1.0)
    sought = envelope(NEW, version=8)._replace(service_hash=ANY_SERVICE)
    (delivered,) = agent.take_from_peer(sought, packet(), 2.0)
    assert isinstance(delivered, DeliverToTarget)


# Guards against a packet at a restarted agent that no other VM is left to be asked for.
def test_restarted_agent_asks_its_target_when_no_target_of_the_route_is_left() -> None:
    scene = moved_scene(FORMER[0])
    agent = make_agent(scene, FORMER[0], started_at=1.0)
    (delivered,) = agent.take_from_peer(envelope(NEW, version=8), packet(), 2.0)
    assert isinstance(delivered, DeliverToTarget)


# Guards against a flow at a former service whose every packet is searched for.
def test_balancer_remembers_an_owner_of_a_former_service() -> None:
    scene = moved_scene(BALANCER)
    balancer = BalancerSteering(
        BALANCER, DOMAIN, scene.directory, scene.peers, scene.placement, RETENTION
    )
    assert balancer.record_owner(OwnerNotice(flow(), FORMER[1]), 1.0)
    forward = balancer.steer(packet(), 1.1)
    assert isinstance(forward, Forward)
    assert (forward.host, forward.envelope.service_hash) == (FORMER[1], ANY_SERVICE)
    assert not balancer.record_owner(OwnerNotice(flow(1), UNHEARD), 1.0)


# Guards against callers that wait because another writer's entry, at the VM of a gone owner, is
# taken for a sign of it.
def test_entry_of_another_writer_does_not_keep_a_gone_owner() -> None:
    foreign = target(FORMER[0], "inventory", name="foreign", revision=rev(90))
    scene = moved_scene(NEW[0], [foreign])
    scene.targets = {name: each for name, each in scene.targets.items() if each.host != FORMER[0]}
    scene.targets["foreign"] = foreign
    scene.publish(1.0)
    scene.peers.receive_reports([PeerReport(FORMER[0], silence_milliseconds=2_000)], 2.4)
    assert Presence(scene.directory, scene.peers).has_left(FORMER[0], (OTHER_SERVICE,), 2.5)


# Guards against packets that are dropped because their route's present service has no targets.
def test_balancer_searches_other_services_if_the_routes_has_no_targets() -> None:
    scene = moved_scene(BALANCER)
    scene.table = with_route(table(9, ("without targets",)), SERVICE)
    # It started later, so it doesn't know the route's earlier services.
    scene.directory = Directory(RETENTION)
    scene.publish(2.0)
    balancer = BalancerSteering(
        BALANCER, DOMAIN, scene.directory, scene.peers, scene.placement, RETENTION
    )
    forward = balancer.steer(packet(), 2.1)
    assert isinstance(forward, Forward)
    assert forward.host in AGENTS
    assert forward.envelope.service_hash == ANY_SERVICE


# Guards against an agent that isn't asked because its VM had a target of the route before.
def test_agent_at_an_address_that_was_used_again_is_asked() -> None:
    scene = moved_scene(NEW[0])
    scene.remove_target(NEW[1], 1.0)
    scene.targets["next"] = target(
        NEW[1], SERVICE, name="next", started_milliseconds=2, revision=rev(500)
    )
    scene.publish(1.5)
    scene.receive_heartbeats(4.0)
    former = scene.directory.target_at(NEW[1], OTHER_SERVICE)
    assert former is not None
    assert former.has_departed(4.0)
    agent = make_agent(scene, NEW[0], OTHER_SERVICE)
    incoming = envelope([*NEW[2:], *FORMER], version=8, service=OTHER_SERVICE)
    (forward,) = agent.take_from_peer(incoming, packet(), 4.0)
    assert isinstance(forward, Forward)
    assert forward.host == NEW[1]


# Guards against a flow that isn't found while a home of another service is away.
def test_unreachable_home_of_another_service_is_asked_last() -> None:
    scene = moved_scene(NEW[0], [target(OTHER_AGENT)])
    scene.receive_heartbeats(1.0, [*AGENTS, OTHER_AGENT])
    agent = make_agent(scene, NEW[0], OTHER_SERVICE)
    homes = Candidates(scene.directory).of(SERVICE).homes(flow())
    (owner,) = {*FORMER, OTHER_AGENT} - set(homes)
    scene.peers.receive_reports([PeerReport(homes[0], silence_milliseconds=1_000)], 2.0)
    incoming = envelope([*NEW[1:], homes[1]], version=8, service=OTHER_SERVICE)
    (forward,) = agent.take_from_peer(incoming, packet(), 2.0)
    assert isinstance(forward, Forward)
    assert forward.host == owner


# Guards against a flow's packets at many other targets while its own agent is away.
def test_agents_of_other_services_are_asked_after_unreachable_ones_of_the_route() -> None:
    scene = moved_scene(NEW[0], [target(OTHER_AGENT)])
    scene.receive_heartbeats(1.0, [*AGENTS, OTHER_AGENT])
    agent = make_agent(scene, NEW[0], OTHER_SERVICE)
    homes = Candidates(scene.directory).of(SERVICE).homes(flow())
    incoming = envelope([*NEW[2:], *homes], version=8, service=OTHER_SERVICE)
    scene.peers.receive_reports([PeerReport(NEW[1], silence_milliseconds=1_000)], 2.0)
    (forward,) = agent.take_from_peer(incoming, packet(), 2.0)
    assert isinstance(forward, Forward)
    assert forward.host == NEW[1]
    scene.receive_heartbeats(2.1, [*AGENTS, OTHER_AGENT])
    incoming = envelope([*NEW[1:], *homes], version=8, service=OTHER_SERVICE)
    (forward,) = agent.take_from_peer(incoming, packet(), 2.1)
    assert isinstance(forward, Forward)
    assert forward.host in {*FORMER, OTHER_AGENT} - set(homes)


# Guards against callers that wait for a flow whose owner, of a former service, is known to be gone.
def test_flow_of_a_gone_owner_of_a_former_service_is_reset() -> None:
    scene = moved_scene(NEW[0])
    agent = make_agent(scene, NEW[0], OTHER_SERVICE)
    agent.record_home_notice(HomeNotice(FORMER[0], (flow(),)), 0.0)
    scene.remove_target(FORMER[0], 1.0)
    scene.peers.receive_reports([PeerReport(FORMER[0], silence_milliseconds=2_000)], 2.4)
    incoming = envelope(version=8, service=OTHER_SERVICE)
    assert isinstance(agent.take_from_peer(incoming, packet(), 2.5)[0], Undecided)
    scene.directory.confirm(rev(scene.revision), 0.0, 3.0)
    (refused,) = agent.decide(3.0)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.OWNER_GONE


# Guards against packets of a route's flows that start at a target which can't have most of them.
def test_agent_of_another_service_passes_on_what_was_not_steered_to_it() -> None:
    scene = moved_scene(FORMER[0])
    agent = make_agent(scene, FORMER[0], started_at=1.0)
    incoming = envelope(version=8, service=OTHER_SERVICE)
    (forward,) = agent.take_from_peer(incoming, packet(), 2.0)
    assert isinstance(forward, Forward)
    assert forward.host in NEW
    assert not forward.envelope.visited, "its target was not asked"
    assert forward.envelope.service_hash == ANY_SERVICE, "no other agent may pass it on unasked"


# Guards against resets by an agent that has just started and hasn't been told of all others yet.
def test_agent_that_has_just_started_takes_no_silence_for_absence() -> None:
    scene = Scene(AGENTS[0], [target(AGENTS[0]), target(AGENTS[1], OTHER_SERVICE)])
    scene.publish(9.0)
    agent = make_agent(scene, started_at=9.0)
    for seconds, is_asked in (
        (FORGET_SECONDS - 0.1, True),
        (FORGET_SECONDS + 0.1, False),
    ):
        (bounced,) = agent.take_from_peer(envelope(), packet(), 9.0 + seconds)
        assert isinstance(bounced, DeliverToTarget)
        (effect,) = agent.take_from_target(packet(is_bounced=True), 9.0 + seconds)
        assert isinstance(effect, Forward) is is_asked, effect


# Guards against resets of open flows at an agent that was away when all others started anew.
def test_agent_of_a_service_without_a_route_may_be_away_when_others_start() -> None:
    targets = [target(NEW[0], OTHER_SERVICE), target(FORMER[0])]
    scene = Scene(NEW[0], targets)
    scene.directory = Directory(RETENTION)
    scene.publish(0.0, table(8, (OTHER_SERVICE,)))
    agent = make_agent(scene, NEW[0], OTHER_SERVICE, started_at=0.0)
    now = FORGET_SECONDS / 2
    (delivered,) = agent.take_from_peer(envelope(version=8, service=OTHER_SERVICE), packet(), now)
    assert isinstance(delivered, DeliverToTarget)
    (forward,) = agent.take_from_target(packet(is_bounced=True), now)
    assert isinstance(forward, Forward), forward
    assert forward.host == FORMER[0]


def test_service_hashes_differ_from_the_mark_for_any() -> None:
    assert ANY_SERVICE not in {service_hash(each) for each in (SERVICE, OTHER_SERVICE)}
