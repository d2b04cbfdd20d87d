"""Opening of flows at an agent: its target gets a SYN packet, or it waits, or it is passed on."""

from __future__ import annotations

from collections.abc import Sequence

from ..directory import Directory
from ._decisions import (
    AgentEffect,
    DeliverToTarget,
    Drop,
    DropReason,
    Expire,
    Failed,
    ForwardReason,
    NotifyBalancer,
    RefuseReason,
    Start,
)
from ._flow_admission import FlowAdmission
from ._flow_table import FlowEntry, FlowState, FlowTable
from ._forwarding import pass_packet, refuse_packet
from ._packet import OPEN_TIMEOUT_SECONDS, FlowPacket, syn_copy_delay
from ._placement import FlowPlacement
from ._request_queue import WaitingRequest
from ._service_order import Standing
from ._target_failures import TargetFailures
from ._target_silence import TargetSilence
from ._tunnel import MAXIMUM_ROUTE_HOPS, Envelope, OwnerNotice, service_hash

# Why a flow is refused that no other target can take either.
_REFUSALS = {
    ForwardReason.TARGET_FULL: RefuseReason.ALL_FULL,
    ForwardReason.DOMAIN_EVACUATED: RefuseReason.EVACUATED,
    ForwardReason.WARM_UP_PACE: RefuseReason.ALL_WARMING_UP,
}


