"""Cost for one process of large events, such as the loss of a failure domain."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ._costs import Costs
from ._fleet import Fleet
from ._lines import CONTROL, FLOWS, LIMITS, Quantity

UPDATE_BYTES = 21
GOSSIP_BYTES_PER_SECOND = 9_000
RACKS_PER_FAILURE_DOMAIN = 10
PROCESSOR_SHARE = LIMITS[Quantity.PROCESSOR] / 1e3


@dataclass(frozen=True, slots=True)
class Event:
    """The cost of a large event for one process.

    Attributes:
        what: description of the event and its frequency.
        cost: cost with its unit.
        mechanism: mechanism that handles the event.
    """

    what: str
    cost: str
    mechanism: str


def events(costs: Costs, fleet: Fleet) -> Sequence[Event]:
    """Return the costs of large events for one process.

    Raises:
        CostMissing: if a cost was not measured.
    """
    domain = fleet.members / fleet.failure_domains
    return [
        _member_loss("a failure domain every other month", domain, costs, fleet),
        _reopened_flows(costs, fleet),
        _member_loss("a rack or switch a week", domain / RACKS_PER_FAILURE_DOMAIN, costs, fleet),
        _region_separation(costs, fleet),
    ]


def _member_loss(what: str, lost: float, costs: Costs, fleet: Fleet) -> Event:
    each = costs.at(CONTROL, "processor time of a member's change by members", fleet.members)
    seconds = lost * UPDATE_BYTES / GOSSIP_BYTES_PER_SECOND
    return Event(
        f"{what}: {lost:,.0f} members at once",
        f"{lost * UPDATE_BYTES / 1e3:,.1f} kB of claims, {seconds:.1f} s at the gossip's rate; "
        f"{lost * each:,.0f} ms of processor time",
        "suspicion, then claims under a byte rate",
    )


def _reopened_flows(costs: Costs, fleet: Fleet) -> Event:
    flows = fleet.open_flows / fleet.failure_domains
    left = fleet.agents * (1 - 1 / fleet.failure_domains)
    handshake = costs.value(FLOWS, "processor time of a handshake, agent") / 1e3
    seconds = flows / left * handshake
    return Event(
        f"the {flows:,.0f} flows of a failure domain open again at {left:,.0f} agents",
        f"{flows / left:,.0f} handshakes each, {seconds:.2f} s of processor time: "
        f"{seconds / PROCESSOR_SHARE:,.0f} s at 4.3% of a core",
        "callers open flows again; no flow outlives its agent",
    )


def _region_separation(costs: Costs, fleet: Fleet) -> Event:
    size = costs.value(CONTROL, "bytes of catching up with an hour's changes")
    spent = costs.value(CONTROL, "processor time of catching up with an hour's changes")
    seconds = size / LIMITS[Quantity.TRAFFIC]
    return Event(
        f"regions apart for an hour: {fleet.missed_changes:,.0f} changes missed if the platform "
        "is out of reach too",
        f"{size / 1e3:,.0f} kB and {spent:,.0f} ms to catch up, or {seconds:,.0f} s of the "
        "control rate",
        "whole index once, then changed services; nothing reverts",
    )
