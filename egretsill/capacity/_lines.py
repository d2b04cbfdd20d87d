"""Itemized cost of each role in a fleet, with its limits."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from ._costs import Costs
from ._fleet import Fleet

HANDSHAKE_DATAGRAMS = 8
ADMIN_PAGES_PER_SECOND = 1 / 15
COMPARISONS_PER_SECOND = 1.0
ANNOUNCEMENTS_PER_COMPARISON = 2
ANNOUNCEMENTS_PER_CHANGE = 8
CONTROL = "control"
FLOWS = "flows"
STEERING = "steering"


class Quantity(enum.Enum):
    """A bounded quantity with its unit."""

    PROCESSOR = "processor time, ms a second"
    MEMORY = "memory, MB"
    TRAFFIC = "control traffic sent and received, bytes a second"


LIMITS = {Quantity.PROCESSOR: 43.0, Quantity.MEMORY: 128.0, Quantity.TRAFFIC: 18_000.0}


@dataclass(frozen=True, slots=True)
class Line:
    """One item of a budget.

    Attributes:
        what: description of the item.
        value: cost in the unit of the quantity.
        benchmark: benchmark that the value is computed from.
        mechanism: mechanism behind the cost.
        is_control: whether the cost belongs to the control plane and not to callers' packets.
    """

    what: str
    value: float
    benchmark: str
    mechanism: str
    is_control: bool = True


@dataclass(frozen=True, slots=True)
class Budget:
    """All items of one quantity of a role, with its limit."""

    role: str
    quantity: Quantity
    lines: tuple[Line, ...]

    @property
    def limit(self) -> float:
        """Return the limit in the unit of the quantity."""
        return LIMITS[self.quantity]

    @property
    def total(self) -> float:
        """Return the sum of all items."""
        return sum(each.value for each in self.lines)

    @property
    def control(self) -> float:
        """Return the sum of the control-plane items."""
        return sum(each.value for each in self.lines if each.is_control)

    @property
    def fits(self) -> bool:
        """Return whether the total is within the limit."""
        return self.total <= self.limit


def budgets(costs: Costs, fleet: Fleet) -> Sequence[Budget]:
    """Return all budgets of both roles.

    Raises:
        CostMissing: if a cost was not measured.
    """
    return [
        Budget("balancer", Quantity.PROCESSOR, _balancer_processor(costs, fleet)),
        Budget("balancer", Quantity.MEMORY, _memory(costs, fleet)),
        Budget("balancer", Quantity.TRAFFIC, _traffic(costs, fleet)),
        Budget("agent", Quantity.PROCESSOR, _agent_processor(costs, fleet)),
        Budget("agent", Quantity.MEMORY, (*_memory(costs, fleet), _flow_memory(costs, fleet))),
        Budget("agent", Quantity.TRAFFIC, (*_traffic(costs, fleet), _report_traffic(costs))),
    ]


def _control_processor(costs: Costs, fleet: Fleet) -> tuple[Line, ...]:
    members, services = fleet.members, fleet.services
    idle = costs.at(CONTROL, "processor time a second of membership by members", members)
    change = costs.at(CONTROL, "processor time of a member's change by members", members)
    delta = costs.at(CONTROL, "processor time of a change by services of four targets", services)
    page = costs.value(CONTROL, "processor time of an admin page")
    return (
        Line("membership when nothing changes", idle, CONTROL, "constant probes, digests"),
        Line(
            "members that fail or are replaced",
            change * fleet.membership_changes,
            CONTROL,
            "claims on probes and gossip",
        ),
        Line(
            "changes of the configuration",
            delta * fleet.configuration_changes,
            CONTROL,
            "changed services only, from a peer",
        ),
        Line("an admin page every 15 s", page * ADMIN_PAGES_PER_SECOND, CONTROL, "counters"),
    )


def _balancer_processor(costs: Costs, fleet: Fleet) -> tuple[Line, ...]:
    packet = costs.value(STEERING, "processor time a packet, balancer, callers to agents") / 1e3
    idle = costs.value(FLOWS, "datagrams a second of an idle subscription")
    flows = fleet.open_flows / fleet.balancers
    opened = fleet.new_flows / fleet.balancers
    return (
        *_control_processor(costs, fleet),
        Line(
            f"keep-alive of {flows:,.0f} flows, both ways",
            2 * idle * flows * packet,
            STEERING,
            "no state of flows; owner in the connection ID",
            is_control=False,
        ),
        Line(
            f"{opened:,.1f} new flows a second, {HANDSHAKE_DATAGRAMS} datagrams each",
            HANDSHAKE_DATAGRAMS * opened * packet,
            STEERING,
            "rendezvous hash of the first packet",
            is_control=False,
        ),
    )


def _agent_processor(costs: Costs, fleet: Fleet) -> tuple[Line, ...]:
    report = costs.value(CONTROL, "processor time of a load report") / 1e3
    reports = costs.value(CONTROL, "most load reports a second sent by an agent")
    handshake = costs.value(FLOWS, "processor time of a handshake, agent")
    flows = fleet.open_flows / fleet.agents
    opened = fleet.new_flows / fleet.agents
    idle = costs.at(FLOWS, "processor time a second of idle subscriptions by subscriptions", flows)
    return (
        *_control_processor(costs, fleet),
        Line(
            "load reports at their highest rate, both ways",
            2 * reports * report,
            CONTROL,
            "a bounded subset of peers, a byte rate",
        ),
        Line(
            f"{flows:,.0f} idle subscriptions",
            idle,
            FLOWS,
            "keep-alive every 15 s by the timer service",
            is_control=False,
        ),
        Line(
            f"{opened:,.1f} handshakes a second",
            opened * handshake,
            FLOWS,
            "QUIC at the agent, no session tickets",
            is_control=False,
        ),
    )


def _memory(costs: Costs, fleet: Fleet) -> tuple[Line, ...]:
    case = "memory of a configuration and its routes by services of four targets"
    routes = costs.at(CONTROL, case, fleet.services)
    members = costs.at(CONTROL, "memory of the member table by members", fleet.members)
    return (
        Line("the daemon's code", costs.value(CONTROL, "memory of a daemon's code"), CONTROL, ""),
        Line(
            f"configuration and routes of {fleet.services:,} services",
            routes,
            CONTROL,
            "no table of winners for up to four targets",
        ),
        Line(f"table of {fleet.members:,} members", members, CONTROL, "slotted records"),
    )


def _flow_memory(costs: Costs, fleet: Fleet) -> Line:
    flows = fleet.open_flows / fleet.agents
    each = costs.value(FLOWS, "slope of memory of a flow with a subscription")
    return Line(
        f"{flows:,.0f} flows, each with a subscription",
        flows * each / 1e3,
        FLOWS,
        "handshake state dropped, shared tables",
        is_control=False,
    )


def _traffic(costs: Costs, fleet: Fleet) -> tuple[Line, ...]:
    sent = costs.at(CONTROL, "bytes a second sent for membership by members", fleet.members)
    change = costs.at(CONTROL, "bytes of a change by services of four targets", fleet.services)
    announcement = costs.value(CONTROL, "bytes of an announcement")
    compared = 2 * ANNOUNCEMENTS_PER_COMPARISON * COMPARISONS_PER_SECOND
    pushed = ANNOUNCEMENTS_PER_CHANGE * fleet.configuration_changes
    return (
        Line("membership", 2 * sent, CONTROL, "constant probes, byte budgets"),
        Line(
            "comparing and announcing configurations",
            announcement * (compared + pushed),
            CONTROL,
            "one random peer a second, four for news",
        ),
        Line(
            "changed services, taken and given on once",
            2 * change * fleet.configuration_changes,
            CONTROL,
            "32 latest changes in the head",
        ),
    )


def _report_traffic(costs: Costs) -> Line:
    reports = costs.value(CONTROL, "most load reports a second sent by an agent")
    size = costs.value(CONTROL, "bytes of a load report")
    return Line("load reports at their highest rate", 2 * reports * size, CONTROL, "a byte rate")
