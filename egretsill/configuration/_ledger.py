"""Selects the revision in force at one process: the highest seen, never followed by a lower one.

A new process first holds back the revisions that it receives. It puts the highest in force once
`REQUIRED_SETTLED_PEERS` peers have announced theirs as in force, or once its start-up time has
passed. While a peer is known to have a higher revision whose content is still being fetched, it
waits up to `EXTENSION_FACTOR` times as long, so that a stale platform doesn't make it start with
an old revision.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from ._bundle_codec import Publication
from ._messages import Rank

REQUIRED_SETTLED_PEERS = 3
EXTENSION_FACTOR = 3.0
MAXIMUM_CONFLICTS_KEPT = 64


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Use this publication from now on."""

    publication: Publication


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """Two different contents with one revision number; every process uses the higher digest.

    Attributes:
        kept: digest of the content that stays or is put in force.
        dropped: digest of the other content.
    """

    revision: int
    kept: str
    dropped: str


LedgerEffect: TypeAlias = PutInForce | RevisionConflict


class RevisionLedger:
    """Tracks publications and announcements by their rank: revision, then digest.

    Args:
        now: time in seconds at which the process started.
        start_seconds: length of the start-up time.
    """

    def __init__(self, now: float, start_seconds: float) -> None:
        self._start_until = now + start_seconds
        self._extended_until = now + EXTENSION_FACTOR * start_seconds
        self._held: Publication | None = None
        self._settled = False
        self._highest_announced: Rank | None = None
        self._settled_peers: set[str] = set()
        self._conflicts: set[RevisionConflict] = set()
        self._older_ignored = 0

    @property
    def held(self) -> Publication | None:
        """Return the highest publication seen, in force or held back."""
        return self._held

    @property
    def in_force(self) -> Publication | None:
        """Return the publication in force."""
        return self._held if self._settled else None

    @property
    def rank(self) -> Rank | None:
        """Return the rank of the highest publication seen."""
        return self._held.head.rank if self._held else None

    @property
    def settled(self) -> bool:
        """Return whether the start-up phase has ended."""
        return self._settled

    @property
    def older_ignored(self) -> int:
        """Return how many lower revisions were offered and ignored."""
        return self._older_ignored

    @property
    def conflicts(self) -> int:
        """Return how many pairs of different contents with one revision number were seen."""
        return len(self._conflicts)

    def is_newer(self, rank: Rank) -> bool:
        """Return whether a rank is higher than the one held, so that its content is needed."""
        return self.rank is None or rank > self.rank

    def offer(self, publication: Publication, now: float) -> Sequence[LedgerEffect]:
        """Accept a publication with verified content if its rank is the highest so far."""
        rank = publication.head.rank
        effects: list[LedgerEffect] = list(self._detect_conflict(rank))
        if self.is_newer(rank):
            self._held = publication
            if self._settled:
                effects.append(PutInForce(publication))
        elif rank != self.rank:
            self._older_ignored += 1
        return [*effects, *self.settle(now)]

    def note_announcement(
        self, sender: str, rank: Rank | None, settled: bool, now: float
    ) -> Sequence[LedgerEffect]:
        """Record the rank that a peer announced, and whether it is in force there."""
        effects: list[LedgerEffect] = []
        if rank is not None:
            effects.extend(self._detect_conflict(rank))
        if not self._settled:
            if rank is not None and (
                self._highest_announced is None or rank > self._highest_announced
            ):
                self._highest_announced = rank
            if settled:
                self._settled_peers.add(sender)
        return [*effects, *self.settle(now)]

    def note_platform(self, rank: Rank, now: float) -> Sequence[LedgerEffect]:
        """Record a lower rank read from the platform; its content is not read."""
        self._older_ignored += 1
        return [*self._detect_conflict(rank), *self.settle(now)]

    def settle(self, now: float) -> Sequence[LedgerEffect]:
        """End the start-up phase if its conditions are met; to be called regularly."""
        if self._settled or self._held is None:
            return []
        waiting = (
            self._highest_announced is not None and self._highest_announced > self._held.head.rank
        )
        has_enough_peers = len(self._settled_peers) >= REQUIRED_SETTLED_PEERS and not waiting
        timed_out = now >= (self._extended_until if waiting else self._start_until)
        if not (has_enough_peers or timed_out):
            return []
        self._settled = True
        self._settled_peers.clear()
        return [PutInForce(self._held)]

    def _detect_conflict(self, rank: Rank) -> Iterator[RevisionConflict]:
        if self._held is None or self._held.head.revision != rank[0]:
            return
        own = self._held.head.digest
        if own == rank[1]:
            return
        conflict = RevisionConflict(rank[0], max(own, rank[1]), min(own, rank[1]))
        if conflict in self._conflicts or len(self._conflicts) >= MAXIMUM_CONFLICTS_KEPT:
            return
        self._conflicts.add(conflict)
        yield conflict
