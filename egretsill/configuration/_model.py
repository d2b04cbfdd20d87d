"""Immutable model of the declared fleet, shared by all slices."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..wire import Address


class RequestShape(enum.Enum):
    """Resource that a request holds while it runs."""

    SHORT = "short"
    SUBSCRIPTION = "subscription"
    UPLOAD = "upload"


class TargetState(enum.Enum):
    """State of a target as declared by the operators."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request to a service, matched by method and path.

    Attributes:
        name: unique within the service.
        methods: HTTP methods in upper case.
        path_prefix: prefix of the paths of this class; the longest matching prefix wins.
        idempotent: whether running a request twice has the same effect as running it once.
        weight: cost of one request in units of the lightest class.
        shape: SHORT and UPLOAD hold a slot; a SUBSCRIPTION holds a connection and no slot.
        priority: 0 is refused last.
        deadline_seconds: time allowed for a request when the caller sets no deadline; None for
            no limit.
    """

    name: str
    methods: tuple[str, ...]
    path_prefix: str
    idempotent: bool
    weight: float = 1.0
    shape: RequestShape = RequestShape.SHORT
    priority: int = 1
    deadline_seconds: float | None = 30.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the resources of a service.

    Attributes:
        tries: maximum number of targets that one request is offered to.
        retry_share: retries allowed for each first try.
        queue_length: requests that may wait at one gate for each slot.
        queue_seconds: longest wait in a gate's queue.
        answer_tail_bytes: unacknowledged response bytes that a gate keeps for a relayed request.
    """

    tries: int = 4
    retry_share: float = 0.1
    queue_length: int = 2
    queue_seconds: float = 0.5
    answer_tail_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class Target:
    """A backend server of one service, with the agent beside it.

    Attributes:
        number: unique in the fleet and never reused, 1 to 2**32 - 1; part of connection IDs.
        tunnel: UDP endpoint of the agent for balancers.
        relay: TCP endpoint of the agent for other agents and for configuration exchange.
        gossip: UDP endpoint of the agent for membership and load reports.
        backend: HTTP/1.1 endpoint of the backend server.
        slots: maximum number of requests that the backend server runs at once.
        connections: maximum number of subscriptions that it holds open at once.
    """

    name: str
    number: int
    service: str
    failure_domain: str
    tunnel: Address
    relay: Address
    gossip: Address
    backend: Address
    slots: int
    connections: int = 2000
    state: TargetState = TargetState.ACTIVE


@dataclass(frozen=True, slots=True)
class Service:
    """A service that callers reach at a set of service addresses.

    Attributes:
        number: unique in the fleet and never reused, 1 to 2**16 - 1.
        addresses: UDP endpoints on every balancer.
        authority: host name that callers use and the certificate contains.
        targets: in order of number.
    """

    name: str
    number: int
    tenant: str
    authority: str
    addresses: tuple[Address, ...]
    classes: tuple[RequestClass, ...]
    targets: tuple[Target, ...]
    limits: Limits = Limits()

    def classify(self, method: str, path: str) -> RequestClass | None:
        """Return the class of a request, or None if none is declared for it."""
        matching = [
            each
            for each in self.classes
            if method in each.methods and path.startswith(each.path_prefix)
        ]
        return max(matching, key=lambda each: len(each.path_prefix), default=None)


@dataclass(frozen=True, slots=True)
class Bundle:
    """One accepted configuration of the whole fleet.

    Attributes:
        revision: strictly increasing number given by the operators.
        digest: hexadecimal digest of the content.
        services: by name.
    """

    revision: int
    digest: str
    services: Mapping[str, Service] = field(default_factory=dict)
