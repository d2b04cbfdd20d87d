"""How news travels between processes: pushed to a few, then compared with a random one."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from ..wire import Address
from ._messages import MAXIMUM_CONTACT_AGE_MS, NO_REVISION, Announcement, Rank

FAN_OUT = 4
MAXIMUM_SOURCES = 8


@dataclass(frozen=True, slots=True)
class Peer:
    """Another process of the fleet.

    Attributes:
        gossip: UDP endpoint for announcements.
        relay: TCP endpoint for content.
    """

    name: str
    failure_domain: str
    gossip: Address
    relay: Address


@dataclass(frozen=True, slots=True)
class Standing:
    """What this process can tell of itself at a moment.

    Attributes:
        rank: of the highest publication that it holds, or None.
        settled: whether that is in force.
        contact_age_seconds: since the platform's latest known answer; None if there was none.
    """

    rank: Rank | None
    settled: bool
    contact_age_seconds: float | None


@dataclass(frozen=True, slots=True)
class Announce:
    """Send an announcement to a gossip endpoint."""

    to: Address
    message: Announcement


@dataclass(frozen=True, slots=True)
class FetchFrom:
    """Fetch the content of a rank from a relay endpoint, and report the end of it."""

    relay: Address
    rank: Rank


ExchangeEffect: TypeAlias = Announce | FetchFrom


class Exchange:
    """Decides whom to tell and whom to ask; one fetch at a time.

    Args:
        name: of this process.
        relay: TCP endpoint of this process.
    """

    def __init__(self, name: str, failure_domain: str, relay: Address, random: Random) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._relay = relay
        self._random = random
        self._fetching: Rank | None = None
        self._sources: dict[Address, Rank] = {}

    def push(self, standing: Standing, peers: Sequence[Peer]) -> Sequence[ExchangeEffect]:
        """Tell a few random peers of news, one of them in another failure domain."""
        chosen = self._choose(peers)
        return [Announce(peer.gossip, self._announcement(standing, False)) for peer in chosen]

    def compare(
        self, standing: Standing, peers: Sequence[Peer], count: int = 1
    ) -> Sequence[ExchangeEffect]:
        """Ask random peers what they have; to be called every period."""
        chosen = self._sample(peers, count)
        return [Announce(peer.gossip, self._announcement(standing, True)) for peer in chosen]

    def ask(self, standing: Standing, endpoints: Sequence[Address]) -> Sequence[ExchangeEffect]:
        """Ask the processes at known endpoints what they have, as at the start."""
        return [Announce(each, self._announcement(standing, True)) for each in endpoints]

    def receive(
        self, message: Announcement, sender: Address, standing: Standing
    ) -> Sequence[ExchangeEffect]:
        """Take a peer's announcement: fetch what is higher, tell what is lower."""
        if message.sender == self._name:
            return []
        effects: list[ExchangeEffect] = []
        theirs, own = message.rank, standing.rank
        if theirs is not None and (own is None or theirs > own):
            effects.extend(self._want(Address(*message.relay), theirs))
        behind = own is not None and (theirs is None or theirs < own)
        if message.answer_wanted or behind:
            effects.append(Announce(sender, self._announcement(standing, False)))
        return effects

    def fetch_ended(self, relay: Address, standing: Standing) -> Sequence[ExchangeEffect]:
        """Go on after a fetch, whether it brought anything or not."""
        self._fetching = None
        self._sources.pop(relay, None)
        wanted = {
            source: rank
            for source, rank in self._sources.items()
            if standing.rank is None or rank > standing.rank
        }
        self._sources = wanted
        if not wanted:
            return []
        best = max(wanted, key=lambda source: wanted[source])
        return self._want(best, wanted[best])

    def _want(self, relay: Address, rank: Rank) -> Sequence[FetchFrom]:
        if relay in self._sources or len(self._sources) < MAXIMUM_SOURCES:
            self._sources[relay] = rank
        if self._fetching is not None:
            return []
        self._fetching = rank
        return [FetchFrom(relay, rank)]

    def _sample(self, peers: Sequence[Peer], count: int) -> list[Peer]:
        """Return up to `count` random peers; the list may hold this process itself."""
        drawn = self._random.sample(peers, min(count + 1, len(peers)))
        return [peer for peer in drawn if peer.name != self._name][:count]

    def _choose(self, peers: Sequence[Peer]) -> Sequence[Peer]:
        chosen = self._sample(peers, FAN_OUT)
        if any(peer.failure_domain != self._failure_domain for peer in chosen):
            return chosen
        distant = [peer for peer in peers if peer.failure_domain != self._failure_domain]
        if distant:
            chosen[-1] = self._random.choice(distant)
        return chosen

    def _announcement(self, standing: Standing, answer_wanted: bool) -> Announcement:
        age = standing.contact_age_seconds
        age_ms = None if age is None else min(int(max(age, 0) * 1000), MAXIMUM_CONTACT_AGE_MS)
        revision, digest = standing.rank or (NO_REVISION, "")
        return Announcement(
            sender=self._name,
            revision=revision,
            digest=digest,
            settled=standing.settled,
            contact_age_ms=age_ms,
            relay=self._relay,
            answer_wanted=answer_wanted,
        )
