"""All decisions of one process about its configuration, without I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from ..wire import Address
from ._bundle_codec import Publication
from ._exchange import Announce, Exchange, FetchFrom, LocalState, Peer
from ._ledger import PutInForce, RevisionConflict, RevisionLedger
from ._messages import Announcement, Rank
from ._readers import ReadScheduler

COMPARISONS_AFTER_JUMP = 3
BACKLOG_SECONDS = 1.0

CoreEffect: TypeAlias = PutInForce | RevisionConflict | Announce | FetchFrom


@dataclass(frozen=True, slots=True)
class DistributionTimes:
    """Durations in seconds.

    Attributes:
        period: between two comparisons with a random peer.
        fetch: longest wait for all content from a peer.
        start: length of the start-up phase, in which nothing is put in force.
        start_spread: window in which a new process first reads the VM list.
        silence: age of the platform's latest known response at which each process reads directly.
        watch: length of one watch.
        vm_list: between two reads of the VM list, longer in a large fleet.
    """

    period: float = 1.0
    fetch: float = 5.0
    start: float = 2.0
    start_spread: float = 1.5
    silence: float = 20.0
    watch: float = 5.0
    vm_list: float = 10.0


class DistributionCore:
    """Combines the ledger, the read schedule and the exchange of one process.

    Args:
        name: of this process, as in the VM list.
        relay: TCP endpoint at which it answers requests from peers.
        seeds: gossip endpoints that get announcements while no peer is known.
        now: time in seconds at which the process started.
    """

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        relay: Address,
        seeds: Sequence[Address],
        random: Random,
        now: float,
        times: DistributionTimes,
    ) -> None:
        self._times = times
        self._seeds = tuple(seeds)
        self._random = random
        self._ledger = RevisionLedger(now, times.start)
        self._read_scheduler = ReadScheduler(name, failure_domain, random, now, times.silence)
        self._exchange = Exchange(name, failure_domain, relay, random)
        self._next_comparison_at = now
        self._contacts_valid_from = now

    @property
    def ledger(self) -> RevisionLedger:
        """Return the revisions that are known and in force; callers must not change them."""
        return self._ledger

    @property
    def read_scheduler(self) -> ReadScheduler:
        """Return the object that decides when this process reads the platform."""
        return self._read_scheduler

    def local_state(self, now: float) -> LocalState:
        """Return the state that this process announces to peers."""
        at = self._read_scheduler.last_contact_at
        age = None if at is None else max(0.0, now - at)
        return LocalState(self._ledger.rank, self._ledger.settled, age)

    def receive(self, message: Announcement, sender: Address, now: float) -> Sequence[CoreEffect]:
        """Process an announcement received from a gossip endpoint."""
        if message.contact_age_ms is not None and now >= self._contacts_valid_from:
            self._read_scheduler.note_contact(now - message.contact_age_ms / 1000)
        noted = self._ledger.note_announcement(message.sender, message.rank, message.settled, now)
        return [*noted, *self._exchange.receive(message, sender, self.local_state(now))]

    def tick(self, now: float, peers: Callable[[], Sequence[Peer]]) -> Sequence[CoreEffect]:
        """Return the effects that are due; to be called a few times in each period.

        `peers` is called only when a peer is to be chosen.
        """
        settled = self._ledger.settle(now)
        if now < self._next_comparison_at:
            return settled
        self._next_comparison_at = now + self._times.period * self._random.uniform(0.75, 1.25)
        return [*settled, *self._compare(now, peers(), 1)]

    def compare_after_pause(self, now: float, peers: Sequence[Peer]) -> Sequence[CoreEffect]:
        """Compare with several peers at once after a scheduling pause of this process.

        Contact ages in announcements that were queued during the pause are out of date, so they
        are ignored for `BACKLOG_SECONDS`.
        """
        self._contacts_valid_from = now + BACKLOG_SECONDS
        return self._compare(now, peers, COMPARISONS_AFTER_JUMP)

    def offer(
        self, publication: Publication, now: float, peers: Sequence[Peer]
    ) -> Sequence[CoreEffect]:
        """Accept a publication with verified content, and push it to peers if it is newer."""
        before = self._ledger.rank
        effects = self._ledger.offer(publication, now)
        if self._ledger.rank == before:
            return effects
        return [*effects, *self._exchange.push(self.local_state(now), peers)]

    def note_platform_rank(self, rank: Rank, now: float) -> Sequence[CoreEffect]:
        """Record a rank read from the platform that isn't higher than the one held."""
        own = self._ledger.rank
        if own is None or rank >= own:
            return []
        return self._ledger.note_platform(rank, now)

    def fetch_ended(self, relay: Address, now: float) -> Sequence[CoreEffect]:
        """Start the next fetch after one from a peer has succeeded or failed."""
        return self._exchange.fetch_ended(relay, self.local_state(now))

    def _compare(self, now: float, peers: Sequence[Peer], count: int) -> Sequence[CoreEffect]:
        local_state = self.local_state(now)
        if peers:
            return self._exchange.compare(local_state, peers, count)
        return self._exchange.request_announcements(local_state, self._seeds)
