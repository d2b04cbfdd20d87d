"""What a gate remembers of identifiers, and what it can still say once it has forgotten some."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container

from ._gate_request import GateRequest
from ._messages import GateMark, RequestId

MEMORY_SECONDS = 60.0
MAXIMUM_REMEMBERED = 20_000


class GateMemory:
    """Requests by identifier, and identifiers that were withdrawn before they were asked for.

    An Open or a Resume carries a mark that its asker knew before it sent the Open. Whatever was
    forgotten arrived at some time of this gate; an identifier whose mark is later than all of
    these times was never forgotten, and if it is not remembered, it never came.

    Args:
        incarnation: differs in each run of this agent.
    """

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._requests: dict[RequestId, GateRequest] = {}
        self._ended: OrderedDict[RequestId, float] = OrderedDict()
        self._withdrawn: OrderedDict[RequestId, float] = OrderedDict()
        self._spent: OrderedDict[RequestId, float] = OrderedDict()
        self._latest_forgotten = float("-inf")

    def __len__(self) -> int:
        return len(self._requests) + len(self._withdrawn) + len(self._spent)

    def running(self, awaited: Container[RequestId]) -> int:
        """Return how many requests wait, run, or have an asker that may still take the rest.

        Args:
            awaited: requests without a link whose askers may come back.
        """
        return sum(
            1
            for identifier, each in self._requests.items()
            if identifier in awaited or not _is_over(each)
        )

    def get(self, identifier: RequestId) -> GateRequest | None:
        """Return a request, or None if it is not known."""
        return self._requests.get(identifier)

    def add(self, request: GateRequest) -> None:
        """Remember a request."""
        self._requests[request.open.identifier] = request

    def note_end(self, identifier: RequestId, now: float) -> None:
        """Note that a request has its verdict, so that it may be forgotten some time."""
        self._ended[identifier] = now

    def compact(self, request: GateRequest, now: float) -> None:
        """Keep no more than the identifier of a request whose asker has its whole answer."""
        identifier = request.open.identifier
        if request.launched:
            return
        del self._requests[identifier]
        self._ended.pop(identifier, None)
        self._spent[identifier] = now

    def is_spent(self, identifier: RequestId) -> bool:
        """Return whether a request has run, and its asker has its whole answer."""
        return identifier in self._spent

    def withdraw(self, identifier: RequestId, now: float) -> None:
        """Remember that an unknown identifier must not start."""
        self._withdrawn[identifier] = now

    def is_withdrawn(self, identifier: RequestId) -> bool:
        """Return whether an identifier was withdrawn."""
        return identifier in self._withdrawn

    def was_never_forgotten(self, mark: GateMark) -> bool:
        """Return whether nothing sent after `mark` can have been forgotten."""
        return mark.incarnation == self._incarnation and mark.time > self._latest_forgotten

    def forget_old(self, now: float) -> None:
        """Forget what is old, or too much."""
        for identifiers in (self._withdrawn, self._spent):
            self._forget_identifiers(identifiers, now)
        for _ in range(len(self._ended)):
            identifier, since = next(iter(self._ended.items()))
            if not self._is_due(since, now):
                break
            del self._ended[identifier]
            self._forget_request(identifier, now)

    def _forget_identifiers(self, identifiers: OrderedDict[RequestId, float], now: float) -> None:
        while identifiers:
            identifier, since = next(iter(identifiers.items()))
            if not self._is_due(since, now):
                return
            del identifiers[identifier]
            self._latest_forgotten = max(self._latest_forgotten, since)

    def _is_due(self, since: float, now: float) -> bool:
        return now - since >= MEMORY_SECONDS or len(self) > MAXIMUM_REMEMBERED

    def _forget_request(self, identifier: RequestId, now: float) -> None:
        request = self._requests[identifier]
        if request.link is not None or request.launched:
            self._ended[identifier] = now
            return
        del self._requests[identifier]
        self._latest_forgotten = max(self._latest_forgotten, request.asked_at)


def _is_over(request: GateRequest) -> bool:
    return request.finished or (request.verdict is not None and request.link is None)
