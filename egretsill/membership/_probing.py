"""Whom to probe next, which probes wait for an answer, and how well this process itself does."""

from __future__ import annotations

import enum
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..configuration import Address
from ._member import MemberState
from ._messages import Ack
from ._roster import Roster

PROBE_SECONDS = 0.5
RETRY_SECONDS = (0.1, 0.25)
FAILURE_SECONDS = 0.5
HELPERS = 3
RELAY_SECONDS = 0.2
MAXIMUM_RELAYS = 256
MAXIMUM_PROBES = 8
MAXIMUM_SLOWNESS = 3


class ProbeStep(enum.Enum):
    """What a probe without an answer calls for."""

    RETRY = "retry"
    FAILED = "failed"


@dataclass(slots=True)
class Probe:
    """One member's probe in progress.

    Attributes:
        retries: how often it was repeated, straight and through helpers.
        helpers: members that were asked to probe it too.
        helpers_heard: answers of helpers that did not reach the member either.
    """

    target: int
    address: Address
    started: float
    retries: int = 0
    helpers: int = 0
    helpers_heard: int = 0


@dataclass(slots=True)
class Relay:
    """A ping made for another member."""

    requester: Address
    requester_sequence: int
    target: int
    deadline: float


@dataclass(slots=True)
class SelfHealth:
    """How far this process should doubt itself before it doubts others.

    Attributes:
        slowness: 0 if all is well; waits are stretched by one more length for each unit.
    """

    slowness: int = 0

    @property
    def factor(self) -> float:
        """Return by how much to stretch waits."""
        return 1.0 + self.slowness

    def worse(self) -> None:
        """Note a sign that this process is slow or cut off."""
        self.slowness = min(self.slowness + 1, MAXIMUM_SLOWNESS)

    def better(self) -> None:
        """Note a sign that this process is well."""
        self.slowness = max(self.slowness - 1, 0)


@dataclass(slots=True)
class Prober:
    """Chooses whom to probe and keeps the probes in progress.

    Each period it probes its successor on the ring of identifiers, so that every member has one
    prober that never skips it, and one more member in a random round.
    """

    own_identifier: int
    roster: Roster
    random: random.Random
    next_probe: float
    health: SelfHealth = field(default_factory=SelfHealth)
    probes: dict[int, Probe] = field(default_factory=dict)
    relays: dict[int, Relay] = field(default_factory=dict)
    _round: list[int] = field(default_factory=list)
    _sequence: int = 0

    def next_sequence(self) -> int:
        """Return a number for the next question."""
        self._sequence += 1
        return self._sequence

    def due_targets(self, now: float) -> list[int]:
        """Return whom to probe now; empty between periods."""
        if now < self.next_probe:
            return []
        self.next_probe = max(self.next_probe + PROBE_SECONDS, now)
        successor = self._successor()
        if successor is None:
            return []
        other = self._next_of_round(successor)
        return [successor] if other is None else [successor, other]

    def next_on_ring(self) -> int | None:
        """Return the next successor on the ring, for when the one probed is slow to answer.

        So a run of members that ended together is found without a period for each.
        """
        return self._successor() if len(self.probes) < MAXIMUM_PROBES else None

    def begin(self, target: int, address: Address, now: float) -> int:
        """Start a probe and return its sequence number."""
        sequence = self.next_sequence()
        self.probes[sequence] = Probe(target, address, now)
        return sequence

    def end(self, sequence: int) -> Probe | None:
        """End a probe that was answered, and return it, or None if it is over."""
        probe = self.probes.pop(sequence, None)
        if probe is not None:
            self.health.better()
        return probe

    def steps(self, now: float) -> Iterator[tuple[int, Probe, ProbeStep]]:
        """Yield the probes that waited long enough for their next step; failed ones end."""
        for sequence, probe in list(self.probes.items()):
            waited = (now - probe.started) / self.health.factor
            if waited >= FAILURE_SECONDS:
                del self.probes[sequence]
                if probe.helpers_heard < min(probe.helpers, 1):
                    self.health.worse()
                yield sequence, probe, ProbeStep.FAILED
            elif probe.retries < len(RETRY_SECONDS) and waited >= RETRY_SECONDS[probe.retries]:
                probe.retries += 1
                yield sequence, probe, ProbeStep.RETRY

    def choose_helpers(self, sequence: int, target: int) -> list[int]:
        """Return members to go through in this probe."""
        helpers = [each for each in self.draw(HELPERS + 1) if each != target][:HELPERS]
        if sequence in self.probes:
            self.probes[sequence].helpers += len(helpers)
        return helpers

    def is_hearsay(self, answer: Ack, source: Address) -> bool:
        """Return whether a helper passed on the answer of another process than the one probed.

        It may have asked at an earlier address of the member, so that proves nothing.
        """
        probe = self.probes.get(answer.sequence)
        return probe is not None and answer.sender != probe.target and source != probe.address

    def note_unreached(self, sequence: int) -> None:
        """Note that a helper is there and did not reach the member either."""
        if sequence in self.probes:
            self.probes[sequence].helpers_heard += 1

    def draw(self, count: int) -> list[int]:
        """Return up to `count` different reachable members by lot, suspects only if need be."""
        ordered = self.roster.reachable.ordered
        drawn = self.random.sample(ordered, min(2 * count, len(ordered)))
        drawn.sort(key=self._is_suspect)
        return drawn[:count]

    def begin_relay(self, requester: Address, sequence: int, target: int, now: float) -> int | None:
        """Note a ping made for another; return its sequence number, or None if there are many."""
        if len(self.relays) >= MAXIMUM_RELAYS:
            return None
        own_sequence = self.next_sequence()
        self.relays[own_sequence] = Relay(requester, sequence, target, now + RELAY_SECONDS)
        return own_sequence

    def expired_relays(self, now: float) -> list[Relay]:
        """End and return the pings for others that got no answer in time."""
        expired = [each for each, relay in self.relays.items() if relay.deadline <= now]
        return [self.relays.pop(each) for each in expired]

    def shift(self, seconds: float) -> None:
        """Give all probes in progress more time, as for a process that did not run."""
        for probe in self.probes.values():
            probe.started += seconds

    def abandon(self) -> None:
        """Forget all probes in progress."""
        self.probes.clear()
        self.relays.clear()

    def _is_suspect(self, identifier: int) -> bool:
        entry = self.roster.get(identifier)
        return entry is not None and entry.state is MemberState.SUSPECT

    def _successor(self) -> int | None:
        probed = {each.target for each in self.probes.values()}
        for identifier in self.roster.reachable.after(self.own_identifier):
            entry = self.roster.get(identifier)
            if entry is None or entry.state is MemberState.SUSPECT or identifier in probed:
                continue
            return identifier
        return None

    def _next_of_round(self, successor: int) -> int | None:
        for _ in range(2):
            while self._round:
                identifier = self._round.pop()
                entry = self.roster.get(identifier)
                if identifier != successor and entry and entry.state < MemberState.DEAD:
                    return identifier
            self._round = list(self.roster.reachable.ordered)
            self.random.shuffle(self._round)
        return None
