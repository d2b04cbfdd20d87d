"""What requests need from other slices, and what they tell observers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from ..admission import AdmissionDecision, Ticket
from ..configuration import Limits, RequestClass, RequestShape, Service
from ..outcomes import Outcome, RefusalReason

ServiceLookup: TypeAlias = Callable[[str], Service | None]


class GateAdmission(Protocol):
    """Slots, connections and queue of one backend server; each call returns what changed."""

    def ask(self, ticket: Ticket, now: float) -> AdmissionDecision:
        """Decide on a request at once."""

    def release(self, identifier: str, now: float) -> Sequence[AdmissionDecision]:
        """Free what a request held that was answered."""

    def cancel(self, identifier: str, now: float) -> Sequence[AdmissionDecision]:
        """Forget a request that waits, or free what one held that was not answered."""

    def expire(self, now: float) -> Sequence[AdmissionDecision]:
        """Drop what has waited too long."""

    def stop(self, now: float) -> Sequence[AdmissionDecision]:
        """Admit nothing from now on."""

    def resume(self) -> None:
        """Admit again."""

    def update(
        self, slots: int, connections: int, limits: Limits, now: float
    ) -> Sequence[AdmissionDecision]:
        """Take over changed bounds."""


class TargetPlacement(Protocol):
    """Chooses targets and learns from what became of requests."""

    def choose(
        self, request_class: RequestClass, exclude: Collection[int], now: float
    ) -> int | None:
        """Return the number of the target to try next, or None if there is none."""

    def on_sent(self, target_number: int, weight: float, now: float, shape: RequestShape) -> None:
        """Note that a request was offered to a target."""

    def on_granted(self, target_number: int, now: float, shape: RequestShape) -> None:
        """Note that a target started an offered request."""

    def on_refused(self, target_number: int, reason: RefusalReason, now: float) -> None:
        """Note that a target refused; `on_finished` follows for the same request."""

    def on_finished(
        self, target_number: int, weight: float, now: float, shape: RequestShape
    ) -> None:
        """Note that an offered request has ended there, however it ended."""


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How one caller's request ended.

    Attributes:
        request_class: None for a request of no declared class.
        tenant: whose service it was for.
        outcome: what the caller was told.
        first_byte_seconds: from its arrival to the answer's head, or None without an answer.
        total_seconds: from its arrival to its end.
        queue_seconds: time in the queue of the gate where it started.
        tries: targets that it was offered to.
        refusals: why a target refused it, for each that did.
        resumes: times that its answer was taken up again on a new link.
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
    """Is told of every start at the own gate and of every request's end."""

    def on_start(self, request_class: RequestClass, tenant: str, queue_seconds: float) -> None:
        """Note that a request went to the backend server of this agent."""

    def on_end(self, end: RequestEnd) -> None:
        """Note how a caller's request ended."""

    def on_backend_answered(self) -> None:
        """Note that the backend server gave a whole answer."""

    def on_backend_failed(self, failure: Exception) -> None:
        """Note that the backend server could not be reached or did not answer to the end."""

    def on_link_lost(self) -> None:
        """Note that a link to another agent broke or went silent."""

    def on_malformed(self, protocol: str) -> None:
        """Note a relay link or backend connection that carried garbage."""


class SilentObserver:
    """Observes nothing."""

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
