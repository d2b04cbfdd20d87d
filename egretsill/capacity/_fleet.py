"""The fleet whose costs are worked out."""

from __future__ import annotations

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Fleet:
    """How large a fleet is and what happens in it.

    Attributes:
        name: of this reading of the sizes.
        balancers: processes that forward packets.
        agents: processes beside backend servers.
        new_flows: in the whole fleet, a second.
        changes_per_day: of the configuration.
        failures_per_day: VMs that end without a word.
        replacements_per_day: VMs that others take the place of; each is two changes of membership.
        missed_changes: of the configuration while regions are apart for an hour.
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
        """Return changes of the configuration a second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def membership_changes(self) -> float:
        """Return changes of membership a second, each replacement as one gone and one come."""
        return 2 * (self.failures_per_day + self.replacements_per_day) / SECONDS_PER_DAY

    @property
    def missed_changes(self) -> float:
        """Return changes of the configuration in an hour."""
        return 3_600 * self.configuration_changes


READINGS = (
    Fleet("1,300 balancers with 7,700 agents beside them", 1_300, 7_700),
    Fleet("1,300 daemons in all: 200 balancers and 1,100 agents of 7 targets each", 200, 1_100),
)
