"""Spread of new revisions between processes by gossip.

A new revision is pushed to a few random peers; periodic comparison with a random peer covers the
rest.
"""

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
class LocalState:
    """State that this process announces to peers.

    Attributes:
        rank: of the highest publication that it holds, or None.
        settled: whether that is in force.
        contact_age_seconds: since the platform's latest known response; None if there was none.
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
    """Fetch the content of a rank from a relay endpoint, and report when the fetch has ended."""

    relay: Address
    rank: Rank


ExchangeEffect: TypeAlias = Announce | FetchFrom


class Exchange:
    """Decides which peers get announcements and which are fetched from, one fetch at a time.

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

    def push(self, local_state: LocalState, peers: Sequence[Peer]) -> Sequence[ExchangeEffect]:
        """Announce a new revision to a few random peers, one of them in another failure domain."""
        chosen = self._choose_push_peers(peers)
        return [Announce(peer.gossip, self._announcement(local_state, False)) for peer in chosen]

    def compare(
        self, local_state: LocalState, peers: Sequence[Peer], count: int = 1
    ) -> Sequence[ExchangeEffect]:
        """Request announcements from random peers; to be called every period."""
        chosen = self._sample(peers, count)
        return [Announce(peer.gossip, self._announcement(local_state, True)) for peer in chosen]

    def request_announcements(
        self, local_state: LocalState, endpoints: Sequence[Address]
    ) -> Sequence[ExchangeEffect]:
        """Request announcements from known endpoints, as at the start."""
        return [Announce(each, self._announcement(local_state, True)) for each in endpoints]

    def receive(
        self, message: Announcement, sender: Address, local_state: LocalState
    ) -> Sequence[ExchangeEffect]:
        """Process a peer's announcement.

        Fetches from the peer if its rank is higher, and replies if its rank is lower or if it
        requested a reply.
        """
        if message.sender == self._name:
            return []
        effects: list[ExchangeEffect] = []
        theirs, own = message.rank, local_state.rank
        if theirs is not None and (own is None or theirs > own):
            effects.extend(self._queue_fetch(Address(*message.relay), theirs))
        behind = own is not None and (theirs is None or theirs < own)
        if message.answer_wanted or behind:
            effects.append(Announce(sender, self._announcement(local_state, False)))
        return effects

    def fetch_ended(self, relay: Address, local_state: LocalState) -> Sequence[ExchangeEffect]:
        """Start the next fetch, if any is needed, after one has succeeded or failed."""
        self._fetching = None
        self._sources.pop(relay, None)
        wanted = {
            source: rank
            for source, rank in self._sources.items()
            if local_state.rank is None or rank > local_state.rank
        }
        self._sources = wanted
        if not wanted:
            return []
        best = max(wanted, key=lambda source: wanted[source])
        return self._queue_fetch(best, wanted[best])

    def _queue_fetch(self, relay: Address, rank: Rank) -> Sequence[FetchFrom]:
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

    def _choose_push_peers(self, peers: Sequence[Peer]) -> Sequence[Peer]:
        chosen = self._sample(peers, FAN_OUT)
        if any(peer.failure_domain != self._failure_domain for peer in chosen):
            return chosen
        distant = [peer for peer in peers if peer.failure_domain != self._failure_domain]
        if distant:
            chosen[-1] = self._random.choice(distant)
        return chosen

    def _announcement(self, local_state: LocalState, answer_wanted: bool) -> Announcement:
        age = local_state.contact_age_seconds
        age_ms = None if age is None else min(int(max(age, 0) * 1000), MAXIMUM_CONTACT_AGE_MS)
        revision, digest = local_state.rank or (NO_REVISION, "")
        return Announcement(
            sender=self._name,
            revision=revision,
            digest=digest,
            settled=local_state.settled,
            contact_age_ms=age_ms,
            relay=self._relay,
            answer_wanted=answer_wanted,
        )
