"""Draining agents and balancers, with the real draining, admission, placement and steering."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random

from ..admission import Admission, AdmissionDecision, Admitted, Rejected, Ticket
from ..configuration import Address, Bundle, Limits, RequestClass, Service, TargetState
from ..draining import (
    DrainEffect,
    Draining,
    DrainSignal,
    DrainState,
    ResumeNewWork,
    StopNewWork,
)
from ..placement import Placement
from ..steering import CallerPacket, ConnectionIdCodec
from ._steering_fleet import SERVICE_NAME, FleetAgent, FleetBalancer, SteeringFleet, make_target

ORDER = RequestClass("order", ("POST",), "/", False, 4.0)
ORDER_SECONDS = 0.2
FABRIC_LAG_SECONDS = 10.0
TRIES = 4


@dataclass(slots=True)
class Orders:
    """The results of the orders.

    Attributes:
        starts: how often each order was started, by identifier.
        start_times: when orders started, by target.
        refused: orders that no target admitted.
    """

    starts: dict[str, int] = field(default_factory=dict)
    start_times: dict[int, list[float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)

    @property
    def doubled(self) -> int:
        """Return how many orders started twice, or started and were reported as refused."""
        return sum(
            count > 1 or identifier in self.refused for identifier, count in self.starts.items()
        )


class LeavingAgent:
    """The admission, placement and draining of one agent.

    Args:
        number: of its target.
        service: in the agent's view.
        random: for its choices.
    """

    def __init__(self, number: int, service: Service, random: Random) -> None:
        self.number = number
        self.draining = Draining()
        self.admission = Admission(4, 2000, Limits(), random)
        self.placement = Placement(number, service, random)
        self.flows = 0
        self.left_with_work = False
        self.signalled_at: float | None = None

    @property
    def has_left(self) -> bool:
        """Return whether the process has ended."""
        return self.draining.state is DrainState.LEFT

    def signal(self, signal: DrainSignal, holds: bool, now: float) -> None:
        """Hand a drain signal to the process."""
        if holds and self.signalled_at is None:
            self.signalled_at = now
        self.apply(self.draining.signal(signal, holds, now), now)

    def open_flow(self, now: float) -> None:
        """Count a flow that opens here."""
        self.flows += 1
        self.report_work(now)

    def close_flow(self, now: float) -> None:
        """Count a flow that ends."""
        self.flows -= 1
        self.report_work(now)

    def report_work(self, now: float) -> None:
        """Report the requests and flows in progress to the draining."""
        requests = self.admission.running + self.admission.queued
        self.apply(self.draining.work(requests, self.flows, now), now)

    def apply(self, effects: Sequence[DrainEffect], now: float) -> None:
        """Apply effects of the draining, and note a process that ended with work in progress."""
        for effect in effects:
            match effect:
                case StopNewWork():
                    self.admission.stop(now)
                case ResumeNewWork():
                    self.admission.resume()
                case _:
                    pass
        if self.has_left and (self.admission.running > 0 or self.flows > 0):
            self.left_with_work = True

    def ask(self, ticket: Ticket, now: float) -> AdmissionDecision:
        """Ask its admission for a slot."""
        decision = self.admission.ask(ticket, now)
        self.report_work(now)
        return decision

    def release(self, identifier: str, now: float) -> None:
        """Release a request's slot."""
        self.admission.release(identifier, now)
        self.report_work(now)


