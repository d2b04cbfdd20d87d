"""Admission of new flows to an agent's target, and their transfer to other agents.

A SYN packet that comes while the target has no capacity waits here, because a flow can't move once
it is open. Meanwhile the agent asks the flow's other candidates for capacity, and passes the SYN
packet to the first that offers some.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..directory import Directory
from ._capacity_exchange import CapacityExchange
from ._decisions import (
    AgentEffect,
    Forward,
    ForwardReason,
    NotifyBalancer,
    OfferCapacity,
    RequestCapacity,
    Wait,
)
from ._flow_table import FlowEntry, FlowState, FlowTable
from ._packet import FlowPacket
from ._placement import FlowPlacement
from ._policy import SteeringPolicy
from ._request_queue import HeldSyn, RequestQueue, WaitingRequest
from ._service_order import Standing, Urgency
from ._target_capacity import TargetCapacity
from ._tunnel import (
    MAXIMUM_ROUTE_HOPS,
    CapacityOffer,
    CapacityRequest,
    Envelope,
    OwnerNotice,
    service_hash,
)
from ._warm_up_pace import WarmUpPace

ASKING_FLOWS = 4  # waiting SYN packets whose alternatives are asked for capacity at a time


class FlowAdmission:
    """Keeps the SYN packets and requests for which the target has no capacity.

    Args:
        host: IPv4 address of the agent and its target, as a number.
        service: the target's service.
        directory: routes and targets.
        flows: the flows that the agent knows of.
        placement: finds the other candidates of flows.
        policy: what is switched on, and the limits.
        pace: how many flows may be opened at a target in warm-up.
        failure_domain: failure domain of the VM, as the agent's settings state it.
    """

    def __init__(
        self,
        host: int,
        service: str,
        directory: Directory,
        flows: FlowTable,
        placement: FlowPlacement,
        policy: SteeringPolicy,
        pace: WarmUpPace,
        failure_domain: str = "",
    ) -> None:
        self._host = host
        self._service = service
        self._mark = service_hash(service)
        self._flows = flows
        self._placement = placement
        self._policy = policy
        self._pace = pace
        self._target = TargetCapacity(host, service, directory, flows, policy, failure_domain)
        self._exchange = CapacityExchange(host, self._mark)

    @property
    def target(self) -> TargetCapacity:
        """Return the capacity of the target."""
        return self._target

    @property
    def pace(self) -> WarmUpPace:
        """Return how many flows may be opened at the target."""
        return self._pace

    @property
    def queue(self) -> RequestQueue:
        """Return the requests and SYN packets that wait."""
        return self._target.queue

    @property
    def is_waiting(self) -> bool:
        """Return whether something waits for the target's capacity, here or at another agent."""
        return len(self.queue) > 0 or self._exchange.has_askers

    def use_reservation(self, envelope: Envelope, now: float) -> bool:
        """Release the capacity that was offered for a SYN packet; return whether there was any."""
        if not envelope.visited:
            return False
        return self._exchange.use_reservation(envelope.visited[-1], now)

    def must_hold(
        self, packet: FlowPacket, requested_at: float, now: float, has_place: bool = False
    ) -> bool:
        """Return whether a SYN packet must wait because the target has no capacity for it.

        Args:
            packet: the packet.
            requested_at: when its caller sent the first copy.
            now: local time.
            has_place: whether capacity was reserved for it.
        """
        if not self._policy.hold_seconds:
            return False
        known = self._flows.get(packet.flow)
        if known is not None and known.state is FlowState.TRYING:
            return False  # the target has another copy
        if self._policy.has_urgent_first and self.is_waiting and not has_place:
            return True  # it takes its place among those that wait, maybe the first
        standing = self._target.standing_of_syn(packet.flow, requested_at, now)
        return self._opening_room(now, standing) <= 0

    def hold(
        self, envelope: Envelope, packet: FlowPacket, requested_at: float, now: float
    ) -> Sequence[AgentEffect]:
        """Keep a SYN packet until a target has capacity; return no effects if that can't be."""
        alternatives: tuple[int, ...] = ()
        if self._policy.transfers_syn_packets and len(envelope.visited) < MAXIMUM_ROUTE_HOPS - 1:
            excluded = {*envelope.visited, self._host}
            domain = self._placement.candidates.domain_with_hash(envelope.domain_hash)
            alternatives = self._placement.alternatives(
                packet.flow, self._service, excluded, domain, now
            )
        if not self._target.queue_syn(HeldSyn(envelope, packet, alternatives, now), requested_at):
            return ()
        # The balancer then sends the copies here too, so that the flow waits at one agent only.
        notice = OwnerNotice(packet.flow, self._host)
        return (
            Wait(
                packet.flow,
                len(self.queue),
                self._flows.pending,
                is_open=False,
                is_paced=self._pace.is_used_up(now),
            ),
            NotifyBalancer(envelope.balancer, notice),
        )

    def pop_held_too_long(self, now: float) -> WaitingRequest | None:
        """Remove and return a SYN packet that was kept for long enough, or None."""
        return self._target.pop_held_too_long(now)

    def next_step(
        self, now: float, may_offer: bool
    ) -> WaitingRequest | Sequence[OfferCapacity] | None:
        """Return what the target's capacity is used for next, None for nothing.

        It is a request that was removed from the queue, or offers to other agents for which more
        urgent ones wait.

        Args:
            now: local time.
            may_offer: whether other agents may get capacity.
        """
        may_open = not self._pace.is_used_up(now)
        own = self._target.next(now, may_open) if len(self.queue) else None
        if own is not None:
            find_room = self._room if own[0].syn is None else self._opening_room
            own = own if find_room(now, own[1].standing) > 0 else None
        if may_offer and self._exchange.has_askers and self._target.reason_to_pass(now) is None:
            asked = self._exchange.most_urgent(now)
            if asked is not None and (own is None or self._goes_before(asked, own[1])):
                room = self._opening_room(now, asked.standing)
                offers = self._exchange.make_offers(room, asked, now)
                if offers:
                    return offers
        return self.queue.remove(own[0].flow) if own is not None else None

    def record_request(self, request: CapacityRequest, now: float) -> None:
        """Record another agent's request for capacity."""
        self._exchange.record_request(request, now)

    def request_capacity(self, now: float) -> Sequence[RequestCapacity]:
        """Return the requests for capacity that are due for the most urgent SYN packets here."""
        first = self._target.next_held(now)
        if first is None:
            return ()
        urgency = first[1]
        held = [each for each in self.queue.held if self._target.urgency(each, now) == urgency]
        asked = dict.fromkeys(
            host for each in held[-ASKING_FLOWS:] if each.syn for host in each.syn.alternatives
        )
        requests = []
        for host in self._exchange.due_requests(asked, now):
            waiting = sum(each.may_go_to(host) for each in held)
            request = CapacityRequest(self._host, self._mark, waiting, urgency)
            requests.append(RequestCapacity(host, request))
        return requests

    def take_offer(self, offer: CapacityOffer, now: float) -> Sequence[AgentEffect]:
        """Return the effects of passing SYN packets to an agent that offers capacity."""
        effects: list[AgentEffect] = []
        for _ in range(offer.flows):
            first = self._target.next_held(now, offer.owner)
            if first is None or first[0].syn is None:
                break
            request, syn = first[0], first[0].syn
            self.queue.remove(request.flow)
            envelope, packet = syn.envelope, syn.packet
            entry = FlowEntry.begin(FlowState.PASSED, envelope, now)
            entry.passed_to = offer.owner
            entry.is_transferred = True
            self._flows.put(request.flow, entry)
            effects.append(
                Forward(
                    offer.owner,
                    envelope.passed_by(self._host),
                    ForwardReason.CAPACITY_OFFERED,
                    packet.flow,
                    packet.datagram,
                )
            )
        return effects

    def sweep(self, now: float) -> None:
        """Remove records that are too old."""
        self._exchange.sweep(now)

    def _goes_before(self, asked: Urgency, own: Urgency) -> bool:
        return self._policy.has_urgent_first and asked < own

    def _room(self, now: float, standing: Standing = Standing.IN_TIME) -> int:
        """Return how many more requests of a standing the target may get.

        Capacity that was offered to others is set apart. An offer is made to several agents for
        each SYN packet, so most are not used: late requests, which get idle slots only, may take
        these, and a SYN packet that comes nevertheless finds a place beyond the slots.
        """
        room = self._target.room(now) - self._exchange.reserved(now)
        if standing is Standing.IN_TIME or not self._policy.has_urgent_first:
            return room
        return max(self._target.late_room(now), 0) if self._target.has_overcommit else room

    def _opening_room(self, now: float, standing: Standing = Standing.IN_TIME) -> int:
        """Return how many more flows may be opened for requests of a standing."""
        room, left = self._room(now, standing), self._pace.left(now)
        return room if left is None else min(room, left - self._exchange.reserved(now))
