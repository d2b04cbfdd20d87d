"""Probe scheduling, pending probes, and an estimate of this process's own health."""

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
    """Next step for an unanswered probe."""

    RETRY = "retry"
    FAILED = "failed"


@dataclass(slots=True)
class Probe:
    """A pending probe of one member.

    Attributes:
        retries: number of repetitions, each sent directly and through helpers.
        helpers: number of members that were asked to probe the target too.
        negative_acks: number of answers from helpers that did not reach the target either.
    """

    target: int
    address: Address
    started: float
    retries: int = 0
    helpers: int = 0
    negative_acks: int = 0


@dataclass(slots=True)
class Relay:
    """A ping sent on behalf of another member."""

    requester: Address
    requester_sequence: int
    target: int
    deadline: float


@dataclass(slots=True)
class SelfHealth:
    """Estimate of how slow this process itself is, so that it does not blame others for it.

    Attributes:
        slowness: 0 for a healthy process; each unit adds the base length to every timeout.
    """

    slowness: int = 0

    @property
    def factor(self) -> float:
        """Return the factor to multiply timeouts by."""
        return 1.0 + self.slowness

    def increase_slowness(self) -> None:
        """Record a sign that this process is slow or disconnected."""
        self.slowness = min(self.slowness + 1, MAXIMUM_SLOWNESS)

    def decrease_slowness(self) -> None:
        """Record a sign that this process is healthy."""
        self.slowness = max(self.slowness - 1, 0)


@dataclass(slots=True)
class Prober:
    """Chooses the members to probe and tracks pending probes.

    In each period it probes its successor on the ring of identifiers, so that every member has one
    prober that never skips it, and another member from a shuffled round over all members.
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
        """Return a new sequence number."""
        self._sequence += 1
        return self._sequence

    def due_targets(self, now: float) -> list[int]:
        """Return the members to probe now; empty between periods."""
        if now < self.next_probe:
            return []
        self.next_probe = max(self.next_probe + PROBE_SECONDS, now)
        successor = self._successor()
        if successor is None:
            return []
        other = self._next_of_round(successor)
        return [successor] if other is None else [successor, other]

    def next_on_ring(self) -> int | None:
        """Return the next successor on the ring, to probe when the current one is slow to answer.

        If several adjacent members end together, this detects them without one period for each.
        """
        return self._successor() if len(self.probes) < MAXIMUM_PROBES else None

    def begin(self, target: int, address: Address, now: float) -> int:
        """Start a probe and return its sequence number."""
        sequence = self.next_sequence()
        self.probes[sequence] = Probe(target, address, now)
        return sequence

    def finish(self, sequence: int) -> Probe | None:
        """Remove an answered probe and return it, or None if it is no longer pending."""
        probe = self.probes.pop(sequence, None)
        if probe is not None:
            self.health.decrease_slowness()
        return probe

    def steps(self, now: float) -> Iterator[tuple[int, Probe, ProbeStep]]:
        """Yield the probes whose next step is due, and remove those that failed."""
        for sequence, probe in list(self.probes.items()):
            waited = (now - probe.started) / self.health.factor
            if waited >= FAILURE_SECONDS:
                del self.probes[sequence]
                if probe.negative_acks < min(probe.helpers, 1):
                    self.health.increase_slowness()
                yield sequence, probe, ProbeStep.FAILED
            elif probe.retries < len(RETRY_SECONDS) and waited >= RETRY_SECONDS[probe.retries]:
                probe.retries += 1
                yield sequence, probe, ProbeStep.RETRY

    def choose_helpers(self, sequence: int, target: int) -> list[int]:
        """Return the members to send ping requests for this probe to."""
        helpers = [each for each in self.sample_peers(HELPERS + 1) if each != target][:HELPERS]
        if sequence in self.probes:
            self.probes[sequence].helpers += len(helpers)
        return helpers

    def is_from_other_process(self, answer: Ack, source: Address) -> bool:
        """Return whether a helper relayed the answer of a process other than the one probed.

        The helper may have pinged an earlier address of the member, so this proves nothing.
        """
        probe = self.probes.get(answer.sequence)
        return probe is not None and answer.sender != probe.target and source != probe.address

    def note_negative_ack(self, sequence: int) -> None:
        """Record that a helper answered but did not reach the probed member either."""
        if sequence in self.probes:
            self.probes[sequence].negative_acks += 1

    def sample_peers(self, count: int) -> list[int]:
        """Return up to `count` random reachable members, preferring those that are not suspect."""
        ordered = self.roster.reachable.ordered
        drawn = self.random.sample(ordered, min(2 * count, len(ordered)))
        drawn.sort(key=self._is_suspect)
        return drawn[:count]

    def begin_relay(self, requester: Address, sequence: int, target: int, now: float) -> int | None:
        """Register a ping for another member; return its sequence number, or None at the limit."""
        if len(self.relays) >= MAXIMUM_RELAYS:
            return None
        own_sequence = self.next_sequence()
        self.relays[own_sequence] = Relay(requester, sequence, target, now + RELAY_SECONDS)
        return own_sequence

    def expired_relays(self, now: float) -> list[Relay]:
        """Remove and return the relayed pings that got no answer in time."""
        expired = [each for each, relay in self.relays.items() if relay.deadline <= now]
        return [self.relays.pop(each) for each in expired]

    def extend_probes(self, seconds: float) -> None:
        """Extend all pending probes, for example by the length of a scheduling pause."""
        for probe in self.probes.values():
            probe.started += seconds

    def cancel_all(self) -> None:
        """Remove all pending probes and relayed pings."""
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
