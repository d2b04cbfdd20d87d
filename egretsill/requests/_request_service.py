"""Takes callers' requests to a target and their answers back."""

from __future__ import annotations

import itertools
from typing import Any

import trio

from ..configuration import Address, Limits, RequestClass, RequestShape, Service
from ..outcomes import Outcome, RefusalReason, Refused
from ..timing import TimerService
from ..wire import StreamDecoder
from ._asker import Asker
from ._asker_link import Connector, LinkPool, connect_tcp
from ._attempts import Attempts
from ._backend_client import BackendClient
from ._collaborators import (
    GateAdmission,
    RequestEnd,
    RequestObserver,
    ServiceLookup,
    SilentObserver,
    TargetPlacement,
)
from ._exchange import CallerGone, Exchange
from ._gate import Gate
from ._gate_runner import GateRunner
from ._local_link import LocalLinks
from ._message_link import StreamLink
from ._messages import RelayMessage, RequestId
from ._retry_budget import RetryBudget


class RequestService:
    """Serves the requests of the flows that this agent owns, and its gate to other agents.

    Args:
        own_target_number: the target beside this agent.
        own_service: name of the service that it belongs to.
        incarnation: differs in each run of this agent.
        timer: the timer service.
        services: the configuration in force.
        admission: slots and queue of the own target.
        placement: chooses targets of the own service.
        backend: the way to the own backend server.
        observer: is told of starts and outcomes.
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
        observer: RequestObserver | None = None,
        connect: Connector = connect_tcp,
    ) -> None:
        self._own_target_number = own_target_number
        self._own_service = own_service
        self._incarnation = incarnation
        self._timer = timer
        self._services = services
        self._placement = placement
        self._observer = observer or SilentObserver()
        gate = Gate(incarnation, own_service, services, admission)
        self._gate_runner = GateRunner(gate, timer, backend, self._observer)
        self._local_links = LocalLinks(self._gate_runner, timer)
        self._pool = LinkPool(
            own_target_number, timer, self._local_links, self._address, self._observer, connect
        )
        self._sequence = itertools.count(1)
        self._budget = RetryBudget(0.0)
        self._serving = 0
        self._ready = trio.Event()

    @property
    def links(self) -> int:
        """Return how many links to other agents are open."""
        return self._pool.links

    @property
    def running(self) -> int:
        """Return 0 only if no caller's request and no relayed one is in progress here."""
        return self._serving + self._gate_runner.running

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; requests wait until it has started."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._gate_runner.run)
            await nursery.start(self._local_links.run)
            await nursery.start(self._pool.run)
            self._ready.set()
            task_status.started()

    def stop_new_work(self) -> None:
        """Start nothing at the own gate from now on; what runs goes on to its end."""
        self._gate_runner.stop_new_work()

    def resume_new_work(self) -> None:
        """Start new work at the own gate again."""
        self._gate_runner.resume_new_work()

    def change_bounds(self, slots: int, connections: int, limits: Limits) -> None:
        """Take over the bounds of a changed configuration."""
        self._gate_runner.change_bounds(slots, connections, limits)

    async def serve(self, exchange: Exchange) -> None:
        """Take one request to its end and tell the caller how it ended.

        Cancelling this call, or `CallerGone` from the exchange, cancels the request.
        """
        await self._ready.wait()
        self._serving += 1
        try:
            await exchange.conclude(await self._outcome(exchange))
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
        """Serve a relay link of another agent to its end.

        Args:
            stream: the link, closed at the end.
            first_message: what came first.
            decoder: what cut it from the stream, and holds whatever came after it.
        """
        await self._ready.wait()
        await self._gate_runner.serve_link(StreamLink(stream, decoder, [first_message]))

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
        return await self._ask(exchange, service, request_class)

    def _refuse_undeclared(self, service: Service) -> Outcome:
        outcome = Refused(RefusalReason.UNDECLARED)
        self._observer.on_end(RequestEnd(None, service.tenant, outcome))
        return outcome

    async def _ask(
        self, exchange: Exchange, service: Service, request_class: RequestClass
    ) -> Outcome:
        began = self._timer.now
        deadline = _earliest(exchange.head.deadline, began, request_class.deadline_seconds)
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
        closely = request_class.shape is not RequestShape.SUBSCRIPTION
        asker = Asker(exchange, attempts, deadline, self._timer, self._pool, closely)
        try:
            return await asker.run()
        finally:
            self._observe(service, request_class, attempts, asker, began)

    def _observe(
        self,
        service: Service,
        request_class: RequestClass,
        attempts: Attempts,
        asker: Asker,
        began: float,
    ) -> None:
        first_byte = None if asker.first_byte_at is None else asker.first_byte_at - began
        tally = attempts.tally
        self._observer.on_end(
            RequestEnd(
                request_class,
                service.tenant,
                asker.outcome,
                first_byte,
                self._timer.now - began,
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


def _earliest(named: float | None, now: float, allowed_seconds: float | None) -> float | None:
    declared = None if allowed_seconds is None else now + allowed_seconds
    return min((each for each in (named, declared) if each is not None), default=None)
