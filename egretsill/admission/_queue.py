"""The short queue for the slots of one backend server."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from ._messages import Ticket
from ._shares import FairShares, Share


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A ticket in the queue.

    Attributes:
        order: sequence number of arrival.
        expires_at: when it is rejected if it still waits, in seconds.
        deadline_bound: whether `expires_at` follows from its deadline, not from the longest wait.
    """

    ticket: Ticket
    order: int
    expires_at: float
    deadline_bound: bool

    @property
    def share(self) -> Share:
        """Return the share of the capacity that it counts against."""
        return share_of(self.ticket)


def share_of(ticket: Ticket) -> Share:
    """Return the share of the capacity that a ticket counts against."""
    return Share(ticket.tenant, ticket.class_name)


class WaitingQueue:
    """Tickets ordered by priority, then least used share, earliest deadline and arrival."""

    def __init__(self) -> None:
        self._entries: dict[str, QueueEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, identifier: str) -> bool:
        return identifier in self._entries

    def __iter__(self) -> Iterator[QueueEntry]:
        return iter(tuple(self._entries.values()))

    @property
    def weight(self) -> float:
        """Return the total weight of the queued tickets."""
        return sum(entry.ticket.weight for entry in self._entries.values())

    @property
    def next_expiry(self) -> float | None:
        """Return the earliest expiry of an entry, or None if the queue is empty."""
        return min((entry.expires_at for entry in self._entries.values()), default=None)

    def add(self, entry: QueueEntry) -> None:
        """Add an entry."""
        self._entries[entry.ticket.identifier] = entry

    def remove(self, identifier: str) -> QueueEntry | None:
        """Remove an entry and return it, or None if it is not queued."""
        return self._entries.pop(identifier, None)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many entries run before a new ticket, judged by priority alone."""
        return sum(entry.ticket.priority <= ticket.priority for entry in self._entries.values())

    def first(self, shares: FairShares, now: float) -> QueueEntry | None:
        """Return the entry to run next, or None if the queue is empty."""
        return min(
            self._entries.values(),
            key=lambda entry: _rank(entry, shares.used(entry.share, now)),
            default=None,
        )

    def displaced_by(self, ticket: Ticket, shares: FairShares, now: float) -> QueueEntry | None:
        """Return the entry that a new ticket displaces from a full queue, or None.

        This is the last entry in order if its priority is lower than the new ticket's. With equal
        priorities, its tenant's use without the entry must also exceed the use of the new ticket's
        tenant including the new ticket.
        """
        last = max(
            self._entries.values(),
            key=lambda entry: _rank(entry, shares.used(entry.share, now)),
            default=None,
        )
        if last is None or last.ticket.priority < ticket.priority:
            return None
        if last.ticket.priority > ticket.priority:
            return last
        if last.ticket.tenant == ticket.tenant:
            return None
        used = shares.used_by_tenant(now)
        for entry in self._entries.values():
            tenant = entry.ticket.tenant
            used[tenant] = used.get(tenant, 0.0) + entry.ticket.weight
        used_with_ticket = used.get(ticket.tenant, 0.0) + ticket.weight
        return last if used[last.ticket.tenant] - last.ticket.weight > used_with_ticket else None


def _rank(entry: QueueEntry, used: float) -> tuple[int, float, float, int]:
    deadline = entry.ticket.deadline
    return (entry.ticket.priority, used, math.inf if deadline is None else deadline, entry.order)
