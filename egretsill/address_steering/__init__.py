"""Flows that carry no owner in their packets, steered by their addresses and ports."""

from ._agent_steering import AgentSteering
from ._balancer_steering import BalancerSteering
from ._decisions import (
    AgentEffect,
    BalancerDecision,
    Drop,
    DropReason,
    Forward,
    ForwardReason,
    HandToTarget,
    Refuse,
    RefuseReason,
    SendToCaller,
    TellOwner,
)
from ._flow_table import FlowEntry, FlowState, FlowTable
from ._packet import (
    FlowKey,
    FlowPacket,
    MalformedFlowPacket,
    PacketCodec,
    PacketKind,
    dotted,
    numbered,
)
from ._placement import FlowPlacement
from ._tunnel import (
    CarriedPacket,
    Envelope,
    MalformedTunnelMessage,
    OwnerNotice,
    TunnelMessage,
    decode_tunnel,
    encode_carried,
    encode_owner_notice,
    service_mark,
)

__all__ = [
    "AgentEffect",
    "AgentSteering",
    "BalancerDecision",
    "BalancerSteering",
    "CarriedPacket",
    "Drop",
    "DropReason",
    "Envelope",
    "FlowEntry",
    "FlowKey",
    "FlowPacket",
    "FlowPlacement",
    "FlowState",
    "FlowTable",
    "Forward",
    "ForwardReason",
    "HandToTarget",
    "MalformedFlowPacket",
    "MalformedTunnelMessage",
    "OwnerNotice",
    "PacketCodec",
    "PacketKind",
    "Refuse",
    "RefuseReason",
    "SendToCaller",
    "TellOwner",
    "TunnelMessage",
    "decode_tunnel",
    "dotted",
    "encode_carried",
    "encode_owner_notice",
    "numbered",
    "service_mark",
]
