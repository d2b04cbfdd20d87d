"""Decides which requests run at one backend server, which wait and which are turned away."""

from __future__ import annotations

import itertools
import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from ..configuration import Limits, RequestShape
from ..outcomes import RefusalReason, Refused
from ._exceptions import DuplicateTicket
from ._messages import AdmissionDecision, Admitted, Queued, Rejected, Ticket
from ._queue import Waiting, WaitingQueue, share_of
from ._service_times import ServiceTimes
from ._shares import FairShares

SHORTEST_RETRY_AFTER_SECONDS = 0.05
LONGEST_RETRY_AFTER_SECONDS = 10.0
CONNECTION_RETRY_AFTER_SECONDS = 2.0
JITTER = 0.5


@dataclass(frozen=True, slots=True)
class _Running:
    ticket: Ticket
    started_at: float


class Admission:
    """The slots, the connections and the queue of one backend server.

    It is asked by one gate only, which therefore knows exactly what runs. It reads no clock: every
    call takes the time in seconds of the process's timer service.

    Args:
        slots: requests that run at once.
        connections: subscriptions open at once.
        limits: the service's bounds on the queue.
        random: spreads the times at which refused callers come back.
    """

    def __init__(self, slots: int, connections: int, limits: Limits, random: Random) -> None:
        self._slots = slots
        self._connections = connections
        self._limits = limits
        self._random = random
        self._running: dict[str, _Running] = {}
        self._subscriptions: dict[str, Ticket] = {}
        self._queue = WaitingQueue()
        self._displaced: list[AdmissionDecision] = []
        self._service_times = ServiceTimes()
        self._shares = FairShares()
        self._order = itertools.count()
        self._stopped = False

    @property
    def slots(self) -> int:
        """Return how many requests may run at once."""
        return self._slots

    @property
    def connections(self) -> int:
        """Return how many subscriptions may be open at once."""
        return self._connections

    @property
    def running(self) -> int:
        """Return how many requests hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._queue)

    @property
    def open_connections(self) -> int:
        """Return how many subscriptions are open."""
        return len(self._subscriptions)

    @property
    def uploads(self) -> int:
        """Return how many uploads hold a slot."""
        shapes = [each.ticket.shape for each in self._running.values()]
        return shapes.count(RequestShape.UPLOAD)

    @property
    def outstanding_weight(self) -> float:
        """Return the weight of the requests that hold a slot or wait for one."""
        return sum(each.ticket.weight for each in self._running.values()) + self._queue.weight

    @property
    def next_expiry(self) -> float | None:
        """Return when `expire` has something to tell, in seconds, or None.

        It is minus infinity when a request was pushed out of the queue and is to be told now.
        """
        return -math.inf if self._displaced else self._queue.next_expiry

    @property
    def stopped(self) -> bool:
        """Return whether new requests are turned away."""
        return self._stopped

    def ask(self, ticket: Ticket, now: float) -> AdmissionDecision:
        """Decide on a new request.

        A request that this one pushes out of a full queue is told of by the next `expire`, which
        `next_expiry` then asks for at once.

        Raises:
            DuplicateTicket: if a request with this identifier runs or waits.
        """
        if self._holds(ticket.identifier):
            raise DuplicateTicket(ticket.identifier)
        if self._stopped:
            return self._reject(ticket, RefusalReason.DRAINING, now)
        if not self._can_finish(ticket, now):
            return self._reject(ticket, RefusalReason.DEADLINE, now)
        if ticket.shape is RequestShape.SUBSCRIPTION:
            return self._ask_for_connection(ticket, now)
        if self.running < self._slots and not self._queue:
            return self._admit(ticket, now)
        return self._ask_for_place(ticket, now)

    def release(
        self, identifier: str, now: float, completed: bool = True
    ) -> Sequence[AdmissionDecision]:
        """Give back what an ended request held, and return the decisions that follow from it.

        Releasing a request that holds nothing changes nothing.

        Args:
            identifier: of a request that was admitted.
            now: the time in seconds.
            completed: whether the backend server answered, so that its service time counts.
        """
        self._subscriptions.pop(identifier, None)
        ended = self._running.pop(identifier, None)
        if ended is not None and completed:
            self._service_times.learn(ended.ticket.class_name, now - ended.started_at, now)
        return self._settle(now)

    def cancel(self, identifier: str, now: float) -> Sequence[AdmissionDecision]:
        """Forget a request whose caller withdrew it, and return the decisions that follow.

        A request that runs gives up its slot here, so cancel it only when the backend server has
        let go of it.
        """
        self._queue.remove(identifier)
        return self.release(identifier, now, completed=False)

    def expire(self, now: float) -> Sequence[AdmissionDecision]:
        """Return the decisions on those that were pushed out or have waited too long."""
        return self._settle(now)

    def stop(self, now: float) -> Sequence[AdmissionDecision]:
        """Turn away all that wait and all that come; what runs goes on."""
        self._stopped = True
        return self._settle(now)

    def resume(self) -> None:
        """Take new requests again."""
        self._stopped = False

    def update(
        self, slots: int, connections: int, limits: Limits, now: float
    ) -> Sequence[AdmissionDecision]:
        """Take over changed bounds; what runs beyond them goes on to its end."""
        self._slots = slots
        self._connections = connections
        self._limits = limits
        return self._settle(now)

    def _holds(self, identifier: str) -> bool:
        return (
            identifier in self._running
            or identifier in self._subscriptions
            or identifier in self._queue
        )

    def _ask_for_connection(self, ticket: Ticket, now: float) -> AdmissionDecision:
        if len(self._subscriptions) >= self._connections:
            return self._reject(ticket, RefusalReason.FULL, now)
        self._subscriptions[ticket.identifier] = ticket
        return Admitted(ticket.identifier)

    def _ask_for_place(self, ticket: Ticket, now: float) -> AdmissionDecision:
        wait_seconds = self._expected_wait(self._queue.ahead_of(ticket) + 1, now)
        if wait_seconds > self._limits.queue_seconds:
            return self._reject(ticket, RefusalReason.OVERLOAD, now)
        if not self._can_finish(ticket, now + wait_seconds):
            return self._reject(ticket, RefusalReason.OVERLOAD, now)
        if len(self._queue) >= self._limits.queue_length * self._slots:
            displaced = self._queue.displaced_by(ticket, self._shares, now)
            if displaced is None:
                return self._reject(ticket, RefusalReason.FULL, now)
            self._queue.remove(displaced.ticket.identifier)
            self._displaced.append(self._reject(displaced.ticket, RefusalReason.OVERLOAD, now))
        self._queue.add(self._waiting(ticket, now))
        return Queued(ticket.identifier)

    def _waiting(self, ticket: Ticket, now: float) -> Waiting:
        longest = now + self._limits.queue_seconds
        latest = math.inf
        if ticket.deadline is not None:
            latest = ticket.deadline - self._service_times.expected(ticket.class_name, now)
        return Waiting(ticket, next(self._order), min(longest, latest), latest < longest)

    def _settle(self, now: float) -> Sequence[AdmissionDecision]:
        decisions = self._displaced
        self._displaced = []
        decisions.extend(self._turn_away(now))
        while not self._stopped and self.running < self._slots:
            first = self._queue.first(self._shares, now)
            if first is None:
                break
            self._queue.remove(first.ticket.identifier)
            decisions.append(self._start_or_reject(first.ticket, now))
        return decisions

    def _turn_away(self, now: float) -> list[AdmissionDecision]:
        if self._stopped:
            ended = [(entry, RefusalReason.DRAINING) for entry in self._queue]
        else:
            ended = [
                (entry, RefusalReason.DEADLINE if entry.deadline_bound else RefusalReason.OVERLOAD)
                for entry in self._queue
                if entry.expires_at <= now
            ]
        for entry, _ in ended:
            self._queue.remove(entry.ticket.identifier)
        return [self._reject(entry.ticket, reason, now) for entry, reason in ended]

    def _start_or_reject(self, ticket: Ticket, now: float) -> AdmissionDecision:
        if not self._can_finish(ticket, now):
            return self._reject(ticket, RefusalReason.DEADLINE, now)
        return self._admit(ticket, now)

    def _admit(self, ticket: Ticket, now: float) -> Admitted:
        self._running[ticket.identifier] = _Running(ticket, now)
        self._shares.charge(share_of(ticket), ticket.weight, now)
        return Admitted(ticket.identifier)

    def _can_finish(self, ticket: Ticket, start: float) -> bool:
        if ticket.deadline is None:
            return True
        expected = self._service_times.expected(ticket.class_name, start)
        return start < ticket.deadline and start + expected <= ticket.deadline

    def _expected_wait(self, places: int, now: float) -> float:
        """Return the seconds until `places` more slots have come free."""
        if not self._running or self._slots < 1:
            return 0.0
        expected = sum(
            self._service_times.expected(each.ticket.class_name, now)
            for each in self._running.values()
        )
        mean = expected / len(self._running)
        return places * mean / self._slots

    def _reject(self, ticket: Ticket, reason: RefusalReason, now: float) -> Rejected:
        match reason:
            case RefusalReason.FULL if ticket.shape is RequestShape.SUBSCRIPTION:
                seconds = CONNECTION_RETRY_AFTER_SECONDS
            case RefusalReason.FULL | RefusalReason.OVERLOAD:
                seconds = self._expected_wait(len(self._queue) + 1, now)
            case _:
                seconds = SHORTEST_RETRY_AFTER_SECONDS
        seconds = min(max(seconds, SHORTEST_RETRY_AFTER_SECONDS), LONGEST_RETRY_AFTER_SECONDS)
        spread = self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
        return Rejected(ticket.identifier, Refused(reason, seconds * spread))
