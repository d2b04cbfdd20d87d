"""Routes and targets, independent of the encoding in which they were read."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ._evacuations import Evacuation
from ._revision import StoreRevision
from ._unusable_entries import UnusableEntry


class TargetPhase(enum.Enum):
    """Whether a target takes new work, as published in its entry."""

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
    """Assignment of new flows at one service address to services.

    Attributes:
        name: the operators' name for it.
        host: IPv4 address that callers send to, as a number.
        port: port that callers send to.
        shares: services that take its flows, at least one.
        latency_objective_seconds: latency objective of its requests; 0 if there is none.
        deadline_seconds: deadline of its requests, at which callers give up; 0 if there is none.
        priority: priority of its requests relative to other routes; 0 is the highest.
    """

    name: str
    host: int
    port: int
    shares: tuple[ServiceShare, ...]
    latency_objective_seconds: float = 0.0
    deadline_seconds: float = 0.0
    priority: int = 0

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the services that may take its flows."""
        return tuple(each.service for each in self.shares)


@dataclass(frozen=True, slots=True)
class WarmUpTerms:
    """What the operators ask for the targets of a service that have started lately.

    Attributes:
        seconds: how long a target is in warm-up after its start.
        requests_per_second: requests that it bears meanwhile, above 0.
    """

    seconds: float
    requests_per_second: float


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the operators' configuration.

    Attributes:
        version: increases with each change.
        routes: by the address and port that callers send to.
        idle_seconds: idle time after which a flow may be forgotten.
        warm_up: terms by service, of those for which a pace in warm-up is asked.
    """

    version: int
    routes: Mapping[tuple[int, int], Route]
    idle_seconds: float
    warm_up: Mapping[str, WarmUpTerms] = field(default_factory=dict)

    @property
    def services(self) -> frozenset[str]:
        """Return the services that may take new flows of a route."""
        return frozenset(name for route in self.routes.values() for name in route.services)


@dataclass(frozen=True, slots=True)
class Target:
    """One run of a backend server that takes flows.

    Attributes:
        name: identifier of its entry.
        host: IPv4 address of its VM, as a number; its agent has the same.
        port: port on which it receives packets.
        service: the service that it belongs to.
        failure_domain: failure domain of its VM.
        phase: whether it takes new work.
        capacity: number of requests that it processes at once.
        warmup_seconds: remaining warm-up time when its entry was written.
        started_milliseconds: start time since 1970 by its own clock; 0 if unknown.
        revision: the store's revision at the entry's last change.
        sequence: number of this write among those of its run; 0 if unknown.
    """

    name: str
    host: int
    port: int
    service: str
    failure_domain: str
    phase: TargetPhase
    capacity: int
    warmup_seconds: float
    started_milliseconds: int
    revision: StoreRevision
    sequence: int = 0

    @property
    def write_number(self) -> tuple[int, int]:
        """Return the order that its writer gave this write, independent of the store."""
        return self.started_milliseconds, self.sequence


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The complete content of the store at one revision.

    Attributes:
        at: the store's revision.
        table: None if the operators have published nothing yet.
        targets: every entry that names a usable target, and known earlier writes of it before it.
        unusable: entries and configurations that were passed over.
        evacuations: failure domains that the operators have evacuated.
    """

    at: StoreRevision
    table: RouteTable | None
    targets: Sequence[Target]
    unusable: Sequence[UnusableEntry] = ()
    evacuations: Sequence[Evacuation] = ()


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes in the store since a known revision.

    Attributes:
        at: the store's revision after the changes.
        table: the newest configuration, or None if it didn't change.
        changed: entries that were written, in order; the last of a name is in force.
        removed: names of entries that no longer exist or are no longer usable.
        unusable: entries and configurations that were passed over.
        evacuations: failure domains that the operators have evacuated.
        restored: failure domains that are no longer evacuated.
    """

    at: StoreRevision
    table: RouteTable | None = None
    changed: Sequence[Target] = field(default_factory=tuple)
    removed: Sequence[str] = field(default_factory=tuple)
    unusable: Sequence[UnusableEntry] = ()
    evacuations: Sequence[Evacuation] = ()
    restored: Sequence[str] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether nothing changed."""
        changed = (self.changed, self.removed, self.evacuations, self.restored)
        return self.table is None and not any(changed)
