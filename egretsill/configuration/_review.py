"""Review of a valid declaration: what can never take effect, and limits that contradict each other.

A declaration with such findings can be published. They are most likely mistakes, which otherwise
show only under load.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from ._model import Limits, RequestClass, RequestShape, Service, TargetState

# A path and query of a request has only visible ASCII characters and no fragment (RFC 9110, 4.2).
_FRAGMENT = "#"


@dataclass(frozen=True, slots=True)
class Finding:
    """A part of a declaration that can't work as it seems to be meant.

    Attributes:
        service: name of the service.
        part: name of the class, or "" if it concerns the whole service.
    """

    service: str
    part: str

    @property
    def reason(self) -> str:
        """Return a description, without the place."""
        return "is doubtful"

    @property
    def message(self) -> str:
        """Return the place and the description."""
        place = f"class {self.service}/{self.part}" if self.part else f"service {self.service}"
        return f"[{place}] {self.reason}"


@dataclass(frozen=True, slots=True)
class ClassNeverMatches(Finding):
    """A class whose path prefix no request can have."""

    path_prefix: str

    @property
    def reason(self) -> str:
        return f"never matches: no request's path begins with {self.path_prefix!r}"


@dataclass(frozen=True, slots=True)
class NoActiveTarget(Finding):
    """A service whose targets are all draining."""

    targets: int

    @property
    def reason(self) -> str:
        return f"refuses every request: all of its {self.targets} targets are draining"


@dataclass(frozen=True, slots=True)
class NoConnections(Finding):
    """A class of subscriptions, though no active target holds connections."""

    @property
    def reason(self) -> str:
        return "is refused always: no active target allows connections for subscriptions"


@dataclass(frozen=True, slots=True)
class QueueOutlastsDeadline(Finding):
    """A queue time that the deadline of a class ends earlier."""

    queue_seconds: float
    deadline_seconds: float

    @property
    def reason(self) -> str:
        return (
            f"the service's queue time of {self.queue_seconds:g} s has no effect beyond its "
            f"deadline of {self.deadline_seconds:g} s"
        )


@dataclass(frozen=True, slots=True)
class QueueTimeWithoutQueue(Finding):
    """A time in the queue for a service that has no queue."""

    queue_seconds: float

    @property
    def reason(self) -> str:
        return f"has a queue time of {self.queue_seconds:g} s, but a queue length of 0"


@dataclass(frozen=True, slots=True)
class TriesExceedTargets(Finding):
    """More tries than there are targets to offer a request to."""

    tries: int
    targets: int

    @property
    def reason(self) -> str:
        return f"allows {self.tries} tries, but has {self.targets} targets"


@dataclass(frozen=True, slots=True)
class TriesWithoutRetries(Finding):
    """Several tries for a service whose share of retries is zero."""

    tries: int

    @property
    def reason(self) -> str:
        return f"allows {self.tries} tries, but no retries (retry_share 0)"


def review(services: Mapping[str, Service]) -> Sequence[Finding]:
    """Return the findings on the services of a valid declaration, by service and class."""
    return [finding for each in services.values() for finding in _review_service(each)]


def _review_service(service: Service) -> Iterator[Finding]:
    active = [each for each in service.targets if each.state is TargetState.ACTIVE]
    limits = service.limits
    if not active:
        yield NoActiveTarget(service.name, "", len(service.targets))
    # The default is meant for services of any size.
    if len(service.targets) < limits.tries != Limits().tries:
        yield TriesExceedTargets(service.name, "", limits.tries, len(service.targets))
    if limits.tries > 1 and limits.retry_share == 0:
        yield TriesWithoutRetries(service.name, "", limits.tries)
    if not limits.queue_length and limits.queue_seconds != Limits().queue_seconds:
        yield QueueTimeWithoutQueue(service.name, "", limits.queue_seconds)
    has_connections = any(each.connections for each in active)
    for each in service.classes:
        yield from _review_class(service, each, has_connections or not active)


def _review_class(
    service: Service, request_class: RequestClass, has_connections: bool
) -> Iterator[Finding]:
    name, prefix = request_class.name, request_class.path_prefix
    if _FRAGMENT in prefix or not all("!" <= each <= "~" for each in prefix):
        yield ClassNeverMatches(service.name, name, prefix)
    if request_class.shape is RequestShape.SUBSCRIPTION:
        if not has_connections:
            yield NoConnections(service.name, name)
        return  # it holds no slot, so it never waits in a queue
    deadline, waits = request_class.deadline_seconds, service.limits.queue_seconds
    is_stated = waits != Limits().queue_seconds
    if is_stated and service.limits.queue_length and deadline is not None and waits >= deadline:
        yield QueueOutlastsDeadline(service.name, name, waits, deadline)
