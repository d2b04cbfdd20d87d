"""All decisions of one process about its configuration in one place, free of I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

from ..wire import Address
from ._bundle_codec import Publication
from ._exchange import Announce, Exchange, FetchFrom, Peer, Standing
from ._ledger import PutInForce, RevisionConflict, RevisionLedger
from ._messages import Announcement, Rank
from ._readers import ReadDuty

COMPARISONS_AFTER_JUMP = 3
BACKLOG_SECONDS = 1.0

CoreEffect: TypeAlias = PutInForce | RevisionConflict | Announce | FetchFrom


@dataclass(frozen=True, slots=True)
class DistributionTimes:
    """Durations in seconds.

    Attributes:
        period: between two comparisons with a random peer.
        fetch: longest wait for all content from a peer.
        start: length of the start-up in which nothing is put in force.
        start_spread: window in which a new process first reads the VM list.
        silence: age of the platform's latest known answer at which each process reads by itself.
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
    """Joins the ledger, the reading duty and the exchange of one process.

    Args:
        name: of this process, as in the VM list.
        relay: TCP endpoint at which it answers questions of peers.
        seeds: gossip endpoints to ask while no peer is known.
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
        self._duty = ReadDuty(name, failure_domain, random, now, times.silence)
        self._exchange = Exchange(name, failure_domain, relay, random)
        self._compare_at = now
        self._contacts_from = now

    @property
    def ledger(self) -> RevisionLedger:
        """Return what is known and in force; only to be read."""
        return self._ledger

    @property
    def duty(self) -> ReadDuty:
        """Return when this process reads the platform."""
        return self._duty

    def standing(self, now: float) -> Standing:
        """Return what this process can tell of itself."""
        at = self._duty.contact_at
        age = None if at is None else max(0.0, now - at)
        return Standing(self._ledger.rank, self._ledger.settled, age)

    def receive(self, message: Announcement, sender: Address, now: float) -> Sequence[CoreEffect]:
        """Take an announcement that arrived from a gossip endpoint."""
        if message.contact_age_ms is not None and now >= self._contacts_from:
            self._duty.note_contact(now - message.contact_age_ms / 1000)
        noted = self._ledger.note_announcement(message.sender, message.rank, message.settled, now)
        return [*noted, *self._exchange.receive(message, sender, self.standing(now))]

    def tick(self, now: float, peers: Callable[[], Sequence[Peer]]) -> Sequence[CoreEffect]:
        """Do what is due; to be called a few times in each period.

        The peers are asked for only when one is to be chosen.
        """
        settled = self._ledger.settle(now)
        if now < self._compare_at:
            return settled
        self._compare_at = now + self._times.period * self._random.uniform(0.75, 1.25)
        return [*settled, *self._compare(now, peers(), 1)]

    def wake(self, now: float, peers: Sequence[Peer]) -> Sequence[CoreEffect]:
        """Ask around at once after this process did not run for a while.

        Announcements that waited meanwhile tell ages that are no longer true.
        """
        self._contacts_from = now + BACKLOG_SECONDS
        return self._compare(now, peers, COMPARISONS_AFTER_JUMP)

    def offer(
        self, publication: Publication, now: float, peers: Sequence[Peer]
    ) -> Sequence[CoreEffect]:
        """Take a publication whose content was checked; push it on if it is news."""
        before = self._ledger.rank
        effects = self._ledger.offer(publication, now)
        if self._ledger.rank == before:
            return effects
        return [*effects, *self._exchange.push(self.standing(now), peers)]

    def note_platform_rank(self, rank: Rank, now: float) -> Sequence[CoreEffect]:
        """Note a rank that the platform has and that is no news."""
        own = self._ledger.rank
        if own is None or rank >= own:
            return []
        return self._ledger.note_platform(rank, now)

    def fetch_ended(self, relay: Address, now: float) -> Sequence[CoreEffect]:
        """Go on after a fetch from a peer, whether it brought anything or not."""
        return self._exchange.fetch_ended(relay, self.standing(now))

    def _compare(self, now: float, peers: Sequence[Peer], count: int) -> Sequence[CoreEffect]:
        standing = self.standing(now)
        if peers:
            return self._exchange.compare(standing, peers, count)
        return self._exchange.ask(standing, self._seeds)
