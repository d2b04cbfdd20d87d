"""Decisions about packets, with their reasons.

They are named tuples, which are cheaper to create than data classes, because some are created for
every packet.
"""

from __future__ import annotations

import enum
from typing import NamedTuple, TypeAlias

from ._packet import FlowKey
from ._tunnel import CapacityOffer, CapacityRequest, Envelope, HomeNotice, OwnerNotice


class ForwardReason(enum.Enum):
    """Why a packet is sent to an agent."""

    NEW_FLOW = "new-flow"
    KNOWN_OWNER = "known-owner"
    FIRST_CANDIDATE = "first-candidate"
    TARGET_LEAVING = "target-leaving"
    DOMAIN_EVACUATED = "domain-evacuated"
    TARGET_FULL = "target-full"
    TARGET_SILENT = "target-silent"
    WARM_UP_PACE = "warm-up-pace"
    TARGET_FAILING = "target-failing"
    OTHER_SERVICE = "other-service"
    PASSED_BEFORE = "passed-before"
    CAPACITY_OFFERED = "capacity-offered"
    ANNOUNCED_BY_OWNER = "told-by-owner"
    NOT_HERE = "not-here"


class RefuseReason(enum.Enum):
    """Why a flow is reset.

    A reset tells the caller that its request did not run only if the flow never opened. A request
    on a flow whose target crashed may have run before the crash.
    """

    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    EVACUATED = "evacuated"
    ALL_FULL = "all-full"
    ALL_WARMING_UP = "all-warming-up"
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
    WARM_UP_PACE = "warm-up-pace"
    SEND_BLOCKED = "send-blocked"
    SEND_FAILED = "send-failed"
    PART_FAILED = "part-failed"


class Forward(NamedTuple):
    """Send a caller's packet to an agent.

    Attributes:
        host: address of the agent's VM.
        envelope: path of the packet, including this process.
        reason: why it is sent there.
    """

    host: int
    envelope: Envelope
    reason: ForwardReason
    flow: FlowKey
    datagram: bytes


class DeliverToTarget(NamedTuple):
    """Deliver a caller's packet to the target of this agent."""

    datagram: bytes


class SendToCaller(NamedTuple):
    """Send a target's packet to its caller."""

    host: int
    datagram: bytes


class Refuse(NamedTuple):
    """Reset a flow at its caller.

    Attributes:
        acknowledged: the caller's last acknowledgement number.
        reason: why it is reset.
        asked: VMs whose agents the packet visited, the deciding one last; empty at a balancer.
    """

    flow: FlowKey
    acknowledged: int
    reason: RefuseReason
    asked: tuple[int, ...] = ()


class NotifyBalancer(NamedTuple):
    """Notify a balancer which agent has a flow."""

    balancer: int
    notice: OwnerNotice


class NotifyHome(NamedTuple):
    """Notify a home which flows this agent has."""

    home: int
    notice: HomeNotice


class RequestCapacity(NamedTuple):
    """Ask another agent for capacity for SYN packets that wait here."""

    host: int
    request: CapacityRequest


class OfferCapacity(NamedTuple):
    """Offer capacity of this agent's target to an agent that asked for it."""

    host: int
    offer: CapacityOffer


class Drop(NamedTuple):
    """Drop a packet."""

    flow: FlowKey
    reason: DropReason


class Wait(NamedTuple):
    """Queue a request until the target has capacity.

    Attributes:
        is_open: whether its flow is open; otherwise its SYN packet waits.
        is_paced: whether it waits because its target is in warm-up.
        waiting: number of queued requests.
        pending: number of requests in progress at the target.
    """

    flow: FlowKey
    waiting: int
    pending: int
    is_open: bool = True
    is_paced: bool = False


class Undecided(NamedTuple):
    """Keep a packet whose flow no VM of the current view has, until a newer view decides.

    Attributes:
        asked: VMs whose agents the packet visited.
    """

    flow: FlowKey
    asked: tuple[int, ...]


class Start(NamedTuple):
    """Deliver a request that has waited for the target's capacity.

    Attributes:
        waited_seconds: time since its caller sent it.
        is_late: whether it can't be answered within its latency objective anymore.
    """

    flow: FlowKey
    waited_seconds: float
    is_late: bool


class Expire(NamedTuple):
    """Remove a request that waited until its caller gave up; it never ran."""

    flow: FlowKey
    waited_seconds: float


class Answered(NamedTuple):
    """Record that the target began to answer a request.

    Attributes:
        delay_seconds: time since the request's data came.
        expected_seconds: how long it was expected to take then; 0 if that wasn't known.
        has_failed: whether the answer says that the target couldn't serve it.
    """

    flow: FlowKey
    delay_seconds: float
    expected_seconds: float = 0.0
    has_failed: bool = False


class Failed(NamedTuple):
    """Drop what waited of a flow, since an unexpected exception came of it.

    It is an effect, so that those of the flows beside it are kept.
    """

    flow: FlowKey
    error: Exception


BalancerDecision: TypeAlias = Forward | Refuse | Drop
AgentEffect: TypeAlias = (
    Forward
    | DeliverToTarget
    | SendToCaller
    | Refuse
    | NotifyBalancer
    | NotifyHome
    | RequestCapacity
    | OfferCapacity
    | Drop
    | Wait
    | Undecided
    | Start
    | Expire
    | Answered
    | Failed
)
