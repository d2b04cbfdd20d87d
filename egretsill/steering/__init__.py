"""Which agent a packet goes to, and the balancer that sends it there."""

from ._connection_id import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    ConnectionIdKey,
    Owner,
)
from ._exceptions import InvalidConnectionIdKey, InvalidOwner
from ._packet import MalformedPacket, MalformedReason, PacketHeader, parse_packet
from ._ranking import rank
from ._tunnel import (
    AgentProbe,
    AgentProbeAnswer,
    CallerPacket,
    ReplyPacket,
    TunnelMessage,
    make_tunnel_codec,
)

__all__ = [
    "CONNECTION_ID_BYTES",
    "AgentProbe",
    "AgentProbeAnswer",
    "CallerPacket",
    "ConnectionIdCodec",
    "ConnectionIdKey",
    "InvalidConnectionIdKey",
    "InvalidOwner",
    "MalformedPacket",
    "MalformedReason",
    "Owner",
    "PacketHeader",
    "ReplyPacket",
    "TunnelMessage",
    "make_tunnel_codec",
    "parse_packet",
    "rank",
]
