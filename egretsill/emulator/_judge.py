"""Whether promises were kept, by what callers, targets and operators saw and nothing else."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..address_steering import FlowKey
from ..directory import RouteTable, Target
from ._request import Answer, Request, answer_body

DRAIN_SECONDS = 3.0  # after which a leaving target must get no new flow
APPLY_SECONDS = 3.0  # after which a configuration must be in force
ASTRAY_SECONDS = 2.0  # for which packets of an open flow may miss their target
ASTRAY_PACKETS = 3  # that missed it meanwhile, at least
RECOVERY_SECONDS = 12.0  # after the last fault
RECOVERED_SHARE = 0.25  # of requests that must be served from then on
WINDOW_SECONDS = 2.0  # length of the windows in which service is compared


class Rule(enum.Enum):
    """A promise."""

    MIXED = "mixed"
    UNASKED = "unasked"
    TWICE = "twice"
    ROUTE = "route"
    CONFIGURATION = "configuration"
    DRAIN = "drain"
    FLOW = "flow"
    RECOVERY = "recovery"


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    IN_TIME = "in-time"
    LATE = "late"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken.

    Attributes:
        rule: which one.
        at: virtual time.
        detail: what was seen.
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
    opening_sent_at: float
    owner: Target | None = None
    astray: list[float] = field(default_factory=list)


class Judge:
    """Takes what the ends saw.

    Args:
        is_calm: returns whether nothing disturbed a host for a while.
        is_open: returns whether a target holds a flow now.
    """

    def __init__(
        self,
        is_calm: Callable[[int], bool],
        is_open: Callable[[Target, FlowKey], bool],
    ) -> None:
        self.violations: list[Violation] = []
        self.outcomes: Counter[Outcome] = Counter()
        self.asked = 0
        self.flows_by_target: Counter[str] = Counter()
        self._is_calm = is_calm
        self._is_open = is_open
        self._written: set[bytes] = set()
        self._flows: dict[FlowKey, _FlowRecord] = {}
        self._sent: dict[int, Request] = {}
        self._runs: Counter[int] = Counter()
        self._versions: list[_Version] = []
        self._draining_since: dict[str, float] = {}
        self._windows: dict[int, Counter[Outcome]] = {}
        self._served_after: list[tuple[float, bool]] = []

    # What operators did.

    def note_version(self, table: RouteTable, now: float) -> None:
        """Note that the store confirmed a configuration."""
        if self._versions:
            self._versions[-1].superseded_at = now
        services = {address: route.services for address, route in table.routes.items()}
        self._versions.append(_Version(now, services))

    def note_draining(self, target: Target, now: float) -> None:
        """Note that the store confirmed that a target leaves."""
        self._draining_since[target.name] = now

    # What ends wrote and got.

    def note_written(self, data: bytes) -> None:
        """Note a datagram that an end wrote."""
        self._written.add(data)

    def note_delivery(self, data: bytes, target: Target, now: float) -> None:
        """Note a datagram that reached a target."""
        if data not in self._written:
            self._break(Rule.UNASKED, now, f"{target.name} got a packet that nobody wrote")

    def note_delivery_to_caller(self, data: bytes, now: float) -> None:
        """Note a datagram other than a reset that reached a caller."""
        if data not in self._written:
            self._break(Rule.MIXED, now, "a caller got a packet that nobody wrote")

    # What happened to flows.

    def note_opening_sent(self, flow: FlowKey, now: float) -> None:
        """Note that a caller sent an opening packet."""
        self._flows.setdefault(flow, _FlowRecord(now))

    def note_opening(self, flow: FlowKey, target: Target, now: float) -> None:
        """Note that a target took an opening packet."""
        draining_since = self._draining_since.get(target.name, float("inf"))
        if now > draining_since + DRAIN_SECONDS:
            self._break(Rule.DRAIN, now, f"{target.name} leaves since {draining_since:.3f}")
        record = self._flows.get(flow)
        if record is None:
            self._break(Rule.UNASKED, now, f"{flow} was never opened")
            return
        address = (flow.service_host, flow.service_port)
        ever = {each for version in self._versions for each in version.services.get(address, ())}
        if target.service not in ever:
            self._break(Rule.ROUTE, now, f"{flow} taken by {target.service}")
            return
        allowed = {
            each
            for version in self._versions
            if version.superseded_at > record.opening_sent_at - APPLY_SECONDS
            for each in version.services.get(address, ())
        }
        if target.service not in allowed:
            self._break(Rule.CONFIGURATION, now, f"{flow} taken by {target.service}")

    def note_open(self, flow: FlowKey, target: Target, now: float) -> None:
        """Note that a flow is open at a target."""
        record = self._flows.setdefault(flow, _FlowRecord(now))
        record.owner = target
        record.astray.clear()
        self.flows_by_target[target.name] += 1

    def note_arrival(self, flow: FlowKey, now: float) -> None:
        """Note that a packet reached its flow's target."""
        record = self._flows.get(flow)
        if record is not None:
            record.astray.clear()

    def note_astray(self, flow: FlowKey, target: Target, now: float) -> None:
        """Note that a packet reached a target that doesn't have its flow."""
        record = self._flows.get(flow)
        if record is None or record.owner is None or not self._is_protected(record, flow):
            return
        record.astray.append(now)
        is_long = now - record.astray[0] >= ASTRAY_SECONDS
        if is_long and len(record.astray) >= ASTRAY_PACKETS and self._is_calm(target.host):
            self._break(Rule.FLOW, now, f"{flow} of {record.owner.name} missed it")
            record.astray.clear()

    def note_reset(self, flow: FlowKey, data: bytes, now: float) -> None:
        """Note that a caller got a reset."""
        record = self._flows.get(flow)
        if data in self._written or record is None or record.owner is None:
            return
        if self._is_protected(record, flow):
            self._break(Rule.FLOW, now, f"{flow} reset though {record.owner.name} has it")

    def note_end(self, flow: FlowKey) -> None:
        """Note that a flow's target has ended it."""
        record = self._flows.get(flow)
        if record is not None:
            record.owner = None

    # What happened to requests.

    def note_asked(self) -> None:
        """Note that a caller began a request."""
        self.asked += 1

    def note_sent(self, request: Request) -> None:
        """Note a try of a request."""
        self._sent[request.number] = request

    def note_run(self, request: Request, target: Target, now: float) -> None:
        """Note that a target began to work on a request."""
        if self._sent.get(request.number) is None:
            self._break(Rule.UNASKED, now, f"{target.name} runs a request that nobody sent")
            return
        self._runs[request.number] += 1
        if self._runs[request.number] > 1:
            self._break(Rule.TWICE, now, f"request {request.number} runs again")

    def note_answer(self, answer: Answer, expected: int | None, now: float) -> None:
        """Note an answer that a caller got."""
        sent = self._sent.get(answer.number)
        if sent is None or (expected is not None and answer.number != expected):
            self._break(Rule.MIXED, now, f"answer to request {answer.number}")
        elif answer.has_run and answer.body != answer_body(sent.number, sent.answer_bytes):
            self._break(Rule.MIXED, now, f"body of request {answer.number}")

    def note_outcome(self, outcome: Outcome, asked_at: float) -> None:
        """Note how a request ended."""
        self.outcomes[outcome] += 1
        window = self._windows.setdefault(int(asked_at // WINDOW_SECONDS), Counter())
        window[outcome] += 1
        self._served_after.append((asked_at, outcome is not Outcome.FAILED))

    def check_recovery(self, last_fault_ended_at: float, now: float) -> None:
        """Check that callers were served again some time after the last fault."""
        since = last_fault_ended_at + RECOVERY_SECONDS
        later = [is_served for asked_at, is_served in self._served_after if asked_at > since]
        if later and sum(later) < RECOVERED_SHARE * len(later):
            self._break(Rule.RECOVERY, now, f"{sum(later)} of {len(later)} served")

    @property
    def windows(self) -> list[tuple[float, int, int]]:
        """Return start, requests and requests in time of each window, in order."""
        return [
            (number * WINDOW_SECONDS, window.total(), window[Outcome.IN_TIME])
            for number, window in sorted(self._windows.items())
        ]

    def _is_protected(self, record: _FlowRecord, flow: FlowKey) -> bool:
        owner = record.owner
        return owner is not None and self._is_open(owner, flow) and self._is_calm(owner.host)

    def _break(self, rule: Rule, at: float, detail: str) -> None:
        self.violations.append(Violation(rule, at, detail))
