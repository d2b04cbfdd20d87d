"""Flows that carry no owner in their packets, steered by their addresses and ports."""

from ._agent_steering import AgentSteering
from ._balancer_steering import BalancerSteering
from ._candidates import Candidates
from ._decisions import (
    AgentEffect,
    Answered,
    BalancerDecision,
    Drop,
    DropReason,
    Expire,
    Forward,
    ForwardReason,
    HandToTarget,
    Refuse,
    RefuseReason,
    SendToCaller,
    TellHome,
    TellOwner,
    Wait,
)
from ._flow_table import FlowEntry, FlowState, FlowTable
from ._homes import TELL_SECONDS
from ._packet import (
    FlowKey,
    FlowPacket,
    MalformedFlowPacket,
    PacketCodec,
    PacketKind,
    opening_delay,
)
from ._placement import FlowPlacement
from ._tunnel import (
    CarriedPacket,
    Envelope,
    HomeNotice,
    MalformedTunnelMessage,
    OwnerNotice,
    TunnelMessage,
    decode_tunnel,
    encode_carried,
    encode_home_notice,
    encode_owner_notice,
    service_mark,
)

__all__ = [
    "AgentEffect",
    "AgentSteering",
    "Answered",
    "BalancerDecision",
    "BalancerSteering",
    "Candidates",
    "CarriedPacket",
    "Drop",
    "DropReason",
    "Envelope",
    "Expire",
    "FlowEntry",
    "FlowKey",
    "FlowPacket",
    "FlowPlacement",
    "FlowState",
    "FlowTable",
    "Forward",
    "ForwardReason",
    "HandToTarget",
    "HomeNotice",
    "MalformedFlowPacket",
    "MalformedTunnelMessage",
    "OwnerNotice",
    "PacketCodec",
    "PacketKind",
    "Refuse",
    "RefuseReason",
    "SendToCaller",
    "TELL_SECONDS",
    "TellHome",
    "TellOwner",
    "TunnelMessage",
    "Wait",
    "decode_tunnel",
    "encode_carried",
    "encode_home_notice",
    "encode_owner_notice",
    "opening_delay",
    "service_mark",
]
