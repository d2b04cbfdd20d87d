"""Membership service in virtual time: the view and metrics that follow from timers and gossip."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ...configuration import Address
from ...observation import Metrics, StateLog
from ...supervision import PropagatingSupervisor
from ...supervision.tests.supervisors import RecordingSupervisor
from ...timing import VirtualTimerService
from .. import (
    Member,
    Membership,
    MembershipMessage,
    MembershipService,
    MembershipView,
    Role,
)


class _Network:
    """Delivers messages immediately between registered ports."""

    def __init__(self) -> None:
        self.ports: dict[Address, _Port] = {}


class _Port:
    def __init__(self, network: _Network, address: Address) -> None:
        self._network = network
        self._address = address
        self.handler: Callable[[MembershipMessage, Address], None] | None = None
        network.ports[address] = self

    def register(
        self, message_types: Iterable[type], handler: Callable[[MembershipMessage, Address], None]
    ) -> None:
        self.handler = handler

    def send(self, address: Address, message: object) -> bool:
        port = self._network.ports.get(address)
        if port is not None and port.handler is not None:
            port.handler(message, self._address)  # type: ignore[arg-type]
        return True


class _Pair:
    """An agent and a balancer on one network."""

    def __init__(self) -> None:
        self.timers = VirtualTimerService()
        self.network = _Network()
        self.members = [self._member(1, Role.AGENT), self._member(2, Role.BALANCER)]
        self.metrics = [Metrics(), Metrics()]
        self.services = [
            MembershipService(
                Membership(member, 1000 + index, random.Random(index), self.timers.now),
                _Port(self.network, member.gossip),
                self.timers,
                self.metrics[index],
                StateLog(member.name),
                PropagatingSupervisor(),
            )
            for index, member in enumerate(self.members)
        ]
        self.views: list[MembershipView] = []
        self.services[1].subscribe(self.views.append)
        for service in self.services:
            service.start()
        self.services[1].on_vm_list(self.members)

    def _member(self, number: int, role: Role) -> Member:
        host = f"10.0.0.{number}"
        return Member(
            f"vm-{number}",
            role,
            number if role is Role.AGENT else 0,
            Address(host, 7003),
            Address(host, 7001),
            Address(host, 7002),
            "domain-a",
        )


def test_one_vm_list_makes_members_available() -> None:
    pair = _Pair()
    assert not pair.services[0].is_fresh
    pair.timers.advance(2.5)
    agent, balancer = pair.services
    assert balancer.view.available == {1}
    assert agent.view.balancers == (pair.members[1],)
    assert agent.is_fresh
    assert balancer.is_fresh
    assert pair.views[-1] == balancer.view
    assert pair.metrics[1].members.value("agent", "alive") == 1
    assert pair.metrics[1].membership_changes.value("alive") == 1


def test_leave_and_stop_are_announced_at_once() -> None:
    pair = _Pair()
    pair.timers.advance(2.5)
    pair.services[0].leave()
    assert pair.services[1].view.leaving == {1}
    pair.services[0].stop()
    assert pair.services[1].view.dead == {1}
    pair.timers.advance(0.2)
    assert pair.views[-1].dead == {1}


def test_unreachable_member_is_declared_dead_and_counted() -> None:
    pair = _Pair()
    pair.timers.advance(2.5)
    pair.network.ports[pair.members[0].gossip].handler = None
    pair.timers.advance(5.0)
    assert pair.services[1].view.dead == {1}
    assert pair.metrics[1].membership_changes.value("suspect") == 1
    assert pair.metrics[1].members.value("agent", "dead") == 1


def test_view_is_stale_after_clock_jump_until_answered() -> None:
    pair = _Pair()
    pair.timers.advance(2.5)
    handlers = [port.handler for port in pair.network.ports.values()]
    for port in pair.network.ports.values():
        port.handler = None
    pair.timers.pause(30.0)
    assert not pair.services[1].is_fresh
    assert pair.metrics[1].clock_jumps.value() == 1
    pair.timers.advance(0.5)
    assert not pair.services[1].is_fresh
    for port, handler in zip(pair.network.ports.values(), handlers, strict=True):
        port.handler = handler
    pair.timers.advance(4.0)
    assert pair.services[1].is_fresh
    assert pair.services[1].view.available == {1}


# Guards against a subscriber of the view whose failure keeps it from the others.
def test_failing_subscriber_stops_no_others() -> None:
    pair = _Pair()
    supervisor = RecordingSupervisor()
    service, views = pair.services[0], list[MembershipView]()
    service._supervisor = supervisor

    def fail(_: MembershipView) -> None:
        raise RuntimeError("unexpected")

    service.subscribe(fail)
    service.subscribe(views.append)
    pair.services[0].on_vm_list(pair.members)
    pair.timers.advance(5.0)
    assert views
    assert set(supervisor.names) == {("membership", "RuntimeError")}
