"""Sizes and event rates of the fleets that capacity is computed for."""

from __future__ import annotations

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Fleet:
    """Size of a fleet and rates of its events.

    Attributes:
        name: interpretation of the stated sizes that this fleet stands for.
        balancers: number of processes that forward packets.
        agents: number of processes beside backend servers.
        new_flows: flows opened per second in the whole fleet.
        changes_per_day: configuration changes per day.
        failures_per_day: VMs per day that end without notice.
        replacements_per_day: VMs replaced per day; each is two membership changes.
        missed_changes: configuration changes missed in an hour of separated regions.
    """

    name: str
    balancers: int
    agents: int
    targets: int = 7_700
    services: int = 1_900
    open_flows: int = 11_000_000
    new_flows: int = 110_000
    regions: int = 5
    failure_domains: int = 11
    changes_per_day: int = 6_400
    failures_per_day: int = 45
    replacements_per_day: int = 2_300

    @property
    def members(self) -> int:
        """Return the number of all processes."""
        return self.balancers + self.agents

    @property
    def configuration_changes(self) -> float:
        """Return configuration changes per second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def membership_changes(self) -> float:
        """Return membership changes per second; each replacement is one leave and one join."""
        return 2 * (self.failures_per_day + self.replacements_per_day) / SECONDS_PER_DAY

    @property
    def missed_changes(self) -> float:
        """Return configuration changes per hour."""
        return 3_600 * self.configuration_changes


FLEETS = (
    Fleet("1,300 balancers with 7,700 agents beside them", 1_300, 7_700),
    Fleet("1,300 daemons in all: 200 balancers and 1,100 agents of 7 targets each", 200, 1_100),
)
