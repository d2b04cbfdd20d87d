"""Steering by an agent, which sees all packets of its target's flows and so knows them exactly.

Packets of other flows are passed on with the list of agents visited so far, which prevents loops.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..directory import Directory
from ..fleet import PeerTable
from ._decisions import (
    AgentEffect,
    Answered,
    DeliverToTarget,
    Drop,
    DropReason,
    Forward,
    ForwardReason,
    NotifyBalancer,
    NotifyHome,
    RefuseReason,
    SendToCaller,
    Undecided,
    Wait,
)
from ._flow_admission import FlowAdmission
from ._flow_opening import FlowOpening
from ._flow_search import FlowSearch, SearchHop
from ._flow_table import STUCK_SECONDS, FlowEntry, FlowState, FlowTable
from ._forwarding import pass_packet, refuse_packet
from ._homes import HomeNotifier
from ._packet import FlowKey, FlowPacket, PacketKind
from ._placement import FlowPlacement
from ._policy import SteeringPolicy
from ._presence import Presence
from ._request_queue import RequestQueue
from ._target_failures import TargetFailures
from ._target_silence import TargetSilence
from ._tunnel import (
    ANY_SERVICE,
    MAXIMUM_HOPS,
    MAXIMUM_ROUTE_HOPS,
    CapacityOffer,
    CapacityRequest,
    Envelope,
    HomeNotice,
    OwnerNotice,
    service_hash,
)
from ._undecided import UndecidedPackets
from ._warm_up_pace import WarmUpPace


class AgentSteering:
    """Decides what happens to each packet at one agent.

    Args:
        host: IPv4 address of the agent and its target, as a number.
        service: the target's service.
        directory: routes and targets.
        peers: heartbeats of the other processes.
        placement: chooses other targets for new flows that this one doesn't accept.
        retention_seconds: age at which a flow may be removed.
        started_at: local time since which the agent has seen every packet of its target.
        policy: what is switched on, and the limits.
        failure_domain: failure domain of its VM; empty if it isn't known.
    """

    def __init__(
        self,
        host: int,
        service: str,
        directory: Directory,
        peers: PeerTable,
        placement: FlowPlacement,
        retention_seconds: float,
        started_at: float,
        policy: SteeringPolicy = SteeringPolicy(),  # noqa: B008, it is immutable
        failure_domain: str = "",
    ) -> None:
        self._host = host
        self._service = service
        self._mark = service_hash(service)
        self._directory = directory
        self._placement = placement
        presence = Presence(directory, peers)
        self._search = FlowSearch(host, service, directory, presence, placement, started_at)
        self._flows = FlowTable(retention_seconds, started_at, self._own_capacity)
        self._notifier = HomeNotifier(host, service, self._flows, placement.candidates, peers)
        self._silence = TargetSilence()
        self._failures = TargetFailures()
        self._pace = WarmUpPace(host, service, directory, started_at, policy)
        self._admission = FlowAdmission(
            host, service, directory, self._flows, placement, policy, self._pace, failure_domain
        )
        self._target = self._admission.target
        self._opening = FlowOpening(
            host,
            service,
            directory,
            placement,
            self._flows,
            self._silence,
            self._failures,
            self._admission,
        )
        self._queue = self._admission.queue
        self._undecided = UndecidedPackets()

    @property
    def flows(self) -> FlowTable:
        """Return the flows that this agent knows of."""
        return self._flows

    @property
    def queue(self) -> RequestQueue:
        """Return the requests that wait for the target's capacity."""
        return self._queue

    @property
    def is_waiting(self) -> bool:
        """Return whether something waits here for the target's capacity."""
        return self._admission.is_waiting

    @property
    def undecided(self) -> int:
        """Return the number of packets that wait for newer content to locate their flows."""
        return len(self._undecided)

    @property
    def announced_flows(self) -> int:
        """Return the number of flows that owners announced to this agent as their home."""
        return len(self._search.homes)

    def load(self, now: float) -> int:
        """Return the number of requests at the target, on their way to it, or waiting for it."""
        return self._target.load(now)

    def backlog_seconds(self, now: float) -> float:
        """Return the expected time until the target could start one more request."""
        return self._target.backlog_seconds(now)

    def record_home_notice(self, notice: HomeNotice, now: float) -> None:
        """Record which agent has some flows, as the home of those flows."""
        self._search.homes.record(notice, now)

    def due_home_notices(self, now: float) -> Sequence[NotifyHome]:
        """Return the notices that are due to the homes of the flows that are open here."""
        return self._notifier.take_due_notices(now)

    def is_target_silent(self, now: float) -> bool:
        """Return whether the target has left packets unanswered for longer than the limit."""
        return self._silence.is_silent(now)

    def is_target_failing(self, now: float) -> bool:
        """Return whether the target has failed too many of its latest requests."""
        return self._failures.is_failing(now)

    @property
    def failures(self) -> TargetFailures:
        """Return what is known of requests that the target failed."""
        return self._failures

    def take_from_peer(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> Sequence[AgentEffect]:
        """Return what to do with a caller's packet that a balancer or an agent sent here."""
        entry = self._flows.get(packet.flow)
        if packet.kind is not PacketKind.SYN:
            self._queue.discard_syn(packet.flow)
        if entry is not None and entry.state is FlowState.OWNED:
            is_from_other_flow = entry.is_from_other_flow(packet)
            if packet.kind is PacketKind.SYN:
                is_new = entry.has_ended or (entry.is_established and is_from_other_flow)
                if is_new:
                    self._flows.remove(packet.flow)
                    return self._opening.take_syn(envelope, packet, now)
            elif is_from_other_flow and packet.kind is not PacketKind.RST:
                # The target would answer data of an ended flow with an RST packet.
                return self._pass_on(envelope, packet, now)
            return self._take_owned(entry, envelope, packet, now)
        if packet.kind is PacketKind.SYN:
            return self._opening.take_syn(envelope, packet, now)
        if entry is None:
            return self._take_unknown(envelope, packet, now)
        if entry.state is FlowState.ABSENT:
            return self._pass_on(envelope, packet, now)
        if entry.state is FlowState.PASSED:
            entry.last_packet_at = now
            # The caller may have accepted the SYN-ACK packet for another copy of its SYN packet.
            is_announced = self._search.is_announced_elsewhere(
                packet, envelope, entry.first_packet_at
            )
            if is_announced or entry.passed_to in envelope.visited:
                return self._pass_on(envelope, packet, now)
            reason = ForwardReason.PASSED_BEFORE
            return pass_packet(self._host, entry.passed_to, envelope, packet, reason)
        if entry.asked:
            entry.note_asked(packet)
        return self._take_owned(entry, envelope, packet, now)

    def take_from_target(self, packet: FlowPacket, now: float) -> Sequence[AgentEffect]:
        """Return what to do with a packet that the target sent or bounced."""
        if self._silence.has_been_silent(now):
            self._pace.doubt_run(now)
        self._silence.note_answer()
        if packet.is_bounced:
            return self._take_bounced(packet, now)
        entry = self._flows.get(packet.flow)
        if entry is None and packet.kind is not PacketKind.RST:
            entry = FlowEntry(FlowState.OWNED, 0, 0, (), now, now)
            self._flows.put(packet.flow, entry)
        if entry is None or entry.state is FlowState.ABSENT:
            # An earlier flow with the same key may have ended here.
            return (Drop(packet.flow, DropReason.UNEXPECTED),)
        if entry.asked:
            if not entry.is_proof(packet):
                return self._pass_asked_on(entry, packet.flow, now)
            entry.asked = ()
        delay, has_failed = self._flows.take_answer(entry, packet, now)
        if delay is not None or has_failed:
            self._failures.record(has_failed, now)
        if packet.kind is PacketKind.RST:
            self._flows.remove(packet.flow)
            self._queue.remove(packet.flow)
            self._target.end_opening(packet.flow)
        answer = SendToCaller(packet.flow.caller_host, packet.datagram)
        if delay is None:
            return (answer, *self._opening.use_capacity(now)) if self.is_waiting else (answer,)
        answered = Answered(packet.flow, delay, entry.expected_seconds, has_failed)
        return (answer, answered, *self._opening.use_capacity(now))

    def take_capacity_request(self, request: CapacityRequest, now: float) -> Sequence[AgentEffect]:
        """Return the answer to another agent that asks for capacity, if there is any."""
        self._admission.record_request(request, now)
        return self._opening.use_capacity(now)

    def take_capacity_offer(self, offer: CapacityOffer, now: float) -> Sequence[AgentEffect]:
        """Return the effects of passing SYN packets to an agent that offers capacity."""
        return self._admission.take_offer(offer, now)

    def release(self, now: float) -> Sequence[AgentEffect]:
        """Return the effects for what waits, to be called periodically while something does."""
        return self._opening.release(now)

    def decide(self, now: float) -> Sequence[AgentEffect]:
        """Return what to do with undecided packets that arrived before the last confirmation."""
        effects: list[AgentEffect] = []
        for each in self._undecided.pop_confirmed(self._directory.confirmed_at):
            effects.extend(self._pass_on(each.envelope, each.packet, now, is_confirmed=True))
        expired = self._undecided.pop_expired(now)
        return effects + [Drop(each.packet.flow, DropReason.UNDECIDED) for each in expired]

    def note_scheduling_pause(self, now: float) -> None:
        """Discard evidence about flows from before a scheduling pause of this process."""
        self._undecided.clear()
        self._pace.note_scheduling_pause(now)
        self._flows.note_scheduling_pause(now)

    def sweep(self, now: float) -> None:
        """Remove flows, home records and counts that have ended or are too old."""
        table = self._directory.table
        for flow in self._flows.sweep(now, table.idle_seconds if table else 0.0):
            route = self._directory.route(flow.service_host, flow.service_port)
            if route is not None and 0 < route.deadline_seconds <= STUCK_SECONDS:
                self._failures.record(True, now)  # later ones may still be answered in time
        self._failures.tick(now)
        self._search.homes.sweep(now)
        self._admission.sweep(now)
        self._placement.tick(now)
        self._flows.work.note_prior(self._placement.work_of(self._service, now).usual_seconds)

    def _own_capacity(self) -> int:
        view = self._directory.target_at(self._host, self._service)
        return view.target.capacity if view is not None else 0

    def _take_owned(
        self, entry: FlowEntry, envelope: Envelope, packet: FlowPacket, now: float
    ) -> Sequence[AgentEffect]:
        entry.note_arrival(envelope, now)
        effects: list[AgentEffect] = []
        if packet.kind is PacketKind.SYN:
            if self._pace.is_used_up(now):
                # The flow stays here, and its caller sends another copy if the answer was lost.
                return (Drop(packet.flow, DropReason.WARM_UP_PACE),)
            self._pace.record_opening(now)
        is_contended = self.is_waiting
        if packet.payload_bytes and self._target.must_wait(entry, packet, now, is_contended):
            waiting = self._queue.get(packet.flow)
            if waiting is not None:
                is_new = not waiting.packets
                waiting.add(packet.sequence, packet.datagram)
                if is_new:
                    effects.append(Wait(packet.flow, len(self._queue), self._flows.pending))
                    effects.extend(self._opening.use_capacity(now))
        else:
            effects.append(DeliverToTarget(packet.datagram))
            if packet.payload_bytes:
                self._silence.note_delivered(now)
        if packet.kind is PacketKind.FIN:
            entry.caller_closed = True
            self._queue.note_closed(packet.flow)
        elif packet.kind is PacketKind.RST:
            entry.caller_closed = entry.target_closed = True
            self._flows.end_request(entry, now)
            self._queue.remove(packet.flow)
            self._target.end_opening(packet.flow)
        self._flows.update_count(entry)
        if envelope.visited and entry.state is FlowState.OWNED:
            notice = OwnerNotice(packet.flow, self._host)
            effects.append(NotifyBalancer(envelope.balancer, notice))
        return effects

    def _take_unknown(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> Sequence[AgentEffect]:
        is_known = self._flows.is_complete(now)
        if is_known or self._search.is_announced_elsewhere(packet, envelope):
            return self._pass_on(envelope, packet, now)
        if not self._is_expected_here(envelope, packet):
            # The target would be asked in vain for nearly all flows of other services' routes.
            likelier = self._search.likelier_hop(packet.flow, envelope, now)
            if likelier is not None:
                # Visited agents count as having denied the flow, which this one has not. Only one
                # agent passes a packet on so: the next ones ask their targets, or it might circle.
                unasked = envelope._replace(service_hash=ANY_SERVICE)
                return (
                    Forward(likelier.host, unasked, likelier.reason, packet.flow, packet.datagram),
                )
        entry = FlowEntry.begin(FlowState.TRYING, envelope, now)
        entry.note_asked(packet)
        self._flows.put(packet.flow, entry)
        return self._take_owned(entry, envelope, packet, now)

    def _pass_asked_on(self, entry: FlowEntry, flow: FlowKey, now: float) -> Sequence[AgentEffect]:
        """Return the effects of an answer by which the target doesn't have the flow.

        Its further answers to packets that it has got already aren't for the caller either.
        """
        asked, entry.asked = entry.asked, ()
        entry.state = FlowState.ABSENT
        entry.last_packet_at = now
        self._flows.end_request(entry, now)
        self._queue.remove(flow)
        envelope = entry.envelope(self._directory.version, self._mark)
        return [effect for packet in asked for effect in self._pass_on(envelope, packet, now)]

    def _is_expected_here(self, envelope: Envelope, packet: FlowPacket) -> bool:
        """Return whether the route, or the sender of a packet, allows that its flow is here."""
        is_steered_here = envelope.service_hash in (self._mark, ANY_SERVICE)
        return is_steered_here or self._search.may_be_here(packet.flow)

    def _take_bounced(self, packet: FlowPacket, now: float) -> Sequence[AgentEffect]:
        entry = self._flows.get(packet.flow)
        if entry is None:
            return (Drop(packet.flow, DropReason.UNEXPECTED),)
        envelope = entry.envelope(self._directory.version, self._mark)
        if packet.kind is PacketKind.SYN:
            if entry.is_established and not entry.has_ended:
                # A late copy of the SYN packet; the flow stays here.
                return (Drop(packet.flow, DropReason.UNEXPECTED),)
            return self._opening.pass_on(
                envelope, packet, self._service, ForwardReason.TARGET_FULL, now
            )
        if entry.state is FlowState.ABSENT:
            return self._pass_on(envelope, packet, now)
        self._flows.remove(packet.flow)
        self._queue.remove(packet.flow)
        if entry.is_established and not entry.is_from_other_flow(packet):
            # The flow was open only here, so its target has lost it.
            self._pace.doubt_run(now)
            return refuse_packet(self._host, envelope, packet, RefuseReason.LOST_BY_TARGET)
        return self._pass_on(envelope, packet, now)

    def _pass_on(
        self, envelope: Envelope, packet: FlowPacket, now: float, is_confirmed: bool = False
    ) -> Sequence[AgentEffect]:
        """Pass on a packet of a flow that isn't here to the next VM that may have the flow.

        If no VM is left, the flow is refused only by a view confirmed after the packet arrived.
        """
        match self._search.next_step(packet, envelope, now):
            case SearchHop(host, reason, is_of_route):
                steered = envelope if is_of_route else envelope._replace(service_hash=ANY_SERVICE)
                limit = MAXIMUM_ROUTE_HOPS if is_of_route else MAXIMUM_HOPS
                passed = pass_packet(self._host, host, steered, packet, reason, limit)
                if reason is not ForwardReason.ANNOUNCED_BY_OWNER:
                    return passed
                # This spares the balancer another search even if the owner doesn't answer now.
                notice = OwnerNotice(packet.flow, host)
                return (*passed, NotifyBalancer(envelope.balancer, notice))
            case RefuseReason() if not is_confirmed and packet.kind is not PacketKind.RST:
                if not self._undecided.keep(envelope, packet, now):
                    return (Drop(packet.flow, DropReason.UNDECIDED),)
                return (Undecided(packet.flow, envelope.passed_by(self._host).visited),)
            case RefuseReason() as refusal:
                return refuse_packet(self._host, envelope, packet, refusal)
            case DropReason() as drop:
                return (Drop(packet.flow, drop),)
