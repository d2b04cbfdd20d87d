"""Packet steering by connection ID, and the balancer that forwards packets to agents."""

from ..ranking import rank
from ._agent_steering import (
    ANNOUNCEMENT_INTERVAL_SECONDS,
    AgentDecision,
    AgentSteering,
    Announcement,
    Keep,
    PassOn,
)
from ._balancer import Balancer
from ._connection_id import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    ConnectionIdKey,
    Owner,
)
from ._counters import BalancerCounters
from ._exceptions import InvalidConnectionIdKey, InvalidOwner
from ._first_packets import (
    WATCH_TICK_SECONDS,
    BecameResponsive,
    BecameSilent,
    FirstPacketWatch,
    SendProbe,
    WatchEffect,
)
from ._packet import MalformedPacket, MalformedReason, PacketHeader, parse_packet
from ._routes import (
    PLACEMENT_DELAY_SECONDS,
    RETENTION_SECONDS,
    VIEW_LAG_SECONDS,
    AgentIdentity,
    Forward,
    ForwardKind,
)
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
    "ANNOUNCEMENT_INTERVAL_SECONDS",
    "CONNECTION_ID_BYTES",
    "PLACEMENT_DELAY_SECONDS",
    "RETENTION_SECONDS",
    "VIEW_LAG_SECONDS",
    "WATCH_TICK_SECONDS",
    "AgentDecision",
    "AgentIdentity",
    "AgentProbe",
    "AgentProbeAnswer",
    "AgentSteering",
    "Announcement",
    "Balancer",
    "BalancerCounters",
    "BecameResponsive",
    "BecameSilent",
    "CallerPacket",
    "ConnectionIdCodec",
    "ConnectionIdKey",
    "Decision",
    "Drop",
    "DropReason",
    "FirstPacketWatch",
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
    "SendProbe",
    "SourceLimit",
    "Steering",
    "SteeringView",
    "TunnelMessage",
    "WatchEffect",
    "make_tunnel_codec",
    "parse_packet",
    "rank",
]
