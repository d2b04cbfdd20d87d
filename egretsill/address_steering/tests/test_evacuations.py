"""Tests that new flows keep away from evacuated failure domains, and come back evenly."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from ...directory import Evacuation, Snapshot
from ...directory.tests.revisions import rev
from .. import (
    AgentSteering,
    BalancerSteering,
    CapacityOffer,
    CapacityRequest,
    DeliverToTarget,
    Forward,
    ForwardReason,
    NotifyBalancer,
    OfferCapacity,
    OwnerNotice,
    PacketKind,
    Refuse,
    RefuseReason,
    Wait,
    service_hash,
)
from .load_fleet import LoadFleet
from .scene import (
    AGENTS,
    BALANCER,
    DOMAIN,
    RETENTION,
    SERVICE,
    Scene,
    envelope,
    flow,
    make_agent,
    packet,
    target,
)

HERE, THERE = AGENTS[0], AGENTS[1]
NEAR_AND_FAR = [
    target(host, failure_domain="ab"[number % 2], capacity=1) for number, host in enumerate(AGENTS)
]
MOST_SHARES = 2.0  # that a target may get in the first second after its failure domain's return
FAR = {each.host for each in NEAR_AND_FAR if each.failure_domain == "b"}


def make_scene(host: int = HERE) -> Scene:
    scene = Scene(host, NEAR_AND_FAR)
    scene.receive_heartbeats(0.0)
    return scene


def make_balancer(scene: Scene) -> BalancerSteering:
    return BalancerSteering(
        BALANCER, DOMAIN, scene.directory, scene.peers, scene.placement, RETENTION
    )


def syn(agent: AgentSteering, number: int, now: float, copy: int = 0) -> Sequence[object]:
    return agent.take_from_peer(envelope(), packet(PacketKind.SYN, flow(number), copy), now)


def forwards(effects: Sequence[object]) -> list[tuple[int, ForwardReason]]:
    return [(each.host, each.reason) for each in effects if isinstance(each, Forward)]


def delivers(effects: Sequence[object]) -> bool:
    return any(isinstance(each, DeliverToTarget) for each in effects)


def test_balancer_chooses_no_target_of_an_evacuated_domain() -> None:
    scene = make_scene(BALANCER)
    balancer = make_balancer(scene)
    scene.evacuate(1.0, DOMAIN)
    for number in range(200):
        decision = balancer.steer(packet(PacketKind.SYN, flow(number)), 1.0)
        assert isinstance(decision, Forward)
        assert decision.host in FAR
    scene.evacuate(2.0)
    hosts = {
        forwards([balancer.steer(packet(PacketKind.SYN, flow(n)), 2.0)])[0][0] for n in range(200)
    }
    assert hosts & set(AGENTS) - FAR


# Guards against copies that follow their SYN packet into a domain which was evacuated meanwhile.
def test_balancer_sends_no_copy_to_where_a_syn_packet_waits() -> None:
    scene = make_scene(BALANCER)
    balancer = make_balancer(scene)
    assert balancer.record_owner(OwnerNotice(flow(), HERE), 1.0)
    copy = packet(PacketKind.SYN, flow(), copy=1)
    assert forwards([balancer.steer(copy, 1.1)]) == [(HERE, ForwardReason.KNOWN_OWNER)]
    assert balancer.record_owner(OwnerNotice(flow(), HERE), 1.15)
    scene.evacuate(1.2, DOMAIN)
    ((host, reason),) = forwards([balancer.steer(copy, 1.3)])
    assert (host in FAR, reason) == (True, ForwardReason.NEW_FLOW)


# Guards against an agent that opens what a balancer sent that didn't know of the order yet.
def test_agent_passes_new_flows_on_and_keeps_open_ones() -> None:
    scene = make_scene()
    agent = make_agent(scene, HERE)
    syn(agent, 0, 0.5)
    agent.take_from_target(packet(PacketKind.SYN_ACK, flow(0)), 0.5)
    scene.evacuate(1.0, DOMAIN)
    ((host, reason),) = forwards(syn(agent, 1, 1.0))
    assert (host in FAR, reason) == (True, ForwardReason.DOMAIN_EVACUATED)
    request = packet(key=flow(0), payload_bytes=100)
    assert delivers(agent.take_from_peer(envelope(), request, 1.1))
    agent.take_from_target(request, 1.2)
    scene.evacuate(2.0)
    assert delivers(syn(agent, 2, 2.0))


def test_copy_of_a_syn_packet_that_the_target_did_not_answer_is_passed_on() -> None:
    scene = make_scene()
    agent = make_agent(scene, HERE)
    assert delivers(syn(agent, 0, 1.0))
    scene.evacuate(1.1, DOMAIN)
    effects = syn(agent, 0, 1.2, copy=1)
    assert not delivers(effects)
    assert [reason for _, reason in forwards(effects)] == [ForwardReason.DOMAIN_EVACUATED]


# Guards against a SYN packet that waits here when the order comes and is opened afterwards.
@pytest.mark.parametrize("is_freed", [True, False], ids=["a slot is free", "it waited for long"])
def test_waiting_syn_packets_are_passed_on(is_freed: bool) -> None:
    scene = make_scene()
    agent = make_agent(scene, HERE)
    for number in range(2):
        syn(agent, number, 1.0)
        agent.take_from_target(packet(PacketKind.SYN_ACK, flow(number)), 1.0)
        agent.take_from_peer(envelope(), packet(key=flow(number), payload_bytes=9), 1.0)
    assert any(isinstance(each, Wait) for each in syn(agent, 9, 1.0))
    scene.evacuate(1.01, DOMAIN)
    if is_freed:
        answer = packet(key=flow(0), payload_bytes=9)
        effects = [
            *agent.take_from_target(answer, 1.02),
            *agent.take_from_target(packet(key=flow(1), payload_bytes=9), 1.02),
        ]
    else:
        effects = list(agent.release(1.06))
    assert not delivers(effects)
    assert [reason for _, reason in forwards(effects)] == [ForwardReason.DOMAIN_EVACUATED]
    assert not agent.is_waiting


def test_evacuated_target_offers_no_capacity() -> None:
    scene = make_scene()
    agent = make_agent(scene, HERE)
    request = CapacityRequest(THERE, service_hash(SERVICE), 3)
    assert any(isinstance(e, OfferCapacity) for e in agent.take_capacity_request(request, 1.0))
    scene.evacuate(1.1, DOMAIN)
    assert not agent.take_capacity_request(request, 1.2)


# Guards against an offer that was made just before the order and is taken up after it.
def test_syn_packet_that_takes_up_an_earlier_offer_is_passed_on() -> None:
    scene = make_scene()
    agent = make_agent(scene, HERE)
    agent.take_capacity_request(CapacityRequest(THERE, service_hash(SERVICE), 1), 1.0)
    scene.evacuate(1.01, DOMAIN)
    arrived = agent.take_from_peer(envelope((THERE,)), packet(PacketKind.SYN, flow()), 1.02)
    assert [reason for _, reason in forwards(arrived)] == [ForwardReason.DOMAIN_EVACUATED]
    assert not agent.take_capacity_offer(CapacityOffer(THERE, service_hash(SERVICE), 1), 1.03)


@pytest.mark.parametrize("entry_domain", [None, "b", DOMAIN], ids=["none", "another", "its own"])
def test_agent_knows_its_failure_domain_whatever_its_entry_says(entry_domain: str | None) -> None:
    scene = make_scene()
    if entry_domain is None:
        scene.remove_target(HERE, 0.5)
        scene.directory.tick(60.0)
    else:
        scene.change_target(HERE, 0.5, failure_domain=entry_domain)
    agent = AgentSteering(
        HERE,
        SERVICE,
        scene.directory,
        scene.peers,
        scene.placement,
        RETENTION,
        -RETENTION,
        failure_domain=DOMAIN,
    )
    scene.evacuate(70.0, DOMAIN)
    assert not delivers(syn(agent, 0, 70.0))


def test_flow_without_a_target_elsewhere_is_refused_at_once() -> None:
    scene = make_scene()
    agent, balancer = make_agent(scene, HERE), make_balancer(scene)
    scene.evacuate(1.0, "a", "b")
    effects = [*syn(agent, 0, 1.0), balancer.steer(packet(PacketKind.SYN, flow(1)), 1.0)]
    refusals = [each.reason for each in effects if isinstance(each, Refuse)]
    assert refusals == [RefuseReason.EVACUATED] * 2
    assert not any(isinstance(each, NotifyBalancer) for each in effects)


class TestReturn:
    """A failure domain that is in use again.

    Guards against balancers that all choose its idle targets at the same moment.
    """

    EVACUATED_AT, RESTORED_AT, END = 1.0, 4.0, 6.0

    def play(self, seed: int, per_second: float) -> LoadFleet:
        fleet = LoadFleet(seed, targets=12, balancers=9, slots=2, are_cold=False)
        self.spread(fleet, self.EVACUATED_AT, (Evacuation("a", rev(101)),), 101)
        self.spread(fleet, self.RESTORED_AT, (), 102)
        fleet.ask_at_rate(0.5, self.END, per_second)
        fleet.play()
        return fleet

    def spread(
        self, fleet: LoadFleet, at: float, evacuations: tuple[Evacuation, ...], number: int
    ) -> None:
        """Change the evacuations, of which each process hears within a quarter of a second."""
        views = [view for _, view, _ in fleet.balancers.values()]
        views += [each.view for each in fleet.targets.values()]
        for view in views:
            directory = view.directory
            entries = tuple(directory.targets)
            snapshot = Snapshot(rev(number), directory.table, entries, evacuations=evacuations)
            when = at + fleet.random.uniform(0.0, 0.25)
            fleet.at(when, lambda d=directory, s=snapshot: d.apply_snapshot(s, fleet.now))

    @pytest.mark.parametrize(
        "per_second", [100.0, 190.0, 230.0], ids=["0.37 of the slots in use", "0.71", "0.86"]
    )
    def test_no_target_gets_many_times_its_share(self, per_second: float) -> None:
        for seed in (1, 2):
            fleet = self.play(seed, per_second)
            returned = [each for each in fleet.targets.values() if each.domain == "a"]
            for each in returned:
                # The flows that were open at the order have ended by then.
                assert not any(2.5 < at < self.RESTORED_AT for at in each.served)
            span = (self.RESTORED_AT, self.RESTORED_AT + 1.0)
            begun = {
                each.host: sum(span[0] <= at < span[1] for at in each.served)
                for each in fleet.targets.values()
            }
            share = sum(begun.values()) / len(begun)
            assert max(begun[each.host] for each in returned) <= MOST_SHARES * share, begun
            assert fleet.in_time(*span) >= 0.99
