"""Interfaces of admission, placement and observers as used by request handling."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ..admission import AdmissionDecision, Ticket
from ..configuration import Limits, RequestClass, RequestShape, Service
from ..outcomes import Outcome, RefusalReason

ServiceLookup: TypeAlias = Callable[[str], Service | None]


class GateAdmission(Protocol):
    """Slots, connections and queue of one backend server; each call returns the new decisions."""

    def ask(self, ticket: Ticket, now: float) -> AdmissionDecision:
        """Admit, queue or reject a request."""

    def release(self, identifier: str, now: float) -> Sequence[AdmissionDecision]:
        """Free the slot or connection of a request that was answered."""

    def cancel(self, identifier: str, now: float) -> Sequence[AdmissionDecision]:
        """Remove a queued request, or free the slot or connection of one that was not answered."""

    def expire(self, now: float) -> Sequence[AdmissionDecision]:
        """Reject requests that have waited too long."""

    def stop(self, now: float) -> Sequence[AdmissionDecision]:
        """Stop admitting requests."""

    def resume(self) -> None:
        """Admit requests again."""

    def update(
        self, slots: int, connections: int, limits: Limits, now: float
    ) -> Sequence[AdmissionDecision]:
        """Apply changed bounds."""


class TargetPlacement(Protocol):
    """Chooses targets, with feedback on the results of requests."""

    def choose(
        self, request_class: RequestClass, exclude: Collection[int], now: float
    ) -> int | None:
        """Return the number of the target to try next, or None if there is none."""

    def on_sent(self, target_number: int, weight: float, now: float, shape: RequestShape) -> None:
        """Record that a request was offered to a target."""

    def on_granted(self, target_number: int, now: float, shape: RequestShape) -> None:
        """Record that a target started an offered request."""

    def on_refused(self, target_number: int, reason: RefusalReason, now: float) -> None:
        """Record that a target refused a request; `on_finished` follows for the same request."""

    def on_finished(
        self, target_number: int, weight: float, now: float, shape: RequestShape
    ) -> None:
        """Record that an offered request has ended at a target, with any result."""


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """Result and timing of one caller's request.

    Attributes:
        request_class: None if no declared class matches the request.
        tenant: owner of the service.
        outcome: the outcome that was reported to the caller.
        first_byte_seconds: from its arrival to the answer's head, or None without an answer.
        total_seconds: from its arrival to its end.
        queue_seconds: time in the queue of the gate where it started.
        tries: number of offers to targets.
        refusals: the reason of each refusal by a target.
        resumes: number of times that it was resumed on a new link.
    """

    request_class: RequestClass | None
    tenant: str
    outcome: Outcome
    first_byte_seconds: float | None = None
    total_seconds: float = 0.0
    queue_seconds: float = 0.0
    tries: int = 0
    refusals: tuple[RefusalReason, ...] = ()
    resumes: int = 0


class RequestObserver(Protocol):
    """Receives events of requests, backend calls and relay links."""

    def on_start(self, request_class: RequestClass, tenant: str, queue_seconds: float) -> None:
        """Record that a request started at the backend server of this agent."""

    def on_end(self, end: RequestEnd) -> None:
        """Record the end of a caller's request."""

    def on_backend_answered(self) -> None:
        """Record that the backend server sent a complete answer."""

    def on_backend_failed(self, failure: Exception) -> None:
        """Record that the backend server was unreachable or did not complete its answer."""

    def on_link_lost(self) -> None:
        """Record that a link to another agent broke or timed out."""

    def on_malformed(self, protocol: str) -> None:
        """Record that a relay link or backend connection carried malformed data."""


class NullObserver:
    """Ignores all events."""

    def on_start(self, request_class: RequestClass, tenant: str, queue_seconds: float) -> None:
        """Do nothing."""

    def on_end(self, end: RequestEnd) -> None:
        """Do nothing."""

    def on_backend_answered(self) -> None:
        """Do nothing."""

    def on_backend_failed(self, failure: Exception) -> None:
        """Do nothing."""

    def on_link_lost(self) -> None:
        """Do nothing."""

    def on_malformed(self, protocol: str) -> None:
        """Do nothing."""
