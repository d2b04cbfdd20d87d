"""The short queue before the slots of one backend server."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from ._messages import Ticket
from ._shares import FairShares, Share


@dataclass(frozen=True, slots=True)
class Waiting:
    """A ticket in the queue.

    Attributes:
        order: rank of arrival.
        expires_at: when it stops waiting, in seconds.
        deadline_bound: whether its deadline sets `expires_at`, and not the longest wait.
    """

    ticket: Ticket
    order: int
    expires_at: float
    deadline_bound: bool

    @property
    def share(self) -> Share:
        """Return whose part of the capacity it counts against."""
        return share_of(self.ticket)


def share_of(ticket: Ticket) -> Share:
    """Return whose part of the capacity a ticket counts against."""
    return Share(ticket.tenant, ticket.class_name)


class WaitingQueue:
    """Tickets in order of priority, then least used share, then earliest deadline."""

    def __init__(self) -> None:
        self._entries: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, identifier: str) -> bool:
        return identifier in self._entries

    def __iter__(self) -> Iterator[Waiting]:
        return iter(tuple(self._entries.values()))

    @property
    def weight(self) -> float:
        """Return the weight of all that wait."""
        return sum(entry.ticket.weight for entry in self._entries.values())

    @property
    def next_expiry(self) -> float | None:
        """Return when the first entry stops waiting, or None."""
        return min((entry.expires_at for entry in self._entries.values()), default=None)

    def add(self, entry: Waiting) -> None:
        """Put an entry into the queue."""
        self._entries[entry.ticket.identifier] = entry

    def remove(self, identifier: str) -> Waiting | None:
        """Take an entry out and return it, or None if it does not wait."""
        return self._entries.pop(identifier, None)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many of those that wait go before a newcomer of this priority."""
        return sum(entry.ticket.priority <= ticket.priority for entry in self._entries.values())

    def first(self, shares: FairShares, now: float) -> Waiting | None:
        """Return the entry that runs next, or None."""
        return min(
            self._entries.values(),
            key=lambda entry: _rank(entry, shares.used(entry.share, now)),
            default=None,
        )

    def displaced_by(self, ticket: Ticket, shares: FairShares, now: float) -> Waiting | None:
        """Return the entry that a newcomer pushes out of a full queue, or None.

        It is the last in order, if its priority is lower than the newcomer's, or is the same and
        its tenant stays above the newcomer's tenant even when the newcomer is counted.
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
        newcomer = used.get(ticket.tenant, 0.0) + ticket.weight
        return last if used[last.ticket.tenant] - last.ticket.weight > newcomer else None


def _rank(entry: Waiting, used: float) -> tuple[int, float, float, int]:
    deadline = entry.ticket.deadline
    return (entry.ticket.priority, used, math.inf if deadline is None else deadline, entry.order)
