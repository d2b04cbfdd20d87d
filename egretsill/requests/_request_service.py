"""Serves callers' requests at targets, and the own gate to other agents."""

from __future__ import annotations

import itertools
from typing import Any

import trio

from ..configuration import Address, Limits, RequestClass, RequestShape, Service
from ..outcomes import Outcome, RefusalReason, Refused, Unknown, UnknownReason
from ..supervision import Part, Supervisor
from ..timing import TimerService
from ..wire import StreamDecoder
from ._attempts import Attempts
from ._backend_client import BackendClient
from ._collaborators import (
    GateAdmission,
    NullObserver,
    RequestEnd,
    RequestObserver,
    ServiceLookup,
    TargetPlacement,
)
from ._exchange import CallerGone, Exchange
from ._gate import Gate
from ._gate_runner import GateRunner
from ._local_link import LocalLinks
from ._message_link import StreamLink
from ._messages import RelayMessage, RequestId
from ._requester import Requester
from ._requester_link import Connector, LinkPool, connect_tcp
from ._retry_budget import RetryBudget


class RequestService:
    """Serves the requests of the flows that this agent owns, and its gate to other agents.

    Args:
        own_target_number: the target of this agent.
        own_service: name of the service that it belongs to.
        incarnation: number that differs in each run of this agent.
        timer: the timer service.
        services: the configuration in force.
        admission: slots, connections and queue of the own target.
        placement: chooses targets of the own service.
        backend: client of the own backend server.
        supervisor: contains unexpected exceptions of single requests and links.
        observer: notified of starts and outcomes.
        connect: opens a stream to another agent; may raise OSError.
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
        supervisor: Supervisor,
        observer: RequestObserver | None = None,
        connect: Connector = connect_tcp,
    ) -> None:
        self._own_target_number = own_target_number
        self._own_service = own_service
        self._incarnation = incarnation
        self._timer = timer
        self._services = services
        self._placement = placement
        self._supervisor = supervisor
        self._observer = observer or NullObserver()
        gate = Gate(incarnation, own_service, services, admission)
        self._gate_runner = GateRunner(gate, timer, backend, self._observer, supervisor)
        self._local_links = LocalLinks(self._gate_runner, timer, supervisor)
        self._pool = LinkPool(
            own_target_number,
            timer,
            self._local_links,
            self._address,
            self._observer,
            supervisor,
            connect,
        )
        self._sequence = itertools.count(1)
        self._budget = RetryBudget(0.0)
        self._serving = 0
        self._ready = trio.Event()

    @property
    def links(self) -> int:
        """Return the number of open links to other agents."""
        return self._pool.links

    @property
    def running(self) -> int:
        """Return the number of requests in progress; callers' ones at the own gate count twice."""
        return self._serving + self._gate_runner.running

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; requests wait until this has started."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._gate_runner.run)
            await nursery.start(self._local_links.run)
            await nursery.start(self._pool.run)
            self._ready.set()
            task_status.started()

    def stop_new_work(self) -> None:
        """Stop starting requests at the own gate; running requests continue."""
        self._gate_runner.stop_new_work()

    def resume_new_work(self) -> None:
        """Start requests at the own gate again."""
        self._gate_runner.resume_new_work()

    def change_bounds(self, slots: int, connections: int, limits: Limits) -> None:
        """Apply the bounds of a changed configuration."""
        self._gate_runner.change_bounds(slots, connections, limits)

    async def serve(self, exchange: Exchange) -> None:
        """Run one request to its end and report the outcome to the caller.

        Cancelling this call, or `CallerGone` from the exchange, cancels the request.
        """
        await self._ready.wait()
        self._serving += 1
        try:
            await exchange.conclude(await self._known_outcome(exchange))
        except CallerGone:
            return
        finally:
            self._serving -= 1

    async def serve_relay(
        self,
        stream: trio.abc.Stream,
        first_message: RelayMessage,
        decoder: StreamDecoder[Any],
    ) -> None:
        """Serve a relay link of another agent until it ends.

        Args:
            stream: the link's stream; closed at the end.
            first_message: the first message on the link.
            decoder: the decoder of the stream, with any bytes received after the first message.
        """
        await self._ready.wait()
        await self._gate_runner.serve_link(StreamLink(stream, decoder, [first_message]))

    async def _known_outcome(self, exchange: Exchange) -> Outcome:
        """Return the outcome; after an unexpected exception it isn't known whether it ran."""
        try:
            return await self._outcome(exchange)
        except CallerGone:
            raise
        except Exception as error:
            self._supervisor.note_failure(Part.REQUESTS, error)
            return Unknown(UnknownReason.RELAY_LOST)

    async def _outcome(self, exchange: Exchange) -> Outcome:
        head = exchange.head
        service = self._services(head.service)
        if service is None:
            return Refused(RefusalReason.UNDECLARED)
        if service.name != self._own_service:
            return Refused(RefusalReason.WRONG_SERVICE)
        request_class = service.classify(head.method, head.path)
        if request_class is None:
            return self._refuse_undeclared(service)
        return await self._run_request(exchange, service, request_class)

    def _refuse_undeclared(self, service: Service) -> Outcome:
        outcome = Refused(RefusalReason.UNDECLARED)
        self._observer.on_end(RequestEnd(None, service.tenant, outcome))
        return outcome

    async def _run_request(
        self, exchange: Exchange, service: Service, request_class: RequestClass
    ) -> Outcome:
        started_at = self._timer.now
        deadline = _earliest(exchange.head.deadline, started_at, request_class.deadline_seconds)
        self._budget.set_share(service.limits.retry_share)
        attempts = Attempts(
            exchange.head,
            service,
            request_class,
            deadline,
            self._placement,
            self._budget,
            self._next_identifier,
        )
        active = request_class.shape is not RequestShape.SUBSCRIPTION
        requester = Requester(exchange, attempts, deadline, self._timer, self._pool, active)
        try:
            return await requester.run()
        finally:
            with self._supervisor.contain(Part.REQUESTS):
                self._report_end(service, request_class, attempts, requester, started_at)

    def _report_end(
        self,
        service: Service,
        request_class: RequestClass,
        attempts: Attempts,
        requester: Requester,
        started_at: float,
    ) -> None:
        first_byte = (
            None if requester.first_byte_at is None else requester.first_byte_at - started_at
        )
        tally = attempts.tally
        self._observer.on_end(
            RequestEnd(
                request_class,
                service.tenant,
                requester.outcome,
                first_byte,
                self._timer.now - started_at,
                tally.queue_seconds,
                tally.tries,
                tuple(tally.refusals),
                tally.resumes,
            )
        )

    def _next_identifier(self) -> RequestId:
        return RequestId(self._own_target_number, self._incarnation, next(self._sequence))

    def _address(self, target_number: int) -> Address | None:
        service = self._services(self._own_service)
        targets = () if service is None else service.targets
        return next((each.relay for each in targets if each.number == target_number), None)


def _earliest(
    requested_deadline: float | None, now: float, class_deadline_seconds: float | None
) -> float | None:
    class_deadline = None if class_deadline_seconds is None else now + class_deadline_seconds
    return min(
        (each for each in (requested_deadline, class_deadline) if each is not None), default=None
    )
