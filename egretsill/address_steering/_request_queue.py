"""Requests that wait at an agent while all of its target's capacity is in use.

A target serves in the order of arrival, so after an outage everybody would wait behind the backlog
and nearly all answers would be late. Here the requests whose answers can still be in time go first,
then those that are late but whose callers still wait. What can't be answered before its caller
gives up is not started: it never ran. More urgent routes go first within both groups.

While all can be in time, the earliest deadline goes first (Liu and Layland, 1973). Under overload
that would answer everybody at the deadline as the agent sees it, which is too late for callers
whose packets were delayed on the way; so then the newest goes first (adaptive LIFO; Maurer, "Fail
at Scale", ACM Queue, 2015). Late requests go by earliest time of giving up.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ._packet import FlowKey

MAXIMUM_WAITING = 512  # requests; more than callers send in the time that they wait
MAXIMUM_PACKETS = 64  # of one request; a caller has 16 packets in flight and sends some again


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """The beginning of a request that the target has not seen yet.

    Attributes:
        flow: its flow.
        arrived_at: when its first packet came, or would have come if none had been lost.
        aim_at: when its caller wants the answer.
        limit_at: when its caller gives up.
        urgency: rank of its route, 0 the most urgent.
        packets: its packets by sequence number, in the order of arrival.
    """

    flow: FlowKey
    arrived_at: float
    aim_at: float
    limit_at: float
    urgency: int
    packets: dict[int, bytes] = field(default_factory=dict)

    def add(self, sequence: int, datagram: bytes) -> None:
        """Keep a packet; one that was sent again replaces the first."""
        if sequence in self.packets or len(self.packets) < MAXIMUM_PACKETS:
            self.packets[sequence] = datagram


class RequestQueue:
    """Waiting requests by flow."""

    def __init__(self) -> None:
        self._waiting: dict[FlowKey, WaitingRequest] = {}
        self._expired = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Return whether no more requests may wait."""
        return len(self._waiting) >= MAXIMUM_WAITING

    @property
    def expired(self) -> int:
        """Return how many requests were dropped because their callers had given up."""
        return self._expired

    def get(self, flow: FlowKey) -> WaitingRequest | None:
        """Return the waiting request of a flow."""
        return self._waiting.get(flow)

    def push(self, request: WaitingRequest) -> None:
        """Let a request wait."""
        self._waiting[request.flow] = request

    def remove(self, flow: FlowKey) -> WaitingRequest | None:
        """Return a flow's request and forget it."""
        return self._waiting.pop(flow, None)

    def expire(self, now: float) -> Sequence[WaitingRequest]:
        """Return the requests whose callers have given up, and forget them."""
        expired = [each for each in self._waiting.values() if each.limit_at <= now]
        for request in expired:
            del self._waiting[request.flow]
        self._expired += len(expired)
        return expired

    def pop_next(
        self, now: float, service_seconds: float, in_progress: int
    ) -> WaitingRequest | None:
        """Return the request to start now, or None if nothing waits; ask `expire` before.

        Args:
            now: local time.
            service_seconds: how long the target works on a request.
            in_progress: how many requests it has at once, at least one.
        """
        if not self._waiting:
            return None
        answered_at = now + service_seconds
        timely = [each for each in self._waiting.values() if answered_at <= each.aim_at]
        if not timely:
            chosen = min(self._waiting.values(), key=lambda each: _late_order(each, answered_at))
        elif _is_overload(timely, now, service_seconds / in_progress):
            chosen = min(timely, key=lambda each: (each.urgency, -each.arrived_at))
        else:
            chosen = min(timely, key=lambda each: (each.urgency, each.aim_at))
        return self._waiting.pop(chosen.flow)


def _is_overload(timely: Iterable[WaitingRequest], now: float, seconds_each: float) -> bool:
    """Return whether some can't be in time even if the earliest deadline goes first."""
    ordered = sorted(timely, key=lambda each: each.aim_at)
    return any(
        now + seconds_each * number > each.aim_at for number, each in enumerate(ordered, start=1)
    )


def _late_order(request: WaitingRequest, answered_at: float) -> tuple[bool, int, float]:
    if answered_at <= request.limit_at:
        return False, request.urgency, request.limit_at
    return True, request.urgency, -request.limit_at
