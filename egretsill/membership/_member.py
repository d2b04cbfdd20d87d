"""The processes of the fleet as values, and the view of them that others read."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import xxhash

from ..configuration import Address

NO_TARGET = 0


class Role(enum.Enum):
    """What a process does."""

    BALANCER = "balancer"
    AGENT = "agent"


class MemberState(enum.IntEnum):
    """What is known of a process; of two claims with one incarnation the greater state wins."""

    CANDIDATE = -1
    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One process of the fleet and where to reach it.

    Attributes:
        name: unique in the fleet; a VM that replaces another has a name of its own.
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
        """Return the short form of the name that messages carry; never 0."""
        return identifier_of(self.name)


@dataclass(frozen=True, slots=True)
class MembershipView:
    """What one process knows of the others; it chooses where new work goes and nothing else.

    Attributes:
        version: greater after each change.
        available: numbers of the targets whose agent answers and takes new work.
        leaving: numbers of the targets whose agent announced that it leaves.
        suspect: numbers of the targets whose agent missed probes and may still answer.
        dead: numbers of the targets whose agent does not answer.
        alive: all processes that answer and stay, balancers and agents, in order of name.
        unheard: numbers of the targets whose agent is a candidate that was never heard of.
        unanswering: names of the processes that do not answer.
    """

    version: int = 0
    available: frozenset[int] = frozenset()
    leaving: frozenset[int] = frozenset()
    suspect: frozenset[int] = frozenset()
    dead: frozenset[int] = frozenset()
    alive: tuple[Member, ...] = ()
    unheard: frozenset[int] = frozenset()
    unanswering: frozenset[str] = frozenset()

    @property
    def unresponsive(self) -> frozenset[int]:
        """Return the numbers of the targets whose agent is not known to answer."""
        return self.suspect | self.dead | self.unheard

    @property
    def balancers(self) -> tuple[Member, ...]:
        """Return the live balancers in order of name."""
        return tuple(each for each in self.alive if each.role is Role.BALANCER)


def identifier_of(name: str) -> int:
    """Return the short form of a member's name."""
    return xxhash.xxh64_intdigest(name.encode()) or 1
