"""Queue of requests that wait at an agent while all of its target's capacity is in use.

A target serves in the order of arrival, so after an outage all requests would wait behind the
backlog and nearly all answers would be late. The queue holds the requests back, and starts them in
the order of `_service_order`. A request whose caller has given up is not started.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ._packet import FlowKey, FlowPacket
from ._service_order import (
    CallerShares,
    ExpectedSeconds,
    Standing,
    Urgency,
    choose_next,
    standing_of,
    urgency_of,
)
from ._tunnel import Envelope

MAXIMUM_WAITING = 512  # requests; more than callers send before they give up
MAXIMUM_PACKETS = 64  # of one request; a caller has 16 packets in flight and retransmits some


@dataclass(frozen=True, slots=True)
class HeldSyn:
    """A SYN packet of a flow that is not open yet.

    Attributes:
        envelope: path of the packet to this agent.
        packet: the packet.
        alternatives: other agents that may get it.
        held_at: since when it has waited.
    """

    envelope: Envelope
    packet: FlowPacket
    alternatives: tuple[int, ...]
    held_at: float


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """The packets received so far of a request that was not delivered to the target yet.

    Attributes:
        flow: its flow.
        arrived_at: when its first packet came, or would have come if none had been lost.
        objective_at: time of its latency objective, until which its caller wants the answer.
        deadline_at: when its caller gives up.
        priority: priority of its route, 0 is the highest.
        packets: its packets by sequence number, in the order of arrival.
        syn: the SYN packet if the flow is not open yet, so that no packets have come.
        caller_closed: whether its caller has closed its direction, most likely to give up.
    """

    flow: FlowKey
    arrived_at: float
    objective_at: float
    deadline_at: float
    priority: int
    packets: dict[int, bytes] = field(default_factory=dict)
    syn: HeldSyn | None = None
    caller_closed: bool = False

    def may_go_to(self, host: int) -> bool:
        """Return whether this is a SYN packet that another agent may get and hasn't had yet."""
        syn = self.syn
        return syn is not None and host in syn.alternatives and host not in syn.envelope.visited

    def add(self, sequence: int, datagram: bytes) -> None:
        """Add a packet; a retransmitted one replaces the earlier one."""
        if sequence in self.packets or len(self.packets) < MAXIMUM_PACKETS:
            self.packets[sequence] = datagram


class RequestQueue:
    """Waiting requests by flow."""

    def __init__(self) -> None:
        self._waiting: dict[FlowKey, WaitingRequest] = {}
        self._shares = CallerShares()
        self._expired = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Return whether the queue accepts no more requests."""
        return len(self._waiting) >= MAXIMUM_WAITING

    @property
    def flows(self) -> Iterable[FlowKey]:
        """Return the flows whose requests or SYN packets wait, in the order of arrival."""
        return self._waiting.keys()

    @property
    def held(self) -> Sequence[WaitingRequest]:
        """Return the requests of flows that are not open yet, in the order of arrival."""
        return [each for each in self._waiting.values() if each.syn is not None]

    @property
    def expired(self) -> int:
        """Return how many requests were dropped because their callers had given up."""
        return self._expired

    def get(self, flow: FlowKey) -> WaitingRequest | None:
        """Return the waiting request of a flow."""
        return self._waiting.get(flow)

    def push(self, request: WaitingRequest) -> None:
        """Add a request to the queue."""
        self._waiting[request.flow] = request

    def remove(self, flow: FlowKey) -> WaitingRequest | None:
        """Remove and return a flow's request."""
        return self._waiting.pop(flow, None)

    def note_closed(self, flow: FlowKey) -> None:
        """Record that the caller of a flow has closed its direction."""
        waiting = self._waiting.get(flow)
        if waiting is not None:
            waiting.caller_closed = True

    def discard_syn(self, flow: FlowKey) -> None:
        """Remove a flow's SYN packet, because the flow was opened elsewhere."""
        waiting = self._waiting.get(flow)
        if waiting is not None and waiting.syn is not None:
            del self._waiting[flow]

    def expire(self, now: float) -> Sequence[WaitingRequest]:
        """Remove and return the requests whose callers have given up."""
        expired = [each for each in self._waiting.values() if each.deadline_at <= now]
        for request in expired:
            del self._waiting[request.flow]
        self._expired += len(expired)
        return expired

    def next(
        self,
        now: float,
        expected_seconds: ExpectedSeconds[WaitingRequest],
        in_progress: int,
        may_open: bool = True,
    ) -> tuple[WaitingRequest, Urgency] | None:
        """Return the request to start now and its urgency, or None if none waits.

        The caller removes expired requests with `expire` first.

        Args:
            now: local time.
            expected_seconds: returns how long the target is likely to work on a request.
            in_progress: how many requests it works on concurrently, at least one.
            may_open: whether it may be a SYN packet.
        """
        waiting = [each for each in self._waiting.values() if may_open or each.syn is None]
        return self._choose(waiting, now, expected_seconds, in_progress)

    def next_held(
        self,
        now: float,
        expected_seconds: ExpectedSeconds[WaitingRequest],
        in_progress: int,
        host: int | None = None,
    ) -> tuple[WaitingRequest, Urgency] | None:
        """Return the SYN packet that goes to another agent first, and its urgency.

        Args:
            now: local time.
            expected_seconds: returns how long a target is likely to work on a request.
            in_progress: how many requests it works on concurrently, at least one.
            host: address of the other agent's VM; None for any.
        """
        held = [each for each in self.held if host is None or each.may_go_to(host)]
        return self._choose(held, now, expected_seconds, in_progress)

    def urgency(self, request: WaitingRequest, now: float, expected_seconds: float) -> Urgency:
        """Return the urgency of a request if it starts now."""
        return urgency_of(request, now + expected_seconds, self._shares, now)

    def count(
        self, standing: Standing, now: float, expected_seconds: ExpectedSeconds[WaitingRequest]
    ) -> int:
        """Return how many requests have a standing if they start now."""
        return sum(
            standing_of(each, now + expected_seconds(each)) is standing
            for each in self._waiting.values()
        )

    def note_started(self, flow: FlowKey, now: float) -> None:
        """Record that a request of a flow goes to the target, which counts for its caller."""
        self._shares.note_started(flow.caller_host, now)

    def _choose(
        self,
        waiting: Sequence[WaitingRequest],
        now: float,
        expected_seconds: ExpectedSeconds[WaitingRequest],
        in_progress: int,
    ) -> tuple[WaitingRequest, Urgency] | None:
        # Callers that have closed may still read an answer, so they are served when nobody else is.
        waiting = [each for each in waiting if not each.caller_closed] or waiting
        return choose_next(waiting, now, expected_seconds, in_progress, self._shares)
