"""Detection of broken rules, only from what callers, targets and operators observe."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..address_steering import FlowKey
from ..directory import RouteTable, Target
from ._request import Answer, Request, answer_body

DRAIN_SECONDS = 3.0  # after which a draining target must get no new flow
EVACUATION_SECONDS = 3.0  # after which no target of an evacuated failure domain gets a new flow
APPLY_SECONDS = 3.0  # after which a configuration must be in effect
MISROUTED_SECONDS = 2.0  # for which packets of an open flow may reach other targets
MISROUTED_PACKETS = 3  # minimum misrouted packets in that time for a violation
RECOVERY_SECONDS = 12.0  # after the last fault
RECOVERED_SHARE = 0.25  # minimum share of requests served from then on
WINDOW_SECONDS = 2.0  # length of the windows for the service statistics


class Rule(enum.Enum):
    """A rule that egretsill must keep."""

    MIXED = "mixed"
    UNASKED = "unasked"
    TWICE = "twice"
    ROUTE = "route"
    CONFIGURATION = "configuration"
    DRAIN = "drain"
    EVACUATION = "evacuation"
    FLOW = "flow"
    WARM_UP = "warm-up"
    RECOVERY = "recovery"


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    IN_TIME = "in-time"
    LATE = "late"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule.

    Attributes:
        rule: the rule.
        at: virtual time of the violation.
        detail: description of the observation.
    """

    rule: Rule
    at: float
    detail: str


@dataclass(slots=True)
class _Version:
    confirmed_at: float
    services: Mapping[tuple[int, int], tuple[str, ...]]
    superseded_at: float = float("inf")


@dataclass(slots=True)
class _FlowRecord:
    syn_sent_at: float
    owner: Target | None = None
    misrouted: list[float] = field(default_factory=list)


