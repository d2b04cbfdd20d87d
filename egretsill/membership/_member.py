"""Value types for the fleet's processes and for the membership view."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import xxhash

from ..configuration import Address

NO_TARGET = 0


class Role(enum.Enum):
    """Role of a process in the fleet."""

    BALANCER = "balancer"
    AGENT = "agent"


class MemberState(enum.IntEnum):
    """State of a process; of two claims with the same incarnation the greater state wins."""

    CANDIDATE = -1
    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A process of the fleet and its endpoints.

    Attributes:
        name: unique in the fleet; a replacement VM has a different name.
        target_number: number of the agent's target, `NO_TARGET` for a balancer.
        gossip: UDP endpoint for membership and load reports.
        tunnel: UDP endpoint for datagrams between balancers and agents.
        relay: TCP endpoint for relayed requests and configuration exchange.
        region: None if the fleet has one region.
    """

    name: str
    role: Role
    target_number: int
    gossip: Address
    tunnel: Address
    relay: Address
    failure_domain: str
    region: str | None = None

    @property
    def identifier(self) -> int:
        """Return the hash of the name that messages carry; never 0."""
        return identifier_of(self.name)


@dataclass(frozen=True, slots=True)
class MembershipView:
    """One process's view of the others; used only to choose where new work goes.

    Attributes:
        version: increases with each change.
        available: numbers of the targets whose agent is reachable and accepts new work.
        leaving: numbers of the targets whose agent announced that it is leaving.
        suspect: numbers of the targets whose agent missed probes but is not yet declared dead.
        dead: numbers of the targets whose agent was declared dead.
        alive: all processes in state `ALIVE`, balancers and agents, sorted by name.
        never_seen: numbers of the targets whose agent is a candidate that was never reachable.
        unreachable_names: names of the processes that are suspect or dead.
    """

    version: int = 0
    available: frozenset[int] = frozenset()
    leaving: frozenset[int] = frozenset()
    suspect: frozenset[int] = frozenset()
    dead: frozenset[int] = frozenset()
    alive: tuple[Member, ...] = ()
    never_seen: frozenset[int] = frozenset()
    unreachable_names: frozenset[str] = frozenset()

    @property
    def unresponsive(self) -> frozenset[int]:
        """Return the numbers of the targets whose agent is not known to be reachable."""
        return self.suspect | self.dead | self.never_seen

    @property
    def balancers(self) -> tuple[Member, ...]:
        """Return the balancers in state `ALIVE`, sorted by name."""
        return tuple(each for each in self.alive if each.role is Role.BALANCER)


def identifier_of(name: str) -> int:
    """Return the 64-bit hash of a member's name; never 0."""
    return xxhash.xxh64_intdigest(name.encode()) or 1
