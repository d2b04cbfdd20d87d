"""Decides which requests run at one backend server, which wait and which are rejected."""

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
from ._queue import QueueEntry, WaitingQueue, share_of
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

    Only one gate uses it, so it knows exactly which requests run. It reads no clock: every call
    takes the time in seconds of the process's timer service.

    Args:
        slots: largest number of requests that run at once.
        connections: largest number of subscriptions open at once.
        limits: the service's limits on the queue.
        random: adds jitter to retry delays, so that refused callers do not retry at the same time.
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
        """Return the number of slots."""
        return self._slots

    @property
    def connections(self) -> int:
        """Return the largest number of subscriptions open at once."""
        return self._connections

    @property
    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def open_connections(self) -> int:
        """Return the number of open subscriptions."""
        return len(self._subscriptions)

    @property
    def uploads(self) -> int:
        """Return the number of uploads that hold a slot."""
        shapes = [each.ticket.shape for each in self._running.values()]
        return shapes.count(RequestShape.UPLOAD)

    @property
    def outstanding_weight(self) -> float:
        """Return the total weight of the requests that hold a slot or wait for one."""
        return sum(each.ticket.weight for each in self._running.values()) + self._queue.weight

    @property
    def next_expiry(self) -> float | None:
        """Return when `expire` next has a decision to return, in seconds, or None.

        It is minus infinity if a request was displaced from the queue and must be notified now.
        """
        return -math.inf if self._displaced else self._queue.next_expiry

    @property
    def stopped(self) -> bool:
        """Return whether new requests are rejected."""
        return self._stopped

    def ask(self, ticket: Ticket, now: float) -> AdmissionDecision:
        """Decide on a new request.

        The rejection of a request that this one displaces from a full queue is returned by the next
        call of `expire`, which `next_expiry` then makes due at once.

        Raises:
            DuplicateTicket: if a request with this identifier is running or queued.
        """
        if self._is_known(ticket.identifier):
            raise DuplicateTicket(ticket.identifier)
        if self._stopped:
            return self._reject(ticket, RefusalReason.DRAINING, now)
        if not self._can_finish(ticket, now):
            return self._reject(ticket, RefusalReason.DEADLINE, now)
        if ticket.shape is RequestShape.SUBSCRIPTION:
            return self._request_connection(ticket, now)
        if self.running < self._slots and not self._queue:
            return self._admit(ticket, now)
        return self._request_queue_place(ticket, now)

    def release(
        self, identifier: str, now: float, completed: bool = True
    ) -> Sequence[AdmissionDecision]:
        """Free the slot or connection of an ended request and return the resulting decisions.

        Releasing a request that holds nothing has no effect on it.

        Args:
            identifier: identifier of an admitted request.
            now: the time in seconds.
            completed: whether the backend server answered, so that the service time is recorded.
        """
        self._subscriptions.pop(identifier, None)
        ended = self._running.pop(identifier, None)
        if ended is not None and completed:
            self._service_times.record(ended.ticket.class_name, now - ended.started_at, now)
        return self._process_queue(now)

    def cancel(self, identifier: str, now: float) -> Sequence[AdmissionDecision]:
        """Remove a cancelled request and return the resulting decisions.

        This frees the slot of a running request, so call it only after the backend server has
        stopped working on the request.
        """
        self._queue.remove(identifier)
        return self.release(identifier, now, completed=False)

    def expire(self, now: float) -> Sequence[AdmissionDecision]:
        """Return the decisions on requests that were displaced or have waited too long."""
        return self._process_queue(now)

    def stop(self, now: float) -> Sequence[AdmissionDecision]:
        """Reject queued and new requests; running requests continue."""
        self._stopped = True
        return self._process_queue(now)

    def resume(self) -> None:
        """Accept new requests again."""
        self._stopped = False

    def update(
        self, slots: int, connections: int, limits: Limits, now: float
    ) -> Sequence[AdmissionDecision]:
        """Apply changed bounds; running requests continue even if they exceed them."""
        self._slots = slots
        self._connections = connections
        self._limits = limits
        return self._process_queue(now)

    def _is_known(self, identifier: str) -> bool:
        return (
            identifier in self._running
            or identifier in self._subscriptions
            or identifier in self._queue
        )

    def _request_connection(self, ticket: Ticket, now: float) -> AdmissionDecision:
        if len(self._subscriptions) >= self._connections:
            return self._reject(ticket, RefusalReason.FULL, now)
        self._subscriptions[ticket.identifier] = ticket
        return Admitted(ticket.identifier)

    def _request_queue_place(self, ticket: Ticket, now: float) -> AdmissionDecision:
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
        self._queue.add(self._make_entry(ticket, now))
        return Queued(ticket.identifier)

    def _make_entry(self, ticket: Ticket, now: float) -> QueueEntry:
        longest = now + self._limits.queue_seconds
        latest = math.inf
        if ticket.deadline is not None:
            latest = ticket.deadline - self._service_times.expected(ticket.class_name, now)
        return QueueEntry(ticket, next(self._order), min(longest, latest), latest < longest)

    def _process_queue(self, now: float) -> Sequence[AdmissionDecision]:
        decisions = self._displaced
        self._displaced = []
        decisions.extend(self._reject_ended(now))
        while not self._stopped and self.running < self._slots:
            first = self._queue.first(self._shares, now)
            if first is None:
                break
            self._queue.remove(first.ticket.identifier)
            decisions.append(self._start_or_reject(first.ticket, now))
        return decisions

    def _reject_ended(self, now: float) -> list[AdmissionDecision]:
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
        """Return the expected seconds until `places` more slots become free."""
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
