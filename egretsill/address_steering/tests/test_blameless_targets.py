"""Targets that must not be blamed, and judgements that must not cost callers."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from ...fleet import PeerReport
from .. import AgentSteering, DeliverToTarget, Forward, OfferCapacity, PacketKind
from .._target_failures import MINIMUM_FAILURES, TargetFailures
from .._tunnel import CapacityRequest, service_hash
from .scene import AGENTS, SERVICE, Scene, envelope, flow, make_agent, packet
from .test_target_failures import fail_requests


def open_flow(agent: AgentSteering, number: int, now: float) -> None:
    key = flow(number)
    agent.take_from_peer(envelope(), packet(PacketKind.SYN, key), now)
    agent.take_from_target(packet(PacketKind.SYN_ACK, key), now)


# Guards against extra hops for every flow while all targets fail for a common cause.
def test_failing_agent_keeps_new_flows_if_too_many_targets_fail() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent, now = fail_requests(scene, 1.0)
    reports = [PeerReport(host, is_target_failing=True) for host in AGENTS[1:]]
    scene.peers.receive_reports(reports, now)
    effects = agent.take_from_peer(envelope(), packet(PacketKind.SYN, flow(90)), now)
    assert isinstance(effects[0], DeliverToTarget)


# Guards against healthy targets that are avoided because their requests take long.
def test_long_requests_before_their_deadline_are_no_failures() -> None:
    scene = Scene(AGENTS[0])
    routes = {key: replace(each, deadline_seconds=8.0) for key, each in scene.table.routes.items()}
    scene.publish(1.0, replace(scene.table, version=8, routes=routes))
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    for number in range(MINIMUM_FAILURES):
        open_flow(agent, number, 1.0)
        agent.take_from_peer(envelope(), packet(key=flow(number), payload_bytes=9), 1.0)
    agent.sweep(3.5)
    assert not agent.is_target_failing(3.5)


# Guards against blame for requests whose bodies are still on their way (bytes keep arriving).
def test_slow_upload_is_no_failure() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    for number in range(MINIMUM_FAILURES):
        open_flow(agent, number, 1.0)
        for step in range(25):
            data = packet(key=flow(number), payload_bytes=1200)._replace(sequence=10 + 1200 * step)
            agent.take_from_peer(envelope(), data, 1.0 + 0.1 * step)
    agent.sweep(3.45)
    assert not agent.is_target_failing(3.45)


# Guards against blame for callers who gave up.
def test_request_of_a_caller_who_gave_up_is_no_failure() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    for number in range(MINIMUM_FAILURES):
        open_flow(agent, number, 1.0)
        agent.take_from_peer(envelope(), packet(key=flow(number), payload_bytes=9), 1.0)
        agent.take_from_peer(envelope(), packet(PacketKind.FIN, flow(number)), 1.5)
    agent.sweep(3.5)
    assert not agent.is_target_failing(3.5)


# Guards against blame for requests that cross the end of a flow closed after an answer.
def test_request_on_a_flow_that_the_target_closed_is_no_failure() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    for number in range(MINIMUM_FAILURES):
        open_flow(agent, number, 1.0)
        key = flow(number)
        agent.take_from_peer(envelope(), packet(key=key, payload_bytes=9), 1.0)
        agent.take_from_target(
            packet(PacketKind.FIN, key, payload_bytes=9)._replace(status=200), 1.1
        )
        nxt = packet(key=key, payload_bytes=9)
        agent.take_from_peer(envelope(), nxt._replace(sequence=nxt.sequence + 9), 1.11)
        agent.take_from_target(packet(PacketKind.RST, key), 1.12)
    assert not agent.is_target_failing(1.2)


# Guards against flows that waited elsewhere and are attracted by a target that fails fast.
def test_failing_target_offers_no_capacity() -> None:
    scene = Scene(AGENTS[0], None)
    scene.receive_heartbeats(1.0)
    agent, now = fail_requests(scene, 1.0)
    effects = agent.take_capacity_request(CapacityRequest(AGENTS[1], service_hash(SERVICE), 3), now)
    assert not [each for each in effects if isinstance(each, OfferCapacity)]


# Guards against a target that is avoided for errors that are usual for its service.
@pytest.mark.parametrize(("rate", "share"), [(20, 0.05), (100, 0.05), (300, 0.05)])
def test_usual_errors_are_tolerated(rate: int, share: float) -> None:
    rng, judged, avoided = random.Random(1), TargetFailures(), 0
    for number in range(rate * 300):
        now = number / rate
        if number % rate == 0:
            judged.tick(now)
        avoided += judged.is_failing(now)
        judged.record(rng.random() < share, now)
    assert avoided / (rate * 300) <= 0.02


# Guards against copies of one SYN packet at two targets while the first one still handles it.
def test_copy_of_a_syn_packet_follows_the_first_copy() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    agent.take_from_peer(envelope(), packet(PacketKind.SYN, flow(90)), 1.0)
    for number in range(MINIMUM_FAILURES):
        open_flow(agent, number, 1.0)
        agent.take_from_peer(envelope(), packet(key=flow(number), payload_bytes=9), 1.0)
        agent.take_from_target(packet(key=flow(number), payload_bytes=9)._replace(status=500), 1.1)
    assert agent.is_target_failing(1.2)
    effects = agent.take_from_peer(envelope(), packet(PacketKind.SYN, flow(90), 1), 1.2)
    assert isinstance(effects[0], DeliverToTarget)


# Guards against two targets that get copies of one SYN packet because the choice changed meanwhile.
def test_copies_passed_on_go_to_one_target() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent, now = fail_requests(scene, 1.0)
    first = agent.take_from_peer(envelope(), packet(PacketKind.SYN, flow(90)), now)
    assert isinstance(first[0], Forward)
    scene.receive_heartbeats(now + 0.1, [first[0].host], pending=9)
    copy = agent.take_from_peer(envelope(), packet(PacketKind.SYN, flow(90), 1), now + 0.2)
    assert isinstance(copy[0], Forward)
    assert copy[0].host == first[0].host


# Guards against a passed flow whose copy is opened here because the trial began between the copies.
def test_copy_follows_when_trial_begins() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent, now = fail_requests(scene, 1.0)
    first = agent.take_from_peer(envelope(), packet(PacketKind.SYN, flow(90)), now + 0.9)
    assert isinstance(first[0], Forward)
    copy = agent.take_from_peer(envelope(), packet(PacketKind.SYN, flow(90), 1), now + 1.1)
    assert isinstance(copy[0], Forward)


# Guards against all load on one target after others left: their share is of those that accept.
def test_share_of_failing_targets_is_of_those_that_take_flows() -> None:
    scene = Scene()
    scene.receive_heartbeats(1.0)
    scene.peers.receive_reports([PeerReport(h, is_leaving=True) for h in AGENTS[3:]], 1.1)
    scene.peers.receive_reports([PeerReport(h, is_target_failing=True) for h in AGENTS[:2]], 1.1)
    chosen = {scene.placement.choose(flow(n), SERVICE, (), "", 1.2) for n in range(200)}
    assert len(chosen) == 3


# Guards against a fast failure that looks like a fast target.
def test_failures_do_not_shorten_the_delay() -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(1.0)
    agent = make_agent(scene)
    open_flow(agent, 50, 1.0)
    agent.take_from_peer(envelope(), packet(key=flow(50), payload_bytes=9), 1.0)
    agent.take_from_target(packet(key=flow(50), payload_bytes=9)._replace(status=200), 1.4)
    before = agent.flows.service_seconds
    open_flow(agent, 51, 2.0)
    agent.take_from_peer(envelope(), packet(key=flow(51), payload_bytes=9), 2.0)
    agent.take_from_target(packet(key=flow(51), payload_bytes=9)._replace(status=500), 2.001)
    assert agent.flows.service_seconds == before
