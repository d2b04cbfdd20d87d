"""Decisions of an agent to pass a packet on or to reset its flow."""

from __future__ import annotations

from collections.abc import Sequence

from ._decisions import AgentEffect, Drop, DropReason, Forward, ForwardReason, Refuse, RefuseReason
from ._packet import FlowPacket, PacketKind
from ._tunnel import MAXIMUM_ROUTE_HOPS, Envelope


def pass_packet(
    host: int,
    to: int,
    envelope: Envelope,
    packet: FlowPacket,
    reason: ForwardReason,
    maximum_visited: int = MAXIMUM_ROUTE_HOPS,
) -> Sequence[AgentEffect]:
    """Return the effects of passing a packet on, which is dropped rather than sent in a loop.

    Args:
        host: address of the agent that has it.
        to: address of the agent that gets it.
        envelope: path of the packet to the first agent.
        packet: the packet.
        reason: why it is passed on.
        maximum_visited: number of agents that may have had it before.
    """
    if len(envelope.visited) >= maximum_visited or to in envelope.visited:
        return (Drop(packet.flow, DropReason.TOO_MANY_HOPS),)
    return (Forward(to, envelope.passed_by(host), reason, packet.flow, packet.datagram),)


def refuse_packet(
    host: int, envelope: Envelope, packet: FlowPacket, reason: RefuseReason
) -> Sequence[AgentEffect]:
    """Return the effects of resetting a flow that is known not to be open at any target.

    Args:
        host: address of the agent that decides so.
        envelope: path of the packet to it.
        packet: the packet.
        reason: why the flow is reset.
    """
    if packet.kind is PacketKind.RST:
        return (Drop(packet.flow, DropReason.NO_TARGET),)
    asked = envelope.passed_by(host).visited
    return (Refuse(packet.flow, packet.acknowledged, reason, asked),)