class FlowOpening:
    """Decides where SYN packets go that come to an agent, at once or after they have waited.

    Args:
        host: IPv4 address of the agent and its target, as a number.
        service: the target's service.
        directory: routes and targets.
        placement: chooses other targets for new flows that this one doesn't accept.
        flows: the flows that the agent knows of.
        silence: whether the target answers.
        failures: whether it fails its requests.
        admission: keeps what the target has no capacity for.
    """

    def __init__(
        self,
        host: int,
        service: str,
        directory: Directory,
        placement: FlowPlacement,
        flows: FlowTable,
        silence: TargetSilence,
        failures: TargetFailures,
        admission: FlowAdmission,
    ) -> None:
        self._host = host
        self._service = service
        self._mark = service_hash(service)
        self._directory = directory
        self._placement = placement
        self._flows = flows
        self._silence = silence
        self._failures = failures
        self._admission = admission

    def take_syn(self, envelope: Envelope, packet: FlowPacket, now: float) -> Sequence[AgentEffect]:
        """Return what to do with a SYN packet that has arrived."""
        has_place = self._admission.use_reservation(envelope, now)
        known = self._flows.get(packet.flow)
        if known is not None and known.was_transferred_since(now - OPEN_TIMEOUT_SECONDS):
            reason = ForwardReason.PASSED_BEFORE
            return pass_packet(self._host, known.passed_to, envelope, packet, reason)
        passed = self._pass_if_unsuitable(envelope, packet, now)
        if passed:
            return passed
        requested_at = now - syn_copy_delay(packet.copy)
        is_copy = known is not None and known.state is FlowState.TRYING
        if is_copy and self._admission.pace.is_used_up(now):
            # Another target would open the flow too.
            return (Drop(packet.flow, DropReason.WARM_UP_PACE),)
        if self._admission.must_hold(packet, requested_at, now, has_place):
            held = self._admission.hold(envelope, packet, requested_at, now)
            if held:
                return [*held, *self.use_capacity(now), *self._admission.request_capacity(now)]
        return self._open(envelope, packet, requested_at, now)

    def pass_on(
        self,
        envelope: Envelope,
        packet: FlowPacket,
        service: str,
        reason: ForwardReason,
        now: float,
    ) -> Sequence[AgentEffect]:
        """Return the effects of passing a SYN packet to another target, or of refusing it.

        Args:
            envelope: path of the packet to this agent.
            packet: the packet.
            service: the service that it goes to.
            reason: why it isn't opened here.
            now: local time.
        """
        host = self._choose(envelope, packet, service, now)
        if host is None:
            self._flows.remove(packet.flow)
            refusal = _REFUSALS.get(reason, RefuseReason.NO_TARGET)
            return refuse_packet(self._host, envelope, packet, refusal)
        return self._pass_to(host, envelope, packet, service, reason, now)

    def _pass_to(
        self,
        host: int,
        envelope: Envelope,
        packet: FlowPacket,
        service: str,
        reason: ForwardReason,
        now: float,
    ) -> Sequence[AgentEffect]:
        """Return the effects of passing a SYN packet to a target that was chosen."""
        entry = FlowEntry.begin(FlowState.PASSED, envelope, now)
        entry.passed_to = host
        # All copies go to one target, also if another one is chosen or the trial begins meanwhile.
        entry.is_transferred = reason is ForwardReason.TARGET_FAILING
        self._flows.put(packet.flow, entry)
        mark = self._mark if service == self._service else service_hash(service)
        steered = envelope._replace(version=self._directory.version, service_hash=mark)
        return pass_packet(self._host, host, steered, packet, reason)

    def release(self, now: float) -> Sequence[AgentEffect]:
        """Return the effects for what waits, to be called periodically while something does."""
        effects = self._expire(now)
        if self._admission.target.reason_to_pass(now) is not None or self._silence.is_silent(now):
            for held in self._admission.queue.held:
                self._admission.queue.remove(held.flow)
                effects.extend(self._take_waiting(held, now))
        return [*effects, *self.use_capacity(now), *self._admission.request_capacity(now)]

    def use_capacity(self, now: float) -> Sequence[AgentEffect]:
        """Return the effects for what waits and can go to the target now, or has expired."""
        effects = self._expire(now)
        while (request := self._admission.pop_held_too_long(now)) is not None:
            effects.extend(self._take_waiting(request, now, has_place=False))
        may_offer = not (self._silence.is_silent(now) or self._failures.is_failing(now))
        while True:
            match self._admission.next_step(now, may_offer):
                case WaitingRequest() as request:
                    effects.extend(self._take_waiting(request, now))
                case None:
                    return effects
                case offers:
                    effects.extend(offers)

    def _expire(self, now: float) -> list[AgentEffect]:
        expired = self._admission.queue.expire(now)
        return [Expire(each.flow, now - each.arrived_at) for each in expired]

    def _take_waiting(
        self, request: WaitingRequest, now: float, has_place: bool = True
    ) -> Sequence[AgentEffect]:
        """Return the effects for what has waited and was removed from the queue."""
        try:
            if request.syn is not None:
                return self._take_held(request, now, has_place)
            return self._deliver(request, now)
        except Exception as error:  # It costs this flow only.
            return (Failed(request.flow, error),)

    def _deliver(self, request: WaitingRequest, now: float) -> Sequence[AgentEffect]:
        """Deliver a request of an open flow that has waited."""
        entry = self._flows.get(request.flow)
        if entry is None:
            return ()
        target = self._admission.target
        is_late = target.urgency(request, now).standing is not Standing.IN_TIME
        target.begin_request(request.flow, entry, now)
        self._silence.note_delivered(now)
        started = Start(request.flow, now - request.arrived_at, is_late)
        return [started, *(DeliverToTarget(each) for each in request.packets.values())]

    def _take_held(
        self, request: WaitingRequest, now: float, has_place: bool
    ) -> Sequence[AgentEffect]:
        """Take a SYN packet that has waited; targets and routes may have changed meanwhile."""
        if request.syn is None:
            return ()
        envelope, packet = request.syn.envelope, request.syn.packet
        passed = self._pass_if_unsuitable(envelope, packet, now)
        return passed or self._open(envelope, packet, request.arrived_at, now, has_place)

    def _pass_if_unsuitable(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> Sequence[AgentEffect]:
        """Return the effects for a SYN packet that this target must not get, none if it may."""
        route = self._directory.route(packet.flow.service_host, packet.flow.service_port)
        is_newer_here = self._directory.version >= envelope.version
        if route is None and is_newer_here and self._directory.version:
            return refuse_packet(self._host, envelope, packet, RefuseReason.NO_ROUTE)
        service = self._service
        if route is not None and is_newer_here and service not in route.services:
            service = self._placement.service_of(route, packet.flow)
            return self.pass_on(envelope, packet, service, ForwardReason.OTHER_SERVICE, now)
        if (route is None or not is_newer_here) and envelope.service_hash != self._mark:
            return (Drop(packet.flow, DropReason.STALE_CONTENT),)
        reason = self._admission.target.reason_to_pass(now)
        if reason is not None:
            return self.pass_on(envelope, packet, service, reason, now)
        if self._silence.is_silent(now):
            host = self._choose(envelope, packet, service, now)
            if host is not None:
                reason = ForwardReason.TARGET_SILENT
                return self._pass_to(host, envelope, packet, service, reason, now)
        if self._avoids_failing_target(envelope, packet, now):
            host = self._choose(envelope, packet, service, now)
            if host is not None and self._placement.is_preferable(host, now):
                reason = ForwardReason.TARGET_FAILING
                return self._pass_to(host, envelope, packet, service, reason, now)
        return ()

    def _avoids_failing_target(self, envelope: Envelope, packet: FlowPacket, now: float) -> bool:
        """Return whether a SYN packet had better go elsewhere, as the target fails its requests."""
        # One hop only, since the next target may be failing too.
        if not self._failures.is_failing(now) or envelope.visited:
            return False
        known = self._flows.get(packet.flow)
        has_copy = known is not None and known.state is FlowState.TRYING
        return not has_copy and not self._placement.failing.are_too_many(self._host, now)

    def _open(
        self,
        envelope: Envelope,
        packet: FlowPacket,
        requested_at: float,
        now: float,
        has_place: bool = True,
    ) -> Sequence[AgentEffect]:
        """Deliver a SYN packet to the target, unless it has got too many for its warm-up.

        Args:
            envelope: path of the packet to this agent.
            packet: the packet.
            requested_at: when its caller sent the first copy.
            now: local time.
            has_place: whether capacity is set apart for its request.
        """
        if self._admission.pace.is_used_up(now):
            reason = ForwardReason.WARM_UP_PACE
            return self.pass_on(envelope, packet, self._service, reason, now)
        self._admission.pace.record_opening(now)
        entry = FlowEntry.begin(FlowState.TRYING, envelope, now)
        entry.opening_delay = now - requested_at
        self._flows.put(packet.flow, entry)
        if has_place:
            self._admission.target.begin_opening(packet.flow, now)
        self._silence.note_delivered(now)
        if not envelope.visited:
            return (DeliverToTarget(packet.datagram),)
        notice = OwnerNotice(packet.flow, self._host)
        return (DeliverToTarget(packet.datagram), NotifyBalancer(envelope.balancer, notice))

    def _choose(
        self, envelope: Envelope, packet: FlowPacket, service: str, now: float
    ) -> int | None:
        """Return another VM for a SYN packet, or None if all were tried."""
        if len(envelope.visited) >= MAXIMUM_ROUTE_HOPS:
            return None
        excluded = {*envelope.visited, self._host}
        domain = self._placement.candidates.domain_with_hash(envelope.domain_hash)
        return self._placement.choose(packet.flow, service, excluded, domain, now)
