"""What is to be done with a packet, and why.

Decisions are named tuples, not data classes, as some are made for every packet.
"""

from __future__ import annotations

import enum
from typing import NamedTuple, TypeAlias

from ._packet import FlowKey
from ._tunnel import Envelope, HomeNotice, OwnerNotice


class ForwardReason(enum.Enum):
    """Why a packet goes to an agent."""

    NEW_FLOW = "new-flow"
    KNOWN_OWNER = "known-owner"
    FIRST_CANDIDATE = "first-candidate"
    TARGET_LEAVING = "target-leaving"
    TARGET_FULL = "target-full"
    TARGET_SILENT = "target-silent"
    OTHER_SERVICE = "other-service"
    PASSED_BEFORE = "passed-before"
    TOLD_BY_OWNER = "told-by-owner"
    NOT_HERE = "not-here"


class RefuseReason(enum.Enum):
    """Why a flow is reset.

    A reset says "not run" only of a flow that never opened. A request on a flow whose target
    crashed may have run before the crash.
    """

    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    ALL_FULL = "all-full"
    NOWHERE_OPEN = "nowhere-open"
    OWNER_GONE = "owner-gone"
    LOST_BY_TARGET = "lost-by-target"


class DropReason(enum.Enum):
    """Why a packet is not passed on."""

    MALFORMED = "malformed"
    STALE_CONTENT = "stale-content"
    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    TOO_MANY_HOPS = "too-many-hops"
    UNEXPECTED = "unexpected"
    UNDECIDED = "undecided"
    SEND_BLOCKED = "send-blocked"
    SEND_FAILED = "send-failed"


class Forward(NamedTuple):
    """Send a caller's packet to an agent.

    Attributes:
        host: address of the agent's VM.
        envelope: how it came here.
        reason: why it goes there.
    """

    host: int
    envelope: Envelope
    reason: ForwardReason
    flow: FlowKey
    datagram: bytes


class HandToTarget(NamedTuple):
    """Give a caller's packet to the target beside this agent."""

    datagram: bytes


class SendToCaller(NamedTuple):
    """Send a target's packet to its caller."""

    host: int
    datagram: bytes


class Refuse(NamedTuple):
    """Reset a flow at its caller.

    Attributes:
        acknowledged: the caller's last acknowledgement number.
        reason: why.
        asked: VMs whose agents the packet came to, the one that decides last; empty at a balancer.
    """

    flow: FlowKey
    acknowledged: int
    reason: RefuseReason
    asked: tuple[int, ...] = ()


class TellOwner(NamedTuple):
    """Tell a balancer which agent has a flow."""

    balancer: int
    notice: OwnerNotice


class TellHome(NamedTuple):
    """Tell a home which flows this agent has."""

    home: int
    notice: HomeNotice


class Drop(NamedTuple):
    """Do nothing with a packet."""

    flow: FlowKey
    reason: DropReason


class Wait(NamedTuple):
    """Let a request wait for the target's capacity.

    Attributes:
        waiting: how many requests wait now.
        pending: how many the target has.
    """

    flow: FlowKey
    waiting: int
    pending: int


class Undecided(NamedTuple):
    """Keep a packet whose flow nobody has, as far as this view tells, until a newer one decides.

    Attributes:
        asked: VMs whose agents the packet came to.
    """

    flow: FlowKey
    asked: tuple[int, ...]


class Expire(NamedTuple):
    """Forget a request that waited until its caller gave up; it never ran."""

    flow: FlowKey
    waited_seconds: float


class Answered(NamedTuple):
    """Note that the target began to answer a request.

    Attributes:
        delay_seconds: since the last data of the request came.
    """

    flow: FlowKey
    delay_seconds: float


BalancerDecision: TypeAlias = Forward | Refuse | Drop
AgentEffect: TypeAlias = (
    Forward
    | HandToTarget
    | SendToCaller
    | Refuse
    | TellOwner
    | TellHome
    | Drop
    | Wait
    | Undecided
    | Expire
    | Answered
)
