"""Steering by an agent, which sees all packets of its target's flows and so knows them exactly.

Packets of other flows are passed on with the list of agents visited so far, which prevents loops.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from ..directory import Directory, TargetPhase, TargetView
from ..fleet import PeerTable
from ._decisions import (
    AgentEffect,
    Answered,
    DeliverToTarget,
    Drop,
    DropReason,
    Expire,
    Forward,
    ForwardReason,
    NotifyBalancer,
    NotifyHome,
    Refuse,
    RefuseReason,
    SendToCaller,
    Undecided,
    Wait,
)
from ._flow_search import FlowSearch, SearchHop
from ._flow_table import MAXIMUM_FLOWS, FlowEntry, FlowState, FlowTable
from ._homes import HomeNotifier
from ._packet import FlowPacket, PacketKind, syn_copy_delay
from ._placement import FlowPlacement
from ._presence import Presence
from ._request_queue import RequestQueue, WaitingRequest
from ._target_silence import TargetSilence
from ._tunnel import MAXIMUM_VISITED, Envelope, HomeNotice, OwnerNotice, service_hash
from ._undecided import UndecidedPackets

OVERCOMMIT_SHARE = 0.5  # share of the capacity delivered beyond it, so that no slot idles


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
    ) -> None:
        self._host = host
        self._service = service
        self._mark = service_hash(service)
        self._directory = directory
        self._placement = placement
        self._search = FlowSearch(host, service, directory, Presence(directory, peers), placement)
        self._flows = FlowTable(retention_seconds, started_at)
        self._notifier = HomeNotifier(host, service, self._flows, placement.candidates, peers)
        self._queue = RequestQueue()
        self._undecided = UndecidedPackets()
        self._silence = TargetSilence()

    @property
    def flows(self) -> FlowTable:
        """Return the flows that this agent knows of."""
        return self._flows

    @property
    def queue(self) -> RequestQueue:
        """Return the requests that wait for the target's capacity."""
        return self._queue

    @property
    def undecided(self) -> int:
        """Return the number of packets that wait for newer content to locate their flows."""
        return len(self._undecided)

    @property
    def announced_flows(self) -> int:
        """Return the number of flows that owners announced to this agent as their home."""
        return len(self._search.homes)

    def record_home_notice(self, notice: HomeNotice, now: float) -> None:
        """Record which agent has some flows, as the home of those flows."""
        self._search.homes.record(notice, now)

    def due_home_notices(self, now: float) -> Sequence[NotifyHome]:
        """Return the notices that are due to the homes of the flows that are open here."""
        return self._notifier.take_due_notices(now)

    def is_target_silent(self, now: float) -> bool:
        """Return whether the target has left packets unanswered for longer than the limit."""
        return self._silence.is_silent(now)

    def take_from_peer(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> Sequence[AgentEffect]:
        """Return what to do with a caller's packet that a balancer or an agent sent here."""
        entry = self._flows.get(packet.flow)
        if entry is not None and entry.state is FlowState.OWNED:
            is_from_other_flow = entry.is_established and entry.is_from_other_flow(packet.sequence)
            if packet.kind is PacketKind.SYN and (entry.has_ended or is_from_other_flow):
                self._flows.remove(packet.flow)
                return self._take_opening(envelope, packet, now)
            if is_from_other_flow and packet.kind is not PacketKind.RST:
                # The target would answer data of an ended flow with an RST packet.
                return self._pass_on(envelope, packet, now)
            return self._take_owned(entry, envelope, packet, now)
        if packet.kind is PacketKind.SYN:
            return self._take_opening(envelope, packet, now)
        if entry is None:
            return self._take_unknown(envelope, packet, now)
        if entry.state is FlowState.PASSED:
            entry.last_packet_at = now
            # The caller may have accepted the SYN-ACK packet for another copy of its SYN packet.
            is_announced = self._search.is_announced_elsewhere(
                packet.flow, envelope, entry.first_packet_at
            )
            if is_announced or entry.passed_to in envelope.visited:
                return self._pass_on(envelope, packet, now)
            return self._pass_to(entry.passed_to, envelope, packet, ForwardReason.PASSED_BEFORE)
        return self._take_owned(entry, envelope, packet, now)

    def take_from_target(self, packet: FlowPacket, now: float) -> Sequence[AgentEffect]:
        """Return what to do with a packet that the target sent or bounced."""
        self._silence.note_answer()
        if packet.is_bounced:
            return self._take_bounced(packet, now)
        entry = self._flows.get(packet.flow)
        if entry is None:
            entry = FlowEntry(FlowState.OWNED, 0, 0, (), now, now)
            self._flows.put(packet.flow, entry)
        entry.state = FlowState.OWNED
        entry.last_packet_at = now
        if packet.kind is not PacketKind.SYN_ACK:
            entry.is_established = True
        delay = self._flows.answer_request(entry, now) if packet.payload_bytes else None
        if packet.kind is PacketKind.FIN:
            entry.target_closed = True
            self._flows.end_request(entry)
        self._flows.update_count(entry)
        if packet.kind is PacketKind.RST:
            self._flows.remove(packet.flow)
            self._queue.remove(packet.flow)
        answer = SendToCaller(packet.flow.caller_host, packet.datagram)
        if delay is None:
            return (answer, *self.release(now)) if len(self._queue) else (answer,)
        return (answer, Answered(packet.flow, delay), *self.release(now))

    def release(self, now: float) -> Sequence[AgentEffect]:
        """Return the effects for queued requests: those to deliver now and those that expired."""
        effects: list[AgentEffect] = [
            Expire(each.flow, now - each.arrived_at) for each in self._queue.expire(now)
        ]
        most = self._maximum_pending()
        while len(self._queue) and self._flows.pending < most:
            request = self._queue.pop_next(now, self._flows.service_seconds, most)
            if request is None:
                break
            entry = self._flows.get(request.flow)
            if entry is not None:
                self._flows.begin_request(entry, now)
                self._silence.note_delivered(now)
                effects.extend(DeliverToTarget(each) for each in request.packets.values())
        return effects

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
        self._flows.note_scheduling_pause(now)

    def sweep(self, now: float) -> None:
        """Remove flows, home records and counts that have ended or are too old."""
        table = self._directory.table
        self._flows.sweep(now, table.idle_seconds if table else 0.0)
        self._search.homes.sweep(now)
        self._placement.tick(now)

    def _take_owned(
        self, entry: FlowEntry, envelope: Envelope, packet: FlowPacket, now: float
    ) -> Sequence[AgentEffect]:
        entry.note_arrival(envelope, now)
        effects: list[AgentEffect] = []
        if packet.payload_bytes and self._must_wait(entry, packet, now):
            waiting = self._queue.get(packet.flow)
            if waiting is not None:
                if not waiting.packets:
                    effects.append(Wait(packet.flow, len(self._queue), self._flows.pending))
                waiting.add(packet.sequence, packet.datagram)
        else:
            effects.append(DeliverToTarget(packet.datagram))
            if packet.payload_bytes:
                self._silence.note_delivered(now)
        if packet.kind is PacketKind.FIN:
            entry.caller_closed = True
        elif packet.kind is PacketKind.RST:
            entry.caller_closed = entry.target_closed = True
            self._flows.end_request(entry)
            self._queue.remove(packet.flow)
        self._flows.update_count(entry)
        if envelope.visited and entry.state is FlowState.OWNED:
            notice = OwnerNotice(packet.flow, self._host)
            effects.append(NotifyBalancer(envelope.balancer, notice))
        return effects

    def _must_wait(self, entry: FlowEntry, packet: FlowPacket, now: float) -> bool:
        """Return whether a caller's data must wait, and record the request that it belongs to."""
        if entry.state is not FlowState.OWNED:
            # The target bounces the packet immediately if it doesn't have the flow.
            return False
        # The caller's timer started with its first SYN packet, not with the one that was answered.
        requested_at = now if entry.next_sequence is not None else now - syn_copy_delay(entry.copy)
        is_new = self._flows.note_data(entry, packet.sequence, packet.payload_bytes)
        if self._queue.get(packet.flow) is not None:
            return True
        if not is_new:
            return False
        if entry.pending_since is None and self._flows.pending >= self._maximum_pending():
            route = self._directory.route(packet.flow.service_host, packet.flow.service_port)
            if route is not None and route.deadline_seconds and not self._queue.is_full:
                objective_at, deadline_at = (
                    requested_at + route.latency_objective_seconds,
                    requested_at + route.deadline_seconds,
                )
                request = WaitingRequest(
                    packet.flow, requested_at, objective_at, deadline_at, route.priority
                )
                self._queue.push(request)
                return True
        self._flows.begin_request(entry, now)
        return False

    def _maximum_pending(self) -> int:
        """Return the maximum number of requests in progress at the target."""
        view = self._own_view()
        capacity = view.target.capacity if view is not None else 0
        return math.ceil(capacity * (1 + OVERCOMMIT_SHARE)) if capacity else MAXIMUM_FLOWS

    def _take_opening(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> Sequence[AgentEffect]:
        route = self._directory.route(packet.flow.service_host, packet.flow.service_port)
        is_newer_here = self._directory.version >= envelope.version
        if route is None and is_newer_here and self._directory.version:
            return self._refuse(envelope, packet, RefuseReason.NO_ROUTE)
        service = self._service
        if route is not None and is_newer_here and service not in route.services:
            service = self._placement.service_of(route, packet.flow)
            return self._pass_opening(envelope, packet, service, ForwardReason.OTHER_SERVICE, now)
        if (route is None or not is_newer_here) and envelope.service_hash != self._mark:
            return (Drop(packet.flow, DropReason.STALE_CONTENT),)
        reason = self._reason_to_pass(now)
        if reason is not None:
            return self._pass_opening(envelope, packet, service, reason, now)
        if self.is_target_silent(now) and self._choose(envelope, packet, service, now) is not None:
            reason = ForwardReason.TARGET_SILENT
            return self._pass_opening(envelope, packet, service, reason, now)
        entry = FlowEntry.begin(FlowState.TRYING, envelope, now)
        entry.copy = packet.copy
        self._flows.put(packet.flow, entry)
        self._silence.note_delivered(now)
        return (DeliverToTarget(packet.datagram),)

    def _take_unknown(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> Sequence[AgentEffect]:
        is_known = self._flows.is_complete(now) or not self._search.may_be_here(packet.flow)
        if is_known or self._search.is_announced_elsewhere(packet.flow, envelope):
            return self._pass_on(envelope, packet, now)
        entry = FlowEntry.begin(FlowState.TRYING, envelope, now)
        self._flows.put(packet.flow, entry)
        return self._take_owned(entry, envelope, packet, now)

    def _take_bounced(self, packet: FlowPacket, now: float) -> Sequence[AgentEffect]:
        entry = self._flows.get(packet.flow)
        if entry is None:
            return (Drop(packet.flow, DropReason.UNEXPECTED),)
        envelope = entry.envelope(self._directory.version, self._mark)
        if packet.kind is PacketKind.SYN:
            if entry.is_established and not entry.has_ended:
                # A late copy of the SYN packet; the flow stays here.
                return (Drop(packet.flow, DropReason.UNEXPECTED),)
            return self._pass_opening(
                envelope, packet, self._service, ForwardReason.TARGET_FULL, now
            )
        self._flows.remove(packet.flow)
        self._queue.remove(packet.flow)
        if entry.is_established and not entry.is_from_other_flow(packet.sequence):
            # The flow was open only here, so its target has lost it.
            return self._refuse(envelope, packet, RefuseReason.LOST_BY_TARGET)
        return self._pass_on(envelope, packet, now)

    def _reason_to_pass(self, now: float) -> ForwardReason | None:
        """Return the reason to pass a new flow on, or None if the target may accept it."""
        view = self._own_view()
        if view is None:
            # Balancers know a target only by its entry, so it exists if they send packets here.
            return None
        if view.has_departed(now) or view.target.phase is TargetPhase.DRAINING:
            return ForwardReason.TARGET_LEAVING
        return None

    def _pass_opening(
        self,
        envelope: Envelope,
        packet: FlowPacket,
        service: str,
        reason: ForwardReason,
        now: float,
    ) -> Sequence[AgentEffect]:
        host = self._choose(envelope, packet, service, now)
        if host is None:
            self._flows.remove(packet.flow)
            is_full = reason is ForwardReason.TARGET_FULL
            refusal = RefuseReason.ALL_FULL if is_full else RefuseReason.NO_TARGET
            return self._refuse(envelope, packet, refusal)
        entry = FlowEntry.begin(FlowState.PASSED, envelope, now)
        entry.passed_to = host
        self._flows.put(packet.flow, entry)
        mark = self._mark if service == self._service else service_hash(service)
        steered = envelope._replace(version=self._directory.version, service_hash=mark)
        return self._pass_to(host, steered, packet, reason)

    def _choose(
        self, envelope: Envelope, packet: FlowPacket, service: str, now: float
    ) -> int | None:
        """Return another VM for a SYN packet, or None if all were tried."""
        if len(envelope.visited) >= MAXIMUM_VISITED:
            return None
        excluded = {*envelope.visited, self._host}
        domain = self._placement.candidates.domain_with_hash(envelope.domain_hash)
        return self._placement.choose(packet.flow, service, excluded, domain, now)

    def _pass_on(
        self, envelope: Envelope, packet: FlowPacket, now: float, is_confirmed: bool = False
    ) -> Sequence[AgentEffect]:
        """Pass on a packet of a flow that isn't here to the next VM that may have the flow.

        If no VM is left, the flow is refused only by a view confirmed after the packet arrived.
        """
        match self._search.next_step(packet.flow, envelope, now):
            case SearchHop(host, ForwardReason.ANNOUNCED_BY_OWNER as reason):
                # This spares the balancer another search even if the owner doesn't answer now.
                notice = OwnerNotice(packet.flow, host)
                passed = self._pass_to(host, envelope, packet, reason)
                return (*passed, NotifyBalancer(envelope.balancer, notice))
            case SearchHop(host, reason):
                return self._pass_to(host, envelope, packet, reason)
            case RefuseReason() if not is_confirmed and packet.kind is not PacketKind.RST:
                if not self._undecided.keep(envelope, packet, now):
                    return (Drop(packet.flow, DropReason.UNDECIDED),)
                return (Undecided(packet.flow, envelope.passed_by(self._host).visited),)
            case RefuseReason() as refusal:
                return self._refuse(envelope, packet, refusal)
            case DropReason() as drop:
                return (Drop(packet.flow, drop),)

    def _refuse(
        self, envelope: Envelope, packet: FlowPacket, reason: RefuseReason
    ) -> Sequence[AgentEffect]:
        """Reset a flow that is known not to be open at any target."""
        if packet.kind is PacketKind.RST:
            return (Drop(packet.flow, DropReason.NO_TARGET),)
        asked = envelope.passed_by(self._host).visited
        return (Refuse(packet.flow, packet.acknowledged, reason, asked),)

    def _pass_to(
        self, host: int, envelope: Envelope, packet: FlowPacket, reason: ForwardReason
    ) -> Sequence[AgentEffect]:
        if len(envelope.visited) >= MAXIMUM_VISITED or host in envelope.visited:
            return (Drop(packet.flow, DropReason.TOO_MANY_HOPS),)
        onward = envelope.passed_by(self._host)
        return (Forward(host, onward, reason, packet.flow, packet.datagram),)

    def _own_view(self) -> TargetView | None:
        return self._directory.target_at(self._host, self._service)
