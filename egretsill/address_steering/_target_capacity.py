"""Capacity of an agent's target, and what waits for it.

The target gets no more requests than it works on concurrently, and a few so that no slot idles.
The others wait at the agent: requests of open flows, and SYN packets of flows that are not open
yet. A flow that is being opened counts as a request, because its request follows within a round
trip.
"""

from __future__ import annotations

import math
from dataclasses import replace

from ..directory import Directory, Route, TargetView
from ._decisions import ForwardReason
from ._flow_table import MAXIMUM_FLOWS, FlowEntry, FlowState, FlowTable
from ._packet import OPEN_TIMEOUT_SECONDS, FlowKey, FlowPacket
from ._policy import SteeringPolicy
from ._request_queue import HeldSyn, RequestQueue, WaitingRequest
from ._service_order import Standing, Urgency

# A caller's request follows its SYN packet within two round trips unless a packet was lost.
OPENING_SECONDS = 0.04
# Share of a latency objective that a SYN packet is kept at most; the rest is for waiting and work.
MAXIMUM_HOLD_SHARE = 1 / 3


class TargetCapacity:
    """Limits the requests at the target, and queues the others.

    Args:
        host: IPv4 address of the agent and its target, as a number.
        service: the target's service.
        directory: routes and targets.
        flows: the flows that the agent knows of.
        policy: what is switched on, and the limits.
        failure_domain: failure domain of the VM, as the agent's settings state it.
    """

    def __init__(
        self,
        host: int,
        service: str,
        directory: Directory,
        flows: FlowTable,
        policy: SteeringPolicy,
        failure_domain: str = "",
    ) -> None:
        self._host = host
        self._service = service
        self._failure_domain = failure_domain
        self._directory = directory
        self._flows = flows
        self._policy = policy
        self._queue = RequestQueue()
        self._openings: dict[FlowKey, float] = {}

    @property
    def queue(self) -> RequestQueue:
        """Return the requests and SYN packets that wait."""
        return self._queue

    def room(self, now: float) -> int:
        """Return how many more requests the target may get now, negative if it got too many."""
        return self.limit() - self._flows.pending - self.opening(now)

    def late_room(self, now: float) -> int:
        """Return how many more requests may start that miss their objective anyway.

        They get idle slots only, so that those who can be in time find a place at the target.
        """
        return min(self._capacity(), self.limit()) - self._flows.pending - self.opening(now)

    @property
    def has_overcommit(self) -> bool:
        """Return whether the target gets more requests than it works on concurrently."""
        return self.limit() > self._capacity()

    def opening(self, now: float) -> int:
        """Return the number of flows that are being opened at the target."""
        while self._openings:
            flow, since = next(iter(self._openings.items()))  # the earliest
            if now - since <= OPENING_SECONDS:
                break
            del self._openings[flow]
        return len(self._openings)

    def load(self, now: float) -> int:
        """Return the number of requests that a new one has to share the target with.

        These are at the target, on their way to it, or waiting for it. Late ones that wait don't
        count, because a new one goes before them.
        """
        in_time = self._queue.count(Standing.IN_TIME, now, self.expected_seconds)
        return self._flows.pending + self.opening(now) + in_time

    def backlog_seconds(self, now: float) -> float:
        """Return the expected time until the target could start one more request.

        It is the work of the requests in progress, on their way and waiting, over its slots.
        """
        view = self.own_view()
        slots = max(view.target.capacity, 1) if view is not None else 1
        if self.load(now) < slots:
            return 0.0
        work = self._flows.work
        seconds = self._flows.remaining_seconds(now) + self.opening(now) * work.usual_seconds
        for flow in self._queue.flows:
            seconds += work.seconds((flow.service_host, flow.service_port))
        return seconds / slots

    def limit(self) -> int:
        """Return the maximum number of requests in progress at the target."""
        return math.ceil(self._capacity() * (1 + self._policy.overcommit_share))

    def own_view(self) -> TargetView | None:
        """Return the target's entry."""
        return self._directory.target_at(self._host, self._service)

    def reason_to_pass(self, now: float) -> ForwardReason | None:
        """Return the reason to pass a new flow on, or None if the target may accept it."""
        view = self.own_view()
        # Balancers know a target only by its entry, so it exists if they send packets here.
        if view is not None and not view.takes_new_flows(now):
            return ForwardReason.TARGET_LEAVING
        return ForwardReason.DOMAIN_EVACUATED if self._is_evacuated(view) else None

    def begin_opening(self, flow: FlowKey, now: float) -> None:
        """Record that a SYN packet is delivered to the target."""
        if self._policy.hold_seconds:
            self._openings.pop(flow, None)
            self._openings[flow] = now

    def end_opening(self, flow: FlowKey) -> None:
        """Record that a flow's first request has arrived, or that the flow has ended."""
        self._openings.pop(flow, None)

    def queue_syn(self, syn: HeldSyn, requested_at: float) -> bool:
        """Queue a SYN packet until there is capacity; return whether the queue accepts it.

        Args:
            syn: the SYN packet.
            requested_at: when its caller sent the first copy.
        """
        flow = syn.packet.flow
        waiting = self._queue.get(flow)
        if waiting is not None:
            if waiting.syn is not None:
                waiting.syn = replace(syn, held_at=waiting.syn.held_at)
            return True
        route = self._route_of(flow)
        if route is None or self._queue.is_full:
            return False
        self._queue.push(_unopened_request(flow, route, requested_at, syn))
        return True

    def standing_of_syn(self, flow: FlowKey, requested_at: float, now: float) -> Standing:
        """Return the standing of a request whose SYN packet has just come.

        Args:
            flow: its flow.
            requested_at: when its caller sent the first copy.
            now: local time.
        """
        route = self._route_of(flow)
        if route is None:
            return Standing.IN_TIME
        return self.urgency(_unopened_request(flow, route, requested_at), now).standing

    def must_wait(
        self, entry: FlowEntry, packet: FlowPacket, now: float, is_contended: bool = False
    ) -> bool:
        """Return whether a caller's data must wait, and record the request that it belongs to.

        Args:
            entry: its flow.
            packet: the packet with the data.
            now: local time.
            is_contended: whether others wait, so that a request whose flow was opened without
                capacity, because its SYN packet had waited for long, has to take its place.
        """
        if entry.state is not FlowState.OWNED:
            # The target bounces the packet immediately if it doesn't have the flow.
            return False
        is_first = entry.next_sequence is None
        is_new = self._flows.note_data(entry, packet.sequence, packet.payload_bytes)
        if self._queue.get(packet.flow) is not None:
            return True
        if not is_new:
            return False
        has_place = not is_contended or self._has_place(packet.flow, now)
        self.end_opening(packet.flow)
        if entry.pending_since is None and (self.room(now) <= 0 or not has_place):
            route = self._route_of(packet.flow)
            if route is not None and route.deadline_seconds and not self._queue.is_full:
                # The caller's timer started with its first SYN packet.
                requested_at = now - entry.opening_delay if is_first else now
                objective = route.latency_objective_seconds or route.deadline_seconds
                request = WaitingRequest(
                    packet.flow,
                    requested_at,
                    requested_at + objective,
                    requested_at + route.deadline_seconds,
                    route.priority,
                )
                self._queue.push(request)
                return True
        self.begin_request(packet.flow, entry, now)
        return False

    def begin_request(self, flow: FlowKey, entry: FlowEntry, now: float) -> None:
        """Record that a request goes to the target."""
        if entry.pending_since is None:
            self._queue.note_started(flow, now)
        self._flows.begin_request(entry, now)

    def expected_seconds(self, request: WaitingRequest) -> float:
        """Return how long the target is likely to work on a request."""
        work, flow = self._flows.work, request.flow
        usual = work.usual_seconds
        ratio = work.seconds((flow.service_host, flow.service_port)) / usual if usual else 1.0
        return self._flows.service_seconds * ratio

    def next(self, now: float, may_open: bool = True) -> tuple[WaitingRequest, Urgency] | None:
        """Return what goes to the target next and its urgency, None if nothing waits.

        Args:
            now: local time.
            may_open: whether it may be a SYN packet.
        """
        return self._queue.next(now, self.expected_seconds, self.limit(), may_open)

    def next_held(
        self, now: float, host: int | None = None
    ) -> tuple[WaitingRequest, Urgency] | None:
        """Return the SYN packet that goes to another agent first and its urgency, or None.

        Args:
            now: local time.
            host: address of the other agent's VM; None for any.
        """
        return self._queue.next_held(now, self.expected_seconds, self.limit(), host)

    def urgency(self, request: WaitingRequest, now: float) -> Urgency:
        """Return the urgency of a request if it starts now."""
        return self._queue.urgency(request, now, self.expected_seconds(request))

    def pop_held_too_long(self, now: float) -> WaitingRequest | None:
        """Remove and return a SYN packet that was kept for long enough, or None."""
        for each in self._queue.held:
            if each.syn is not None and now - each.syn.held_at >= self._hold_seconds(each, now):
                return self._queue.remove(each.flow)
        return None

    def _has_place(self, flow: FlowKey, now: float) -> bool:
        """Return whether a flow was opened lately, for which capacity was set apart."""
        self.opening(now)
        return flow in self._openings

    def _hold_seconds(self, request: WaitingRequest, now: float) -> float:
        if self.urgency(request, now).standing is not Standing.IN_TIME:
            return self._policy.late_hold_seconds
        objective = request.objective_at - request.arrived_at
        return min(self._policy.hold_seconds, MAXIMUM_HOLD_SHARE * objective)

    def _capacity(self) -> int:
        view = self.own_view()
        return (view.target.capacity if view is not None else 0) or MAXIMUM_FLOWS

    def _is_evacuated(self, view: TargetView | None) -> bool:
        # The entry may be missing, or another writer's that names another failure domain.
        is_evacuated = self._directory.is_evacuated
        return is_evacuated(self._failure_domain) or (
            view is not None and is_evacuated(view.target.failure_domain)
        )

    def _route_of(self, flow: FlowKey) -> Route | None:
        return self._directory.route(flow.service_host, flow.service_port)


def _unopened_request(
    flow: FlowKey, route: Route, requested_at: float, syn: HeldSyn | None = None
) -> WaitingRequest:
    """Return a request of a flow that its caller will give up to open after a while."""
    deadline = min(route.deadline_seconds or OPEN_TIMEOUT_SECONDS, OPEN_TIMEOUT_SECONDS)
    objective = route.latency_objective_seconds or deadline
    objective_at, deadline_at = requested_at + objective, requested_at + deadline
    return WaitingRequest(flow, requested_at, objective_at, deadline_at, route.priority, syn=syn)
