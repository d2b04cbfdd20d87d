"""A gate's bounded memory of request identifiers, which detects what may have been evicted."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container

from ._gate_request import GateRequest
from ._messages import GateMark, RequestId

MEMORY_SECONDS = 60.0
MAXIMUM_REMEMBERED = 20_000


class GateMemory:
    """Requests by identifier, and identifiers that were withdrawn before their Open arrived.

    An Open or a Resume carries a mark that its requester received before it sent the Open. Every
    evicted identifier arrived at a known time on this gate's clock. So an identifier whose mark is
    later than all of these times was not evicted, and if it is not remembered, it never arrived.

    Args:
        incarnation: number that differs in each run of this agent.
    """

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._requests: dict[RequestId, GateRequest] = {}
        self._ended: OrderedDict[RequestId, float] = OrderedDict()
        self._withdrawn: OrderedDict[RequestId, float] = OrderedDict()
        self._delivered: OrderedDict[RequestId, float] = OrderedDict()
        self._latest_evicted = float("-inf")

    def __len__(self) -> int:
        return len(self._requests) + len(self._withdrawn) + len(self._delivered)

    def running(self, resumable: Container[RequestId]) -> int:
        """Return how many requests wait, run, or may still be resumed by their requester.

        Args:
            resumable: requests without a link whose requesters may still resume them.
        """
        return sum(
            1
            for identifier, each in self._requests.items()
            if identifier in resumable or not _is_settled(each)
        )

    def get(self, identifier: RequestId) -> GateRequest | None:
        """Return a request, or None if it is unknown."""
        return self._requests.get(identifier)

    def add(self, request: GateRequest) -> None:
        """Remember a request."""
        self._requests[request.open.identifier] = request

    def note_end(self, identifier: RequestId, now: float) -> None:
        """Record that a request has its verdict, so that it may be evicted later."""
        self._ended[identifier] = now

    def compact(self, request: GateRequest, now: float) -> None:
        """Keep only the identifier of a request whose answer was fully delivered."""
        identifier = request.open.identifier
        if request.launched:
            return
        del self._requests[identifier]
        self._ended.pop(identifier, None)
        self._delivered[identifier] = now

    def is_delivered(self, identifier: RequestId) -> bool:
        """Return whether a request has run and its answer was fully delivered."""
        return identifier in self._delivered

    def withdraw(self, identifier: RequestId, now: float) -> None:
        """Prevent an unknown identifier from starting later."""
        self._withdrawn[identifier] = now

    def is_withdrawn(self, identifier: RequestId) -> bool:
        """Return whether an identifier was withdrawn."""
        return identifier in self._withdrawn

    def is_complete_since(self, mark: GateMark) -> bool:
        """Return whether nothing sent after `mark` can have been evicted."""
        return mark.incarnation == self._incarnation and mark.time > self._latest_evicted

    def evict_old(self, now: float) -> None:
        """Evict entries that are older than `MEMORY_SECONDS` or exceed `MAXIMUM_REMEMBERED`."""
        for identifiers in (self._withdrawn, self._delivered):
            self._evict_identifiers(identifiers, now)
        for _ in range(len(self._ended)):
            identifier, since = next(iter(self._ended.items()))
            if not self._is_evictable(since, now):
                break
            del self._ended[identifier]
            self._evict_request(identifier, now)

    def _evict_identifiers(self, identifiers: OrderedDict[RequestId, float], now: float) -> None:
        while identifiers:
            identifier, since = next(iter(identifiers.items()))
            if not self._is_evictable(since, now):
                return
            del identifiers[identifier]
            self._latest_evicted = max(self._latest_evicted, since)

    def _is_evictable(self, since: float, now: float) -> bool:
        return now - since >= MEMORY_SECONDS or len(self) > MAXIMUM_REMEMBERED

    def _evict_request(self, identifier: RequestId, now: float) -> None:
        request = self._requests[identifier]
        if request.link is not None or request.launched:
            self._ended[identifier] = now
            return
        del self._requests[identifier]
        self._latest_evicted = max(self._latest_evicted, request.received_at)


def _is_settled(request: GateRequest) -> bool:
    return request.finished or (request.verdict is not None and request.link is None)