class OrderDispatcher:
    """Offers each order to one target after another until one admits it."""

    def __init__(
        self,
        agents: Callable[[int], LeavingAgent | None],
        at: Callable[[float, Callable[[], None]], None],
    ) -> None:
        self.orders = Orders()
        self._agents = agents
        self._schedule = at

    def place(self, identifier: str, requester: LeavingAgent, now: float) -> None:
        """Offer an order to up to `TRIES` targets until one admits it."""
        refused_by: set[int] = set()
        for _ in range(TRIES):
            number = requester.placement.choose(ORDER, refused_by, now)
            if number is None or self._offer(identifier, requester, number, now):
                break
            refused_by.add(number)
        if identifier not in self.orders.starts:
            self.orders.refused.add(identifier)

    def _offer(self, identifier: str, requester: LeavingAgent, number: int, now: float) -> bool:
        requester.placement.on_sent(number, ORDER.weight, now)
        ticket = Ticket(identifier, "tenant", ORDER.name, ORDER.weight, ORDER.shape, 0, None)
        gate = self._agents(number)
        decision = gate.ask(ticket, now) if gate is not None else None
        if gate is not None and isinstance(decision, Admitted):
            requester.placement.on_granted(number, now)
            self.orders.starts[identifier] = self.orders.starts.get(identifier, 0) + 1
            self.orders.start_times.setdefault(number, []).append(now)
            self._schedule(
                now + ORDER_SECONDS, partial(self._end, identifier, requester, gate, now)
            )
            return True
        if gate is not None and isinstance(decision, Rejected):
            requester.placement.on_refused(number, decision.refusal.reason, now)
        elif gate is not None:
            gate.admission.cancel(identifier, now)
            gate.report_work(now)
        requester.placement.on_finished(number, ORDER.weight, now)
        return False

    def _end(
        self, identifier: str, requester: LeavingAgent, gate: LeavingAgent, began: float
    ) -> None:
        now = began + ORDER_SECONDS
        gate.release(identifier, now)
        requester.placement.on_finished(gate.number, ORDER.weight, now)


class DrainingFleet(SteeringFleet):
    """A fleet whose processes leave through their own draining; views lag up to 30 s.

    Args:
        random: for lags, nonces and choices.
        codec: of the connection ID keys.
        targets: in the first configuration.
        balancers: how many there are at first.
    """

    def __init__(
        self, random: Random, codec: ConnectionIdCodec, targets: int, balancers: int
    ) -> None:
        self.leaving: dict[int, LeavingAgent] = {}
        self.balancer_draining: dict[int, Draining] = {}
        self.lost_packets = 0
        super().__init__(random, codec, targets, balancers)

    def agent_of(self, number: int) -> LeavingAgent | None:
        """Return the agent at a target while its process runs."""
        agent = self.leaving.get(number)
        return None if agent is None or agent.has_left else agent

    def replace_balancer(self) -> None:
        """Start a balancer and drain the oldest one, which gets packets for some seconds more."""
        self.start_balancer()
        old = next(each for each in self.balancers if each.name not in self.balancer_draining)
        draining = Draining.for_balancer()
        self.balancer_draining[old.name] = draining
        draining.signal(DrainSignal.VM_LIST, True, self.now)
        lag = self.random.uniform(0.0, FABRIC_LAG_SECONDS)
        self.at(self.now + lag, lambda: self.balancers.remove(old))

    def tick(self) -> None:
        """Advance the draining of every leaving process."""
        for agent in self.leaving.values():
            agent.apply(agent.draining.tick(self.now), self.now)
        for draining in self.balancer_draining.values():
            draining.tick(self.now)

    def _follow_tunnel(
        self, balancer: FleetBalancer, packet: CallerPacket, tunnel: Address
    ) -> FleetAgent | None:
        draining = self.balancer_draining.get(balancer.name)
        if draining is not None:
            if draining.state is DrainState.LEFT:
                return None
            draining.packet(self.now)
        keeping_agent = super()._follow_tunnel(balancer, packet, tunnel)
        if keeping_agent is None or self.agent_of(keeping_agent.number) is None:
            return None
        self.leaving[keeping_agent.number].draining.packet(self.now)
        return keeping_agent

    def _start_agent(self, number: int, started_at: float) -> None:
        super()._start_agent(number, started_at)
        service = self._bundle(len(self._bundles)).services[SERVICE_NAME]
        self.leaving[number] = LeavingAgent(number, service, Random(self.random.random()))

    def _apply_agent_bundle(self, agent: FleetAgent, bundle: Bundle) -> None:
        super()._apply_agent_bundle(agent, bundle)
        service = bundle.services[SERVICE_NAME]
        leaving = self.leaving[agent.number]
        leaving.placement.update_service(service)
        leaving.signal(DrainSignal.CONFIGURATION, not _is_active(agent.number, service), self.now)
        agent.is_draining = not leaving.draining.takes_new_work


def _is_active(number: int, service: Service) -> bool:
    states: Collection[TargetState] = [
        each.state for each in service.targets if each.number == number
    ]
    return TargetState.ACTIVE in states


def first_service(targets: int) -> Service:
    """Return a service with this many targets, for measures without steering."""
    return Service(
        SERVICE_NAME,
        1,
        "tenant",
        SERVICE_NAME,
        (),
        (ORDER,),
        tuple(make_target(number) for number in range(1, targets + 1)),
    )
