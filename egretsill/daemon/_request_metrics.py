"""Turns what requests tell into metrics by tenant and class."""

from __future__ import annotations

from ..configuration import RequestClass
from ..observation import Metrics
from ..outcomes import Answered, Cancelled, Outcome, Refused, Unknown

UNDECLARED_CLASS = "undeclared"


class RequestMetrics:
    """Counts starts and outcomes of one agent."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._refusals: dict[str, int] = {}

    @property
    def refusals(self) -> dict[str, int]:
        """Return how many requests were refused, by reason."""
        return dict(self._refusals)

    def on_start(self, request_class: RequestClass, tenant: str, queue_seconds: float) -> None:
        """Note that a request went to the backend server of this agent."""
        self._metrics.queue_wait_seconds.observe(queue_seconds, tenant, request_class.name)

    def on_outcome(
        self,
        request_class: RequestClass | None,
        tenant: str,
        outcome: Outcome,
        first_byte_seconds: float | None,
        total_seconds: float,
        queue_seconds: float,
        tries: int,
    ) -> None:
        """Note how a caller's request ended."""
        name = UNDECLARED_CLASS if request_class is None else request_class.name
        metrics = self._metrics
        metrics.requests_ended.increment(tenant, name, type(outcome).__name__.lower())
        match outcome:
            case Answered():
                metrics.answer_seconds.observe(total_seconds, tenant, name)
            case Refused(reason=refusal):
                metrics.requests_refused.increment(tenant, name, refusal)
                self._refusals[refusal.value] = self._refusals.get(refusal.value, 0) + 1
            case Unknown(reason=cause):
                metrics.requests_unknown.increment(tenant, name, cause)
            case Cancelled():
                pass
        if first_byte_seconds is not None:
            metrics.time_to_first_byte_seconds.observe(first_byte_seconds, tenant, name)
        metrics.tries.observe(tries, tenant, name)
        if tries > 1:
            metrics.requests_retried.increment(tenant, name, amount=tries - 1)

    def on_malformed(self, protocol: str) -> None:
        """Note a relay link or backend connection that carried garbage."""
        self._metrics.messages_malformed.increment(protocol, "unreadable")
