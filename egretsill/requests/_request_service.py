"""Takes callers' requests to a target and their answers back."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import trio

from ..admission import AdmissionDecision, Admitted, Queued, Rejected, Ticket
from ..configuration import RequestClass, Service
from ..outcomes import (
    Answered,
    Outcome,
    RefusalReason,
    Refused,
    Unknown,
    UnknownReason,
)
from ..timing import TimerService
from ._backend_call import BackendRequest
from ._backend_client import BackendClient
from ._collaborators import (
    GateAdmission,
    RequestObserver,
    ServiceLookup,
    SilentObserver,
    TargetPlacement,
)
from ._exceptions import (
    BackendFailed,
    BackendShed,
    BackendUnreachable,
    RequestInvalid,
    StartVetoed,
)
from ._exchange import CallerGone, Exchange
from ._silence import bounded

EXPIRE_INTERVAL_SECONDS = 0.05


class RequestService:
    """Serves the requests of the flows that this agent owns.

    Args:
        own_target_number: the target beside this agent.
        own_service: name of the service that it belongs to.
        incarnation: differs in each run of this agent.
        timer: the timer service.
        services: the configuration in force.
        admission: slots and queue of the own target.
        placement: chooses other targets.
        backend: the way to the own backend server.
        observer: is told of starts and outcomes.
    """

    def __init__(
        self,
        own_target_number: int,
        own_service: str,
        incarnation: int,
        timer: TimerService,
        services: ServiceLookup,
        admission: GateAdmission,
        placement: TargetPlacement,
        backend: BackendClient,
        observer: RequestObserver | None = None,
    ) -> None:
        self._own_target_number = own_target_number
        self._own_service = own_service
        self._incarnation = incarnation
        self._timer = timer
        self._services = services
        self._admission = admission
        self._placement = placement
        self._backend = backend
        self._observer = observer or SilentObserver()
        self._sequence = itertools.count(1)
        self._waiting: dict[str, tuple[trio.Event, list[AdmissionDecision]]] = {}
        self._running = 0
        self._stopped = False

    @property
    def running(self) -> int:
        """Return how many requests are in progress here."""
        return self._running

    def stop_new_work(self) -> None:
        """Start nothing from now on; what runs goes on to its end."""
        self._stopped = True
        self._settle(*self._admission.stop(self._timer.now))

    async def serve(self, exchange: Exchange) -> None:
        """Take one request to its end and tell the caller how it ended."""
        self._running += 1
        try:
            outcome = await self._outcome(exchange)
            await exchange.conclude(outcome)
        except CallerGone:
            return
        finally:
            self._running -= 1

    async def _outcome(self, exchange: Exchange) -> Outcome:
        service = self._services(exchange.head.service)
        if service is None:
            return Refused(RefusalReason.UNDECLARED)
        request_class = service.classify(exchange.head.method, exchange.head.path)
        if request_class is None:
            return Refused(RefusalReason.UNDECLARED)
        if service.name != self._own_service:
            return Refused(RefusalReason.WRONG_SERVICE)
        deadline = self._deadline(exchange, request_class)
        identifier = f"{self._own_target_number}.{self._incarnation}.{next(self._sequence)}"
        refusal = await self._admit(identifier, service, request_class, deadline)
        if refusal is not None:
            return refusal
        try:
            return await self._run(exchange, service, request_class, deadline)
        finally:
            self._settle(*self._admission.release(identifier, self._timer.now))

    def _deadline(self, exchange: Exchange, request_class: RequestClass) -> float | None:
        named = exchange.head.deadline
        if request_class.deadline_seconds is None:
            return named
        declared = self._timer.now + request_class.deadline_seconds
        return declared if named is None else min(named, declared)

    async def _admit(
        self,
        identifier: str,
        service: Service,
        request_class: RequestClass,
        deadline: float | None,
    ) -> Refused | None:
        ticket = Ticket(
            identifier,
            service.tenant,
            request_class.name,
            request_class.weight,
            request_class.shape,
            request_class.priority,
            deadline,
        )
        decision = self._admission.ask(ticket, self._timer.now)
        if isinstance(decision, Queued):
            decision = await self._wait_for_decision(identifier)
        return decision.refusal if isinstance(decision, Rejected) else None

    async def _wait_for_decision(self, identifier: str) -> AdmissionDecision:
        event = trio.Event()
        decisions: list[AdmissionDecision] = []
        self._waiting[identifier] = (event, decisions)
        expiry = self._timer.subscribe(EXPIRE_INTERVAL_SECONDS, self._expire)
        try:
            await event.wait()
            return decisions[0]
        finally:
            expiry.cancel()
            del self._waiting[identifier]
            if not any(isinstance(each, Admitted | Rejected) for each in decisions):
                self._settle(*self._admission.cancel(identifier, self._timer.now))

    def _expire(self, now: float) -> None:
        self._settle(*self._admission.expire(now))

    def _settle(self, *decisions: AdmissionDecision) -> None:
        for decision in decisions:
            waiting = self._waiting.get(decision.identifier)
            if waiting is not None:
                waiting[1].append(decision)
                waiting[0].set()

    async def _run(
        self,
        exchange: Exchange,
        service: Service,
        request_class: RequestClass,
        deadline: float | None,
    ) -> Outcome:
        started = False

        def start() -> None:
            nonlocal started
            if deadline is not None and self._timer.now >= deadline:
                raise StartVetoed(Refused(RefusalReason.DEADLINE))
            started = True

        request = BackendRequest(
            exchange.head.method,
            exchange.head.path,
            service.authority,
            exchange.head.headers,
            request_class.idempotent,
            request_class.shape,
            deadline,
        )
        left = None if deadline is None else deadline - self._timer.now
        with bounded(self._timer, left):
            return await self._call(exchange, request, start)
        if started:
            return Unknown(UnknownReason.DEADLINE)
        return Refused(RefusalReason.DEADLINE)

    async def _call(
        self, exchange: Exchange, request: BackendRequest, start: Callable[[], None]
    ) -> Outcome:
        try:
            status = await self._backend.call(request, exchange, exchange, start)
        except StartVetoed as error:
            return error.refusal
        except BackendShed as error:
            return Refused(RefusalReason.SHEDDING, error.retry_after_seconds)
        except BackendUnreachable:
            return Refused(RefusalReason.BACKEND_UNREACHABLE)
        except RequestInvalid:
            return Refused(RefusalReason.UNDECLARED)
        except BackendFailed as error:
            if error.reason is UnknownReason.BACKEND_MALFORMED:
                self._observer.on_malformed("http")
            return Unknown(error.reason)
        return Answered(status)