class Judge:
    """Records observations and detects violations.

    Args:
        is_undisturbed: returns whether a host hasn't been disturbed recently.
        is_open: returns whether a flow is open at a target now.
        warm_up_pace: SYN packets that a target may get in any second of its warm-up; 0 for any
            number.
    """

    def __init__(
        self,
        is_undisturbed: Callable[[int], bool],
        is_open: Callable[[Target, FlowKey], bool],
        warm_up_pace: int = 0,
    ) -> None:
        self.violations: list[Violation] = []
        self.outcomes: Counter[Outcome] = Counter()
        self.asked = 0
        self.flows_by_target: Counter[str] = Counter()
        self._is_undisturbed = is_undisturbed
        self._is_open = is_open
        self._warm_up_pace = warm_up_pace
        self._early_syns: dict[tuple[str, int], list[float]] = {}
        self._written: set[bytes] = set()
        self._flows: dict[FlowKey, _FlowRecord] = {}
        self._sent: dict[int, Request] = {}
        self._runs: Counter[int] = Counter()
        self._versions: list[_Version] = []
        self._draining_since: dict[str, float] = {}
        self._evacuated_since: dict[str, float] = {}
        self._windows: dict[int, Counter[Outcome]] = {}
        self._served_by_request_time: list[tuple[float, bool]] = []

    # Actions of operators.

    def note_version(self, table: RouteTable, now: float) -> None:
        """Record that the store confirmed a configuration."""
        if self._versions:
            self._versions[-1].superseded_at = now
        services = {address: route.services for address, route in table.routes.items()}
        self._versions.append(_Version(now, services))

    def note_draining(self, target: Target, now: float) -> None:
        """Record that the store confirmed that a target is draining."""
        self._draining_since.setdefault(target.name, now)

    def note_evacuated(self, failure_domain: str, now: float) -> None:
        """Record that the store confirmed the order to evacuate a failure domain."""
        self._evacuated_since.setdefault(failure_domain, now)

    def note_restored(self, failure_domain: str) -> None:
        """Record that the order to evacuate a failure domain is being taken back."""
        self._evacuated_since.pop(failure_domain, None)

    # Datagrams written and received by callers and targets.

    def note_written(self, data: bytes) -> None:
        """Record a datagram that a caller or target wrote."""
        self._written.add(data)

    def note_delivery(self, data: bytes, target: Target, now: float) -> None:
        """Check a datagram that reached a target."""
        if data not in self._written:
            self._record_violation(
                Rule.UNASKED, now, f"{target.name} got a packet that nobody wrote"
            )

    def note_delivery_to_caller(self, data: bytes, now: float) -> None:
        """Check a datagram other than an RST packet that reached a caller."""
        if data not in self._written:
            self._record_violation(Rule.MIXED, now, "a caller got a packet that nobody wrote")

    # Events of flows.

    def note_syn_sent(self, flow: FlowKey, now: float) -> None:
        """Record that a caller sent a SYN packet."""
        self._flows.setdefault(flow, _FlowRecord(now))

    def note_syn_accepted(self, flow: FlowKey, target: Target, now: float) -> None:
        """Check a SYN packet that a target accepted."""
        draining_since = self._draining_since.get(target.name, float("inf"))
        if now > draining_since + DRAIN_SECONDS:
            self._record_violation(
                Rule.DRAIN, now, f"{target.name} leaves since {draining_since:.3f}"
            )
        self._check_evacuation(target, now)
        record = self._flows.get(flow)
        if record is None:
            self._record_violation(Rule.UNASKED, now, f"{flow} was never opened")
            return
        address = (flow.service_host, flow.service_port)
        ever_allowed = {
            each for version in self._versions for each in version.services.get(address, ())
        }
        if target.service not in ever_allowed:
            self._record_violation(Rule.ROUTE, now, f"{flow} taken by {target.service}")
            return
        allowed = {
            each
            for version in self._versions
            if version.superseded_at > record.syn_sent_at - APPLY_SECONDS
            for each in version.services.get(address, ())
        }
        if target.service not in allowed:
            self._record_violation(Rule.CONFIGURATION, now, f"{flow} taken by {target.service}")

    def note_early_syn(self, target: Target, now: float) -> None:
        """Check a SYN packet, or a copy of one, that reached a target in warm-up."""
        run = (target.name, target.started_milliseconds)
        times = self._early_syns.setdefault(run, [])
        times.append(now)
        in_a_second = sum(now - at <= 1.0 for at in times)
        if 0 < self._warm_up_pace < in_a_second:
            self._record_violation(
                Rule.WARM_UP, now, f"{target.name} got {in_a_second} SYN packets in a second"
            )

    def note_established(self, flow: FlowKey, target: Target, now: float) -> None:
        """Record that a flow is open at a target."""
        record = self._flows.setdefault(flow, _FlowRecord(now))
        record.owner = target
        record.misrouted.clear()
        self.flows_by_target[target.name] += 1

    def note_arrival(self, flow: FlowKey, now: float) -> None:
        """Record that a packet reached the target of its flow."""
        record = self._flows.get(flow)
        if record is not None:
            record.misrouted.clear()

    def note_misrouted(self, flow: FlowKey, target: Target, now: float) -> None:
        """Check a packet that reached a target without its flow."""
        record = self._flows.get(flow)
        if record is None or record.owner is None or not self._is_protected(record, flow):
            return
        record.misrouted.append(now)
        is_long = now - record.misrouted[0] >= MISROUTED_SECONDS
        if (
            is_long
            and len(record.misrouted) >= MISROUTED_PACKETS
            and self._is_undisturbed(target.host)
        ):
            self._record_violation(Rule.FLOW, now, f"{flow} of {record.owner.name} missed it")
            record.misrouted.clear()

    def note_reset(self, flow: FlowKey, data: bytes, now: float) -> None:
        """Check an RST packet that a caller received."""
        record = self._flows.get(flow)
        if data in self._written or record is None or record.owner is None:
            return
        if self._is_protected(record, flow):
            self._record_violation(
                Rule.FLOW, now, f"{flow} reset though {record.owner.name} has it"
            )

    def note_ended(self, flow: FlowKey) -> None:
        """Record that a target ended a flow."""
        record = self._flows.get(flow)
        if record is not None:
            record.owner = None

    # Events of requests.

    def note_request_started(self) -> None:
        """Record that a caller started a request."""
        self.asked += 1

    def note_sent(self, request: Request) -> None:
        """Record an attempt of a request."""
        self._sent[request.number] = request

    def note_run(self, request: Request, target: Target, now: float) -> None:
        """Check that a target may run a request."""
        if self._sent.get(request.number) is None:
            self._record_violation(
                Rule.UNASKED, now, f"{target.name} runs a request that nobody sent"
            )
            return
        self._runs[request.number] += 1
        if self._runs[request.number] > 1:
            self._record_violation(Rule.TWICE, now, f"request {request.number} runs again")

    def note_answer(self, answer: Answer, expected: int | None, now: float) -> None:
        """Check an answer that a caller received."""
        sent = self._sent.get(answer.number)
        if sent is None or (expected is not None and answer.number != expected):
            self._record_violation(Rule.MIXED, now, f"answer to request {answer.number}")
        elif answer.has_run and answer.body != answer_body(sent.number, sent.answer_bytes):
            self._record_violation(Rule.MIXED, now, f"body of request {answer.number}")

    def note_outcome(self, outcome: Outcome, requested_at: float) -> None:
        """Record the outcome of a request."""
        self.outcomes[outcome] += 1
        window = self._windows.setdefault(int(requested_at // WINDOW_SECONDS), Counter())
        window[outcome] += 1
        self._served_by_request_time.append((requested_at, outcome is not Outcome.FAILED))

    def check_recovery(self, last_fault_ended_at: float, now: float) -> None:
        """Check that enough requests were served after the recovery time of the last fault."""
        since = last_fault_ended_at + RECOVERY_SECONDS
        later = [
            is_served
            for requested_at, is_served in self._served_by_request_time
            if requested_at > since
        ]
        if later and sum(later) < RECOVERED_SHARE * len(later):
            self._record_violation(Rule.RECOVERY, now, f"{sum(later)} of {len(later)} served")

    @property
    def windows(self) -> list[tuple[float, int, int]]:
        """Return the start, the requests and the requests in time of each window, in order."""
        return [
            (number * WINDOW_SECONDS, window.total(), window[Outcome.IN_TIME])
            for number, window in sorted(self._windows.items())
        ]

    def _check_evacuation(self, target: Target, now: float) -> None:
        domain = target.failure_domain
        since = self._evacuated_since.get(domain, float("inf"))
        if now > since + EVACUATION_SECONDS and self._is_undisturbed(target.host):
            detail = f"{target.name} of {domain}, evacuated since {since:.3f}"
            self._record_violation(Rule.EVACUATION, now, detail)

    def _is_protected(self, record: _FlowRecord, flow: FlowKey) -> bool:
        owner = record.owner
        return owner is not None and self._is_open(owner, flow) and self._is_undisturbed(owner.host)

    def _record_violation(self, rule: Rule, at: float, detail: str) -> None:
        self.violations.append(Violation(rule, at, detail))
