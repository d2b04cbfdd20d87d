"""Records request events as metrics by tenant and request class."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

from ..configuration import RequestClass
from ..observation import Metrics
from ..outcomes import Answered, Cancelled, Refused, Unknown
from ..requests import BackendFailed, RequestEnd

UNDECLARED_CLASS = "undeclared"
LINK_LOST = "lost"


class RequestMetrics:
    """Observes the requests of one agent and updates its metrics.

    Args:
        metrics: metrics of the process.
        on_backend_result: called after each request to the backend server with whether it
            answered.
    """

    def __init__(self, metrics: Metrics, on_backend_result: Callable[[bool], None]) -> None:
        self._metrics = metrics
        self._on_backend_result = on_backend_result
        self._refusals: Counter[str] = Counter()

    @property
    def refusals(self) -> Mapping[str, int]:
        """Return the number of refused requests by reason."""
        return self._refusals

    def on_start(self, request_class: RequestClass, tenant: str, queue_seconds: float) -> None:
        """Record that a request was sent to the backend server of this agent."""
        self._metrics.queue_wait_seconds.observe(queue_seconds, tenant, request_class.name)

    def on_end(self, end: RequestEnd) -> None:
        """Record how a caller's request ended."""
        name = UNDECLARED_CLASS if end.request_class is None else end.request_class.name
        labels = (end.tenant, name)
        metrics = self._metrics
        metrics.requests_ended.increment(*labels, type(end.outcome).__name__.lower())
        match end.outcome:
            case Answered():
                metrics.answer_seconds.observe(end.total_seconds, *labels)
            case Refused(reason=refusal):
                metrics.requests_refused.increment(*labels, refusal)
                self._refusals[refusal.value] += 1
            case Unknown(reason=cause):
                metrics.requests_unknown.increment(*labels, cause)
            case Cancelled():
                pass
        if end.first_byte_seconds is not None:
            metrics.time_to_first_byte_seconds.observe(end.first_byte_seconds, *labels)
        metrics.tries.observe(end.tries, *labels)
        self._note_retries(end, labels)

    def on_backend_answered(self) -> None:
        """Record that the backend server gave a complete answer."""
        self._on_backend_result(True)

    def on_backend_failed(self, failure: Exception) -> None:
        """Record that the backend server was unreachable or gave no complete answer."""
        reason = failure.reason.value if isinstance(failure, BackendFailed) else "unreachable"
        self._metrics.backend_failures.increment(reason)
        self._on_backend_result(False)

    def on_link_lost(self) -> None:
        """Record that a relay link to another agent was lost or timed out."""
        self._metrics.relay_links_lost.increment(LINK_LOST)

    def on_malformed(self, protocol: str) -> None:
        """Record malformed data on a relay link or backend connection."""
        self._metrics.messages_malformed.increment(protocol, "unreadable")

    def _note_retries(self, end: RequestEnd, labels: tuple[str, str]) -> None:
        if end.tries > 1:
            self._metrics.requests_retried.increment(*labels, amount=end.tries - 1)
        for reason in end.refusals[: max(0, end.tries - 1)]:
            self._metrics.requests_rerouted.increment(reason)
        if end.resumes:
            self._metrics.answers_resumed.increment(amount=end.resumes)
