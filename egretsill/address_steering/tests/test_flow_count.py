"""The number of flows at a target, which agents report as its load."""

from __future__ import annotations

import pytest

from .. import PacketKind
from .scene import AGENTS, Scene, envelope, make_agent, packet

HERE = AGENTS[0]
SYN = PacketKind.SYN


@pytest.mark.parametrize(
    ("caller_end", "target_end", "owned"),
    [
        pytest.param(PacketKind.FIN, PacketKind.FIN, 0, id="both closed"),
        pytest.param(PacketKind.RST, PacketKind.PLAIN, 0, id="caller reset it"),
        pytest.param(PacketKind.FIN, PacketKind.PLAIN, 1, id="caller closed only"),
        pytest.param(PacketKind.PLAIN, PacketKind.FIN, 1, id="target closed only"),
    ],
)
def test_ended_flow_is_remembered_but_is_no_load(
    caller_end: PacketKind, target_end: PacketKind, owned: int
) -> None:
    """Guards against flows of single requests that count as load until they are forgotten."""
    agent = make_agent(Scene(HERE))
    agent.take_from_peer(envelope(), packet(SYN), 0.0)
    agent.take_from_target(packet(PacketKind.SYN_ACK), 0.0)
    agent.take_from_peer(envelope(), packet(payload_bytes=50), 0.1)
    agent.take_from_target(packet(payload_bytes=50), 0.2)
    agent.take_from_peer(envelope(), packet(caller_end, sequence=51), 0.3)
    agent.take_from_target(packet(target_end), 0.3)
    assert agent.flows.owned == owned
    assert len(agent.flows) == 1


def test_flow_reset_by_target_is_no_load() -> None:
    agent = make_agent(Scene(HERE))
    agent.take_from_peer(envelope(), packet(SYN), 0.0)
    agent.take_from_target(packet(PacketKind.SYN_ACK), 0.0)
    agent.take_from_target(packet(PacketKind.RST), 0.1)
    assert agent.flows.owned == 0
