"""Routes and targets as a process knows them, decoded from wherever they were read."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field


class TargetPhase(enum.Enum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """The share of a route's new flows that goes to one service.

    Attributes:
        service: name of the service.
        weight: relative to the weights of the route's other shares.
    """

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Where new flows to one service address go.

    Attributes:
        name: as the operators call it.
        host: IPv4 address that callers send to, as a number.
        port: port that callers send to.
        shares: services that take its flows, at least one.
        aim_seconds: how soon callers want the answers of its requests; 0 if they don't say.
        limit_seconds: when callers give up; 0 if they don't say.
        urgency: rank of its requests among those of other routes, 0 the most urgent.
    """

    name: str
    host: int
    port: int
    shares: tuple[ServiceShare, ...]
    aim_seconds: float = 0.0
    limit_seconds: float = 0.0
    urgency: int = 0

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the services that may take its flows."""
        return tuple(each.service for each in self.shares)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the operators' configuration.

    Attributes:
        version: rises with each change.
        routes: by the address and port that callers send to.
        idle_seconds: a flow that was silent for longer may be forgotten.
    """

    version: int
    routes: Mapping[tuple[int, int], Route]
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class Target:
    """One run of a backend server that takes flows.

    Attributes:
        name: identifier of its entry.
        host: IPv4 address of its VM, as a number; its agent has the same.
        port: where it takes packets on its VM.
        service: the service that it belongs to.
        failure_domain: where its VM is.
        phase: whether it takes new work.
        capacity: how many requests it works on at once.
        cold_seconds: for how much longer it was slow when its entry was written.
        started_milliseconds: when it started, since 1970 by its own clock; 0 if it doesn't say.
        revision: the store's counter at the entry's last change.
    """

    name: str
    host: int
    port: int
    service: str
    failure_domain: str
    phase: TargetPhase
    capacity: int
    cold_seconds: float
    started_milliseconds: int
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that the store held at one moment.

    Attributes:
        at: the store's counter.
        table: None if the operators have published nothing yet.
        targets: every entry that names a usable target.
        unreadable: how many entries were passed over.
    """

    at: int
    table: RouteTable | None
    targets: Sequence[Target]
    unreadable: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """What changed in the store after a known moment.

    Attributes:
        at: the store's counter after the changes.
        table: the newest configuration, or None if it didn't change.
        changed: entries that were written.
        removed: names of entries that are gone or unusable now.
        unreadable: how many entries were passed over.
    """

    at: int
    table: RouteTable | None = None
    changed: Sequence[Target] = field(default_factory=tuple)
    removed: Sequence[str] = field(default_factory=tuple)
    unreadable: int = 0

    @property
    def is_empty(self) -> bool:
        """Return whether nothing changed."""
        return self.table is None and not self.changed and not self.removed
