"""Which agent a packet goes to, and the balancer that sends it there."""

from ._agent_steering import AgentDecision, AgentSteering, Keep, PassOn
from ._balancer import Balancer
from ._connection_id import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    ConnectionIdKey,
    Owner,
)
from ._counters import BalancerCounters
from ._exceptions import InvalidConnectionIdKey, InvalidOwner
from ._packet import MalformedPacket, MalformedReason, PacketHeader, parse_packet
from ._ranking import rank
from ._routes import AgentIdentity, Forward, ForwardKind
from ._source_limit import SourceLimit
from ._steering import Decision, Drop, DropReason, Steering
from ._tunnel import (
    AgentProbe,
    AgentProbeAnswer,
    CallerPacket,
    OwnerNotice,
    ReplyPacket,
    TunnelMessage,
    make_tunnel_codec,
)
from ._view import RetainedTarget, SteeringView

__all__ = [
    "CONNECTION_ID_BYTES",
    "AgentDecision",
    "AgentIdentity",
    "AgentProbe",
    "AgentProbeAnswer",
    "AgentSteering",
    "Balancer",
    "BalancerCounters",
    "CallerPacket",
    "ConnectionIdCodec",
    "ConnectionIdKey",
    "Decision",
    "Drop",
    "DropReason",
    "Forward",
    "ForwardKind",
    "InvalidConnectionIdKey",
    "InvalidOwner",
    "Keep",
    "MalformedPacket",
    "MalformedReason",
    "Owner",
    "OwnerNotice",
    "PacketHeader",
    "PassOn",
    "ReplyPacket",
    "RetainedTarget",
    "SourceLimit",
    "Steering",
    "SteeringView",
    "TunnelMessage",
    "make_tunnel_codec",
    "parse_packet",
    "rank",
]
