"""Fakes of the collaborators of the requests package."""

from __future__ import annotations

from collections.abc import AsyncIterator, Collection, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import trio

from ...admission import AdmissionDecision, Admitted, Queued, Rejected, Ticket
from ...configuration import Address, Limits, RequestClass, RequestShape, Service, Target
from ...outcomes import Outcome, RefusalReason, Refused
from ...stand_ins.backend_server import BackendBehaviour, BackendServer
from .. import CallerGone, RequestHead

HOST = "127.0.0.1"
NOWHERE = Address(HOST, 9)

LOOKUP = RequestClass("lookup", ("GET",), "/", idempotent=True)
FEED = RequestClass(
    "feed",
    ("GET",),
    "/subscriptions",
    idempotent=True,
    shape=RequestShape.SUBSCRIPTION,
    deadline_seconds=None,
)
ORDER = RequestClass("order", ("POST",), "/order", idempotent=False, weight=4.0)
UPLOAD = RequestClass("upload", ("PUT",), "/upload", idempotent=False, shape=RequestShape.UPLOAD)


def make_service(*targets: Target, name: str = "catalog") -> Service:
    classes = (LOOKUP, FEED, ORDER, UPLOAD)
    # Each request earns its own retries here; exhausted budgets are tested in test_retry_budget.
    limits = Limits(retry_share=3.0)
    return Service(name, 1, "sibiu", "catalog.example", (), classes, targets, limits)


def make_target(number: int, relay: Address = NOWHERE, backend: Address = NOWHERE) -> Target:
    return Target(
        f"t{number}", number, "catalog", "zone", NOWHERE, relay, NOWHERE, backend, slots=2
    )


@dataclass
class SimpleAdmission:
    """Slots and an unbounded first-in-first-out queue."""

    slots: int = 2
    queue_length: int = 2
    held: list[str] = field(default_factory=list)
    queue: list[Ticket] = field(default_factory=list)
    stopped: bool = False

    def ask(self, ticket: Ticket, now: float) -> AdmissionDecision:
        if self.stopped:
            return Rejected(ticket.identifier, Refused(RefusalReason.DRAINING))
        if len(self.held) < self.slots:
            self.held.append(ticket.identifier)
            return Admitted(ticket.identifier)
        if len(self.queue) < self.queue_length:
            self.queue.append(ticket)
            return Queued(ticket.identifier)
        return Rejected(ticket.identifier, Refused(RefusalReason.FULL))

    def release(self, identifier: str, now: float) -> Sequence[AdmissionDecision]:
        if identifier in self.held:
            self.held.remove(identifier)
        return self._admit()

    def cancel(self, identifier: str, now: float) -> Sequence[AdmissionDecision]:
        self.queue = [each for each in self.queue if each.identifier != identifier]
        return self.release(identifier, now)

    def expire(self, now: float) -> Sequence[AdmissionDecision]:
        late = [each for each in self.queue if each.deadline is not None and each.deadline <= now]
        self.queue = [each for each in self.queue if each not in late]
        return [Rejected(each.identifier, Refused(RefusalReason.DEADLINE)) for each in late]

    def stop(self, now: float) -> Sequence[AdmissionDecision]:
        self.stopped = True
        waiting, self.queue = self.queue, []
        return [Rejected(each.identifier, Refused(RefusalReason.DRAINING)) for each in waiting]

    def resume(self) -> None:
        self.stopped = False

    def update(
        self, slots: int, connections: int, limits: Limits, now: float
    ) -> Sequence[AdmissionDecision]:
        self.slots = slots
        return self._admit()

    def _admit(self) -> Sequence[AdmissionDecision]:
        admitted: list[AdmissionDecision] = []
        while self.queue and len(self.held) < self.slots:
            ticket = self.queue.pop(0)
            self.held.append(ticket.identifier)
            admitted.append(Admitted(ticket.identifier))
        return admitted


@dataclass
class SimplePlacement:
    """Chooses targets in a fixed order."""

    order: tuple[int, ...]
    outstanding: float = 0.0
    refused: list[tuple[int, RefusalReason]] = field(default_factory=list)
    granted: list[int] = field(default_factory=list)

    def choose(
        self, request_class: RequestClass, exclude: Collection[int], now: float
    ) -> int | None:
        return next((number for number in self.order if number not in exclude), None)

    def on_sent(self, target_number: int, weight: float, now: float, shape: RequestShape) -> None:
        self.outstanding += weight

    def on_granted(self, target_number: int, now: float, shape: RequestShape) -> None:
        self.granted.append(target_number)

    def on_finished(
        self, target_number: int, weight: float, now: float, shape: RequestShape
    ) -> None:
        self.outstanding -= weight

    def on_refused(self, target_number: int, reason: RefusalReason, now: float) -> None:
        self.refused.append((target_number, reason))


class FakeExchange:
    """An in-memory caller."""

    def __init__(
        self,
        method: str,
        path: str,
        body: Sequence[bytes] = (),
        headers: Sequence[tuple[bytes, bytes]] = (),
        deadline: float | None = None,
    ) -> None:
        self._head = RequestHead("catalog", method, path, tuple(headers), deadline)
        self._pieces = list(body)
        self._gone = False
        self.stalled = False
        self.status: int | None = None
        self.data = b""
        self.outcome: Outcome | None = None
        self.changed = trio.Event()

    @property
    def head(self) -> RequestHead:
        return self._head

    @property
    def answer_begun(self) -> bool:
        return self.status is not None

    async def receive_body(self) -> bytes | None:
        await trio.lowlevel.checkpoint()
        return self._pieces.pop(0) if self._pieces else None

    async def send_head(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        await trio.lowlevel.checkpoint()
        self.status = status
        self._notify()

    async def send_data(self, data: bytes) -> None:
        await trio.lowlevel.checkpoint()
        while self.stalled:
            await self.changed.wait()
        if self._gone:
            raise CallerGone
        self.data += data
        self._notify()

    async def conclude(self, outcome: Outcome) -> None:
        self.outcome = outcome
        self._notify()

    def leave(self) -> None:
        self._gone = True

    async def wait_for_data(self, length: int) -> None:
        while len(self.data) < length:
            await self.changed.wait()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


@asynccontextmanager
async def running_backend(
    behaviour: BackendBehaviour | None = None, service: str = "catalog"
) -> AsyncIterator[tuple[BackendServer, Address]]:
    server = BackendServer(service, behaviour or BackendBehaviour(seconds_per_weight=0.0))
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, HOST, 0)
        yield server, Address(HOST, port)
        nursery.cancel_scope.cancel()


def with_targets(service: Service, *targets: Target) -> Service:
    return replace(service, targets=targets)
