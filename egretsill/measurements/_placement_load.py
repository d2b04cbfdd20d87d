"""One service under load in virtual time: real admissions and policies, fake backend servers.

Each target's agent is also a requester. Callers keep their flows, so all requests of a caller come
to one agent, which chooses a target, asks its admission over a hop of a few milliseconds and tries
another target when refused, within the retry budget.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ..admission import Admission, AdmissionDecision, Admitted, Queued, Rejected, Ticket
from ..configuration import RequestClass
from ..outcomes import RefusalReason
from ..placement import LoadReport, LoadReporter
from ..requests import RetryBudget
from ._placement_deployment import (
    END_SECONDS,
    LISTING,
    LISTING_SHARE,
    MEAN_WEIGHT,
    MEASURED_SECONDS,
    ORDER,
    UNIT_SECONDS,
    WARM_UP_SECONDS,
    Deployment,
)
from ._placement_policies import MakePolicy, Policy

NEAR_SECONDS = 0.0005
SHED_SECONDS = 0.001
REPORT_TICK_SECONDS = 0.1
BIN_SECONDS = 1.0
SERVICE_TIME_SIGMA = 0.5
CALLERS = 400


@dataclass(slots=True)
class Request:
    """One request of a caller in progress."""

    identifier: str
    request_class: RequestClass
    seconds: float
    arrived: float
    requester: int
    refused_by: list[int] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        """Return the time after which its answer is of no use, in seconds."""
        return self.arrived + (self.request_class.deadline_seconds or math.inf)


@dataclass(slots=True)
class Totals:
    """Results of the requests; tries and refusals of the whole run, the rest of the measured time.

    Attributes:
        work: declared weight of the requests served, by target and second.
        late: requests whose answer came after their deadline.
        first_bytes: seconds from arrival to the start of the answer.
        useful_margins: seconds that each useful answer had left before its deadline.
    """

    work: list[list[float]]
    first_tries: int = 0
    retries: int = 0
    refused: int = 0
    late: int = 0
    useful_weight: float = 0.0
    first_bytes: list[float] = field(default_factory=list)
    useful_margins: list[float] = field(default_factory=list)


class ServiceUnderLoad:
    """Runs one deployment under one policy and load; `run` gives the totals.

    Args:
        deployment: the targets and their faults.
        load: requested share of the deployment's capacity.
        make_policy: makes each requester's policy.
        report_delay: age of a report when it arrives, in seconds.
        seed: of all randomness.
    """

    def __init__(
        self,
        deployment: Deployment,
        load: float,
        make_policy: MakePolicy,
        report_delay: float,
        seed: int,
    ) -> None:
        self.deployment = deployment
        self._service = deployment.service()
        self._numbers = [each.number for each in self._service.targets]
        self._random = Random(seed)
        self._report_delay = report_delay
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._policies: dict[int, Policy] = {}
        self._gates: dict[int, Admission] = {}
        self._reporters: dict[int, LoadReporter] = {}
        self._budgets: dict[int, RetryBudget] = {}
        for number in self._numbers:
            self._add_target(number, make_policy)
        self._callers = [self._random.choice(self._numbers) for _ in range(CALLERS)]
        self._requests: dict[str, Request] = {}
        capacity = sum(
            deployment.capacity(number, WARM_UP_SECONDS, END_SECONDS) for number in self._numbers
        )
        self._rate = load * capacity / MEASURED_SECONDS / MEAN_WEIGHT
        bins = math.ceil(END_SECONDS / BIN_SECONDS)
        self._totals = Totals([[0.0] * bins for _ in range(len(self._numbers) + 1)])
        self._sequence = itertools.count(1)

    def run(self) -> Totals:
        """Run the load and return the totals."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._report_all)
        while self._events and self._events[0][0] < END_SECONDS:
            self._now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self._totals

    def _add_target(self, number: int, make_policy: MakePolicy) -> None:
        limits = self._service.limits
        slots = self.deployment.slots
        self._policies[number] = make_policy(number, self._service, self._fork())
        self._gates[number] = Admission(slots, 2000, limits, self._fork())
        self._reporters[number] = LoadReporter(number, self._service, self._fork())
        self._budgets[number] = RetryBudget(limits.retry_share)

    def _fork(self) -> Random:
        return Random(self._random.random())

    def _schedule(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (when, next(self._order), call, arguments))

    def _hop(self, one: int, other: int) -> float:
        if one == other:
            return 0.0
        if one % 3 == other % 3:
            return NEAR_SECONDS
        return self.deployment.hop_seconds * self._random.uniform(0.9, 1.4)

    def _arrive(self) -> None:
        self._schedule(self._now + self._random.expovariate(self._rate), self._arrive)
        request_class = LISTING if self._random.random() < LISTING_SHARE else ORDER
        spread = self._random.lognormvariate(-(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA)
        request = Request(
            identifier=str(next(self._order)),
            request_class=request_class,
            seconds=request_class.weight * UNIT_SECONDS * spread,
            arrived=self._now,
            requester=self._random.choice(self._callers),
        )
        self._requests[request.identifier] = request
        self._budgets[request.requester].on_first_try()
        self._totals.first_tries += 1
        self._offer(request)

    def _is_measured(self, request: Request) -> bool:
        return request.arrived >= WARM_UP_SECONDS

    def _offer(self, request: Request) -> None:
        policy = self._policies[request.requester]
        target = policy.choose(request.request_class, request.refused_by, self._now)
        if target is None:
            self._refuse(request)
            return
        policy.on_sent(target, request.request_class.weight, self._now)
        self._schedule(
            self._now + self._hop(request.requester, target), self._ask_admission, request, target
        )

    def _refuse(self, request: Request) -> None:
        del self._requests[request.identifier]
        self._totals.refused += 1

    def _ask_admission(self, request: Request, target: int) -> None:
        ticket = Ticket(
            request.identifier,
            "tenant",
            request.request_class.name,
            request.request_class.weight,
            request.request_class.shape,
            request.request_class.priority,
            request.deadline,
        )
        gate = self._gates[target]
        self._apply(target, [gate.ask(ticket, self._now)])
        self._expire(target)
        if gate.next_expiry is not None:
            self._schedule(gate.next_expiry, self._expire, target)

    def _expire(self, target: int) -> None:
        expiry = self._gates[target].next_expiry
        if expiry is not None and expiry <= self._now:
            self._apply(target, self._gates[target].expire(self._now))

    def _apply(self, target: int, decisions: Any) -> None:
        for decision in decisions:
            request = self._requests[decision.identifier]
            self._apply_one(request, target, decision)

    def _apply_one(self, request: Request, target: int, decision: AdmissionDecision) -> None:
        match decision:
            case Admitted():
                self._start(request, target)
            case Rejected(_, refusal):
                self._send_refusal(request, target, refusal.reason)
            case Queued():
                pass

    def _start(self, request: Request, target: int) -> None:
        behaviour = self.deployment.behaviours[target - 1]
        if behaviour.sheds_at(self._now):
            self._schedule(self._now + SHED_SECONDS, self._shed, request, target)
            return
        hop = self._hop(request.requester, target)
        self._schedule(self._now + hop, self._on_granted, request, target)
        end = self._now + request.seconds / behaviour.speed_at(self._now)
        self._schedule(end, self._finish, request, target, self._now)

    def _shed(self, request: Request, target: int) -> None:
        self._send_refusal(request, target, RefusalReason.SHEDDING)
        self._apply(target, self._gates[target].release(request.identifier, self._now, False))

    def _finish(self, request: Request, target: int, started: float) -> None:
        self._count_work(target, request.request_class.weight, started, self._now)
        hop = self._hop(request.requester, target)
        self._schedule(self._now + hop, self._on_answer, request, target)
        self._apply(target, self._gates[target].release(request.identifier, self._now))

    def _count_work(self, target: int, weight: float, begin: float, end: float) -> None:
        """Spread the weight of one request over the seconds in which it ran."""
        rate = weight / (end - begin)
        bins = self._totals.work[target]
        while begin < end:
            index = int(begin / BIN_SECONDS)
            until = min(end, (index + 1) * BIN_SECONDS)
            bins[index] += rate * (until - begin)
            begin = until

    def _on_granted(self, request: Request, target: int) -> None:
        self._policies[request.requester].on_granted(target, self._now)
        if self._is_measured(request):
            self._totals.first_bytes.append(self._now - request.arrived)

    def _on_answer(self, request: Request, target: int) -> None:
        weight = request.request_class.weight
        self._policies[request.requester].on_finished(target, weight, self._now)
        del self._requests[request.identifier]
        if self._now < WARM_UP_SECONDS:
            return
        late = self._now > request.deadline
        self._totals.late += late
        if not late:
            self._totals.useful_weight += weight
            self._totals.useful_margins.append(request.deadline - self._now)

    def _send_refusal(self, request: Request, target: int, reason: RefusalReason) -> None:
        self._schedule(
            self._now + self._hop(request.requester, target),
            self._on_refused,
            request,
            target,
            reason,
        )

    def _on_refused(self, request: Request, target: int, reason: RefusalReason) -> None:
        policy = self._policies[request.requester]
        policy.on_refused(target, reason, self._now)
        policy.on_finished(target, request.request_class.weight, self._now)
        request.refused_by.append(target)
        tries = len(request.refused_by)
        in_time = self._now < request.deadline and reason is not RefusalReason.DEADLINE
        if not in_time or tries >= self._service.limits.tries:
            self._refuse(request)
            return
        if not self._budgets[request.requester].take_retry():
            self._refuse(request)
            return
        self._totals.retries += 1
        self._offer(request)

    def _report_all(self) -> None:
        self._schedule(self._now + REPORT_TICK_SECONDS, self._report_all)
        for number in self._numbers:
            self._report(number)

    def _report(self, number: int) -> None:
        gate = self._gates[number]
        behaviour = self.deployment.behaviours[number - 1]
        report = LoadReport(
            target=number,
            incarnation=1,
            sequence=next(self._sequence),
            outstanding_weight=gate.outstanding_weight,
            running=gate.running,
            queued=gate.queued,
            slots=gate.slots,
            connections=gate.open_connections,
            draining=gate.stopped,
            server_age_seconds=behaviour.age_at(self._now),
        )
        if behaviour.distortion is not None:
            report = behaviour.distortion(report, self._random)
        sent = self._reporters[number].poll(report, self._now)
        if sent is None:
            return
        for peer in sent.targets:
            self._schedule(self._now + self._report_delay, self._deliver, peer, sent.report)

    def _deliver(self, peer: int, report: LoadReport) -> None:
        self._policies[peer].on_report(report, self._now)
