"""Anti-entropy: compares views with other members and queries records of unknown members."""

from __future__ import annotations

import random
from collections.abc import Sequence

from ..configuration import Address
from ._claims import Claims
from ._dissemination import SYNC_BURST_BYTES, SYNC_BYTES_PER_SECOND, ByteBudget
from ._effects import Effect, Send
from ._messages import (
    MAXIMUM_DIGESTS,
    MAXIMUM_PARTS,
    MAXIMUM_RECORDS,
    MAXIMUM_REQUESTED,
    MAXIMUM_UPDATES,
    RECORD_BYTES,
    Gossip,
    MemberQuery,
    MemberRecord,
    MemberRecords,
    MemberUpdate,
    SyncDigests,
    SyncEntries,
)
from ._probing import Prober
from ._refresh import Refresh, blocks

SYNC_SECONDS = 1.0
UNSETTLED_SYNC_SECONDS = 0.4
UNSETTLED_SECONDS = 3.0
QUERY_SECONDS = 0.2
QUERY_TRIES = 5
QUERY_ANSWERS = 3
REFRESH_PEERS = 2
SYNC_PARTS = 1
QUESTION_UPDATES = 15


class Synchronization:
    """Repairs differences between views after lost gossip, and refreshes a stale view."""

    def __init__(
        self,
        claims: Claims,
        prober: Prober,
        random_source: random.Random,
        outbox: list[Effect],
        now: float,
    ) -> None:
        self._claims = claims
        self._prober = prober
        self._budget = ByteBudget(SYNC_BYTES_PER_SECOND, SYNC_BURST_BYTES, now)
        self._random = random_source
        self._outbox = outbox
        self._next_sync = now + SYNC_SECONDS * random_source.random()
        self._next_query = now
        self._next_block = 0
        self.refresh = Refresh(now)

    def tick(self, now: float) -> None:
        """Send the questions that are due."""
        self._send_refresh_questions(now)
        if now >= self._next_sync:
            unsettled = now - self._claims.last_change < UNSETTLED_SECONDS
            self._next_sync = now + (UNSETTLED_SYNC_SECONDS if unsettled else SYNC_SECONDS)
            self._compare_one_block(now)
        if now >= self._next_query and self._claims.unresolved:
            self._next_query = now + QUERY_SECONDS
            self._send_member_query()

    def on_digests(self, message: SyncDigests, sender: Address, now: float) -> None:
        """Answer with the claims in the ranges that differ, limited by the byte budget."""
        own = self._claims.digests(message.depth)[message.first :]
        differing = [
            message.first + index
            for index, (theirs, ours) in enumerate(zip(message.digests, own, strict=False))
            if theirs != ours
        ]
        updates = self._claims.updates_in(message.depth, differing) if differing else []
        self._random.shuffle(updates)
        self._send_answer(message, updates, sender, now)

    def on_entries(self, message: SyncEntries, sender: Address, now: float) -> None:
        """Merge one part of an answer, and send back newer claims for those that are outdated."""
        self._claims.merge_all(message.updates, sender, now, disseminate=False)
        newer = self._claims.newer_than(message.updates)
        if newer and self._budget.spend(len(newer), now):
            self._outbox.append(Send(sender, Gossip(newer)))
        self.refresh.on_answer(message.sequence, message.part, message.parts, message.complete)

    def on_query(self, message: MemberQuery, sender: Address) -> None:
        """Answer with the requested records, in at most `QUERY_ANSWERS` datagrams."""
        found = [self._claims.record_of(each) for each in message.identifiers]
        records = [each for each in found if each is not None]
        for batch in _batches(records)[:QUERY_ANSWERS]:
            self._outbox.append(Send(sender, MemberRecords(batch)))

    def on_records(self, message: MemberRecords, sender: Address, now: float) -> None:
        """Merge the received member records."""
        for record in message.records:
            self._claims.merge_record(record, sender, now)

    def _send_refresh_questions(self, now: float) -> None:
        if self.refresh.is_fresh(now):
            return
        due = self.refresh.due_blocks(self._claims.roster.depth(), now)
        if not due:
            return
        peers = self._prober.sample_peers(REFRESH_PEERS) or self._sample_unreachable()
        for block in due:
            for peer in peers:
                self.refresh.note_question(self._send_question(peer, block, MAXIMUM_PARTS), block)

    def _compare_one_block(self, now: float) -> None:
        peers = self._prober.sample_peers(1)
        if not peers:
            return
        due = blocks(self._claims.roster.depth())
        self._next_block = (self._next_block + 1) % len(due)
        if self._budget.spend(QUESTION_UPDATES, now):
            self._send_question(peers[0], due[self._next_block], SYNC_PARTS)

    def _send_question(self, peer: int, block: tuple[int, int], parts: int) -> int:
        depth, first = block
        digests = tuple(self._claims.digests(depth)[first : first + MAXIMUM_DIGESTS])
        sequence = self._prober.next_sequence()
        question = SyncDigests(sequence, self._claims.identifier, depth, first, digests, parts)
        entry = self._claims.roster.get(peer)
        if entry is not None:
            self._outbox.append(Send(entry.member.gossip, question))
        return sequence

    def _sample_unreachable(self) -> list[int]:
        ordered = self._claims.roster.unreachable.ordered
        return self._random.sample(ordered, min(REFRESH_PEERS, len(ordered)))

    def _send_answer(
        self, question: SyncDigests, updates: Sequence[MemberUpdate], sender: Address, now: float
    ) -> None:
        batches = [
            tuple(updates[first : first + MAXIMUM_UPDATES])
            for first in range(0, len(updates), MAXIMUM_UPDATES)
        ] or [()]
        sent = [each for each in batches[: question.parts] if self._budget.spend(len(each), now)]
        complete = len(sent) == len(batches) and self.refresh.is_fresh(now)
        for part, batch in enumerate(sent):
            answer = SyncEntries(question.sequence, part, len(sent), complete, batch)
            self._outbox.append(Send(sender, answer))

    def _send_member_query(self) -> None:
        """Query records of unknown members from one of the addresses that mentioned them."""
        source = next(iter(self._claims.unresolved.values())).source
        asked: list[int] = []
        for identifier, unresolved in list(self._claims.unresolved.items()):
            if unresolved.source != source or len(asked) == MAXIMUM_REQUESTED:
                continue
            asked.append(identifier)
            unresolved.tries += 1
            if unresolved.tries >= QUERY_TRIES:
                del self._claims.unresolved[identifier]
        self._outbox.append(Send(source, MemberQuery(tuple(asked))))


def _batches(records: Sequence[MemberRecord]) -> list[tuple[MemberRecord, ...]]:
    """Split records into batches that each fit in one datagram."""
    batches: list[tuple[MemberRecord, ...]] = []
    batch: list[MemberRecord] = []
    size = 0
    for record in records:
        if batch and (size + record.encoded_bytes > RECORD_BYTES or len(batch) == MAXIMUM_RECORDS):
            batches.append(tuple(batch))
            batch, size = [], 0
        batch.append(record)
        size += record.encoded_bytes
    return [*batches, tuple(batch)] if batch else batches
