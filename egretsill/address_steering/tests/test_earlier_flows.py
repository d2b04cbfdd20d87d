"""Packets of flows whose addresses and ports an earlier flow had, at one agent."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from .. import (
    AgentEffect,
    AgentSteering,
    DeliverToTarget,
    Drop,
    FlowPacket,
    Forward,
    HomeNotice,
    PacketKind,
    Refuse,
    SendToCaller,
    Undecided,
)
from .scene import AGENTS, IDLE, Scene, envelope, flow, make_agent, packet

HERE, ELSEWHERE = AGENTS[0], AGENTS[1]
SEQUENCE, ANSWER_SEQUENCE = 2**32 - 50, 4_000_000  # of the later flow's callers and targets
FAR = 2**31


def make_new_agent() -> AgentSteering:
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    return make_agent(scene, started_at=0.0)


def sent(kind: PacketKind = PacketKind.PLAIN, payload_bytes: int = 100) -> FlowPacket:
    plain = packet(kind, sequence=SEQUENCE, payload_bytes=payload_bytes)
    return plain._replace(acknowledged=ANSWER_SEQUENCE)


def answer(kind: PacketKind, sequence: int, payload_bytes: int = 0) -> FlowPacket:
    return packet(kind, sequence=sequence, payload_bytes=payload_bytes)


def kinds(effects: Sequence[AgentEffect]) -> list[type]:
    return [type(each) for each in effects]


# Guards against a reset by the target of an earlier flow while another target holds this one.
@pytest.mark.parametrize(
    ("asked", "answered"),
    [
        pytest.param(sent(), answer(PacketKind.RST, ANSWER_SEQUENCE), id="reset"),
        pytest.param(
            sent(PacketKind.FIN, 0),
            answer(PacketKind.PLAIN, ANSWER_SEQUENCE + FAR),
            id="acknowledgement of the earlier flow",
        ),
        pytest.param(
            sent(),
            answer(PacketKind.PLAIN, ANSWER_SEQUENCE + FAR, 100),
            id="data of the earlier flow",
        ),
    ],
)
def test_answer_for_an_earlier_flow_passes_the_packet_on(
    asked: FlowPacket, answered: FlowPacket
) -> None:
    agent = make_new_agent()
    assert kinds(agent.take_from_peer(envelope(), asked, 1.0)) == [DeliverToTarget]
    assert kinds(agent.take_from_target(answered, 1.1)) == [Forward]
    assert kinds(agent.take_from_peer(envelope(), asked, 1.2)) == [Forward], "it isn't asked again"
    assert kinds(agent.take_from_target(answered, 1.3)) == [Drop], "nor is it for the caller"


# Guards against flows that are lost because their agent started anew.
@pytest.mark.parametrize("ahead", [0, 19_200, -19_200, 2**32 - ANSWER_SEQUENCE - 20])
def test_answer_with_fitting_numbers_is_of_an_open_flow(ahead: int) -> None:
    agent = make_new_agent()
    asked = sent()._replace(acknowledged=(ANSWER_SEQUENCE + ahead) % 2**32)
    agent.take_from_peer(envelope(), asked, 1.0)
    numbers = (asked.acknowledged + 10) % 2**32
    effects = agent.take_from_target(answer(PacketKind.PLAIN, numbers, 100), 1.1)
    assert SendToCaller in kinds(effects)
    later = asked._replace(sequence=(SEQUENCE + 100) % 2**32, acknowledged=(numbers + 100) % 2**32)
    assert kinds(agent.take_from_peer(envelope(), later, IDLE)) == [DeliverToTarget]


# Guards against packets that a half-open target keeps from the one that was answered first.
def test_packet_that_acknowledges_another_target_is_passed_on() -> None:
    agent = make_new_agent()
    agent.take_from_peer(envelope(), packet(PacketKind.SYN, sequence=SEQUENCE - 1), 1.0)
    agent.take_from_target(answer(PacketKind.SYN_ACK, ANSWER_SEQUENCE + FAR), 1.1)
    assert kinds(agent.take_from_peer(envelope(), sent(), 1.2)) == [Forward]


# Guards against a reset as an earlier flow's owner, which a home remembers, has left.
@pytest.mark.parametrize("is_same_flow", [True, False])
def test_home_resets_only_flows_of_the_owner_that_left(is_same_flow: bool) -> None:
    scene = Scene(HERE)
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene)
    number = SEQUENCE if is_same_flow else SEQUENCE - FAR
    agent.record_home_notice(HomeNotice(ELSEWHERE, (flow(),), (number,)), 0.0)
    scene.remove_target(ELSEWHERE, 1.0)
    scene.receive_heartbeats(9.0, [each for each in AGENTS if each != ELSEWHERE])
    scene.publish(9.0)
    effects = agent.take_from_peer(envelope(), sent(), 9.1)
    scene.publish(9.5)
    effects = [*effects, *agent.decide(9.6)]
    assert kinds(effects) == ([Undecided, Refuse] if is_same_flow else [Forward])
