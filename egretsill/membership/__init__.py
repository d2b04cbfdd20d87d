"""Membership protocol: tracks which processes of the fleet are reachable."""

from ._effects import Effect, MemberChanged, Send
from ._gossip_socket import GossipDrop, GossipSocket
from ._member import NO_TARGET, Member, MembershipView, MemberState, Role
from ._membership import TICK_SECONDS, Membership
from ._membership_service import GossipPort, MembershipService
from ._messages import MAXIMUM_DATAGRAM_BYTES, MEMBERSHIP_TYPES, MembershipMessage

__all__ = [
    "Effect",
    "GossipDrop",
    "GossipPort",
    "GossipSocket",
    "MAXIMUM_DATAGRAM_BYTES",
    "MEMBERSHIP_TYPES",
    "Member",
    "MemberChanged",
    "MemberState",
    "Membership",
    "MembershipMessage",
    "MembershipService",
    "MembershipView",
    "NO_TARGET",
    "Role",
    "Send",
    "TICK_SECONDS",
]
