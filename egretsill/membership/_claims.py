"""Claims about members: which are accepted, disseminated and refuted."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..configuration import Address
from ._dissemination import ByteBudget, Dissemination
from ._effects import Effect, Send
from ._member import Member, MemberState
from ._messages import (
    MAXIMUM_INCARNATION,
    PIGGYBACK_UPDATES,
    Gossip,
    MemberRecord,
    MemberUpdate,
)
from ._probing import SelfHealth
from ._roster import Entry, Roster, digest_of, is_newer, range_of

SUSPICION_SECONDS = 1.5
REMINDER_SECONDS = 0.3
DEAD_RETENTION_SECONDS = 7_200.0
MAXIMUM_UNRESOLVED = 2_000


@dataclass(slots=True)
class UnresolvedMember:
    """A member known only by its identifier, and the address that mentioned it."""

    update: MemberUpdate
    source: Address
    tries: int = 0


@dataclass(slots=True)
class _Suspicion:
    deadline: float
    next_reminder: float | None


class Claims:
    """The current claim about every known member, including this process.

    Args:
        incarnation: start of this process in milliseconds since 1970.
        outbox: list that effects are appended to.
    """

    def __init__(
        self,
        own: Member,
        incarnation: int,
        health: SelfHealth,
        budget: ByteBudget,
        outbox: list[Effect],
    ) -> None:
        self._own_state = MemberState.ALIVE
        self._incarnation = incarnation
        self._health = health
        self._outbox = outbox
        self._suspicions: dict[int, _Suspicion] = {}
        self.budget = budget
        self.own = own
        self.identifier = own.identifier
        self.roster = Roster()
        self.dissemination = Dissemination()
        self.unresolved: dict[int, UnresolvedMember] = {}
        self.last_recovery = -math.inf
        self.last_change = -math.inf
        self.dissemination.add(self.own_update)

    @property
    def incarnation(self) -> int:
        """Return this process's current incarnation."""
        return self._incarnation

    @property
    def own_update(self) -> MemberUpdate:
        """Return the current claim of this process about itself."""
        return MemberUpdate(self.identifier, self._incarnation, self._own_state.value)

    def record_of(self, identifier: int) -> MemberRecord | None:
        """Return the record of a member, or None if it is unknown or only a candidate."""
        if identifier == self.identifier:
            return MemberRecord.of(self.own, self._incarnation, self._own_state.value)
        entry = self.roster.get(identifier)
        if entry is None or entry.state is MemberState.CANDIDATE:
            return None
        return MemberRecord.of(entry.member, entry.incarnation, entry.state.value)

    def digests(self, depth: int) -> list[int]:
        """Return the digest of each of `2**depth` ranges of identifiers, own claim included."""
        digests = self.roster.digests(depth)
        digests[range_of(self.identifier, depth)] ^= digest_of(self.own_update)
        return digests

    def updates_in(self, depth: int, ranges: Iterable[int]) -> list[MemberUpdate]:
        """Return all claims in these ranges of identifiers, own claim included."""
        wanted = set(ranges)
        updates = self.roster.updates_in(depth, wanted)
        if range_of(self.identifier, depth) in wanted:
            updates.append(self.own_update)
        return updates

    def newer_than(self, updates: Iterable[MemberUpdate]) -> tuple[MemberUpdate, ...]:
        """Return the claims of this process that are newer than these ones."""
        newer = []
        for update in updates:
            entry = self.roster.get(update.identifier)
            if entry is not None and (entry.incarnation, entry.state) > update[1:]:
                newer.append(entry.update)
        return tuple(newer)

    def set_own_state(self, state: MemberState) -> None:
        """Set the state this process claims for itself; a lower state raises the incarnation."""
        if state < self._own_state:
            self._incarnation += 1
        self._own_state = state
        self.dissemination.add(self.own_update)

    def merge(
        self, update: MemberUpdate, source: Address, now: float, disseminate: bool = True
    ) -> None:
        """Merge one claim received from `source`; disseminate it if it is new.

        `disseminate` is False for answers of synchronization, as others request those themselves.
        """
        if update.identifier == self.identifier:
            self._refute(update, source)
            return
        entry = self.roster.get(update.identifier)
        if entry is None:
            self._note_unresolved(update, source)
        elif is_newer(update, entry):
            self.accept(entry, update, now, disseminate)
        elif update.incarnation == entry.incarnation and update.state == entry.state:
            self.dissemination.heard(update)

    def merge_all(
        self,
        updates: Iterable[MemberUpdate],
        source: Address,
        now: float,
        disseminate: bool = True,
    ) -> None:
        """Merge all claims of a message."""
        for update in updates:
            self.merge(update, source, now, disseminate)

    def merge_record(self, record: MemberRecord, source: Address, now: float) -> None:
        """Add the member of a record if it is new, and merge the claim about it."""
        member = record.member
        identifier = member.identifier
        self.unresolved.pop(identifier, None)
        if identifier != self.identifier:
            entry = self.roster.add(member, now)
            if entry is None:
                return
            if record.incarnation > entry.incarnation:
                self.roster.update_addresses(entry, member)
        self.merge(MemberUpdate(identifier, record.incarnation, record.state), source, now)

    def accept(
        self, entry: Entry, update: MemberUpdate, now: float, disseminate: bool = True
    ) -> None:
        """Apply a claim that is newer than the known one."""
        former = self.roster.at_address(entry.member.gossip)
        # Every process that suspects a member declares it dead by itself when its timeout expires.
        expected = entry.state is MemberState.SUSPECT and update.state == MemberState.DEAD
        change = self.roster.apply(update, now)
        if disseminate:
            self.dissemination.add(update, expected)
            self.dissemination.resize(len(self.roster.reachable))
        if entry.state is not MemberState.SUSPECT:
            self._suspicions.pop(entry.identifier, None)
        if change is None:
            return
        self._outbox.append(change)
        self.last_change = now
        if change.after is MemberState.SUSPECT:
            self._await_refutation(entry, now, None)
        if change.before is MemberState.DEAD:
            self.last_recovery = now
        if change.after is MemberState.ALIVE and former is not None and former is not entry:
            self._declare_replaced_dead(former, entry, now)

    def suspect(self, entry: Entry, now: float) -> None:
        """Suspect a member that did not answer a probe, and start sending it reminders."""
        if entry.state not in (MemberState.ALIVE, MemberState.LEAVING):
            return
        claim = MemberUpdate(entry.identifier, entry.incarnation, MemberState.SUSPECT.value)
        self.accept(entry, claim, now)
        self._await_refutation(entry, now, now)

    def declare_dead(self, entry: Entry, now: float) -> None:
        """Declare a member dead."""
        claim = MemberUpdate(entry.identifier, entry.incarnation, MemberState.DEAD.value)
        if is_newer(claim, entry):
            self.accept(entry, claim, now)

    def check_suspicions(self, now: float) -> None:
        """Send due reminders to suspects and declare dead those that did not refute in time."""
        for identifier, suspicion in list(self._suspicions.items()):
            entry = self.roster.get(identifier)
            if entry is None:
                del self._suspicions[identifier]
            elif suspicion.deadline <= now:
                self.declare_dead(entry, now)
            elif suspicion.next_reminder is not None and suspicion.next_reminder <= now:
                suspicion.next_reminder = now + REMINDER_SECONDS
                self._outbox.append(Send(entry.member.gossip, Gossip((entry.update,))))

    def restart_suspicion_timeouts(self, now: float) -> None:
        """Restart the timeout of every suspicion, for example after a scheduling pause."""
        for suspicion in self._suspicions.values():
            suspicion.deadline = now + SUSPICION_SECONDS * self._health.factor

    def remove_obsolete(self, keep: frozenset[int], now: float) -> None:
        """Remove candidates and members that died long ago, except those in `keep`."""
        for entry in list(self.roster.entries):
            if entry.identifier in keep:
                continue
            old = entry.state is MemberState.DEAD and now - entry.since > DEAD_RETENTION_SECONDS
            if old or entry.state is MemberState.CANDIDATE:
                self.roster.remove(entry.identifier)

    def piggyback_for(self, identifier: int, now: float) -> tuple[MemberUpdate, ...]:
        """Return the claims to piggyback on a message to this member.

        A claim that the receiver is suspect or dead comes first, so that it can refute it at once.
        """
        entry = self.roster.get(identifier)
        most = min(len(self.dissemination), PIGGYBACK_UPDATES)
        updates = self.dissemination.take(self.budget.share(most, now) if most else 0)
        if entry is not None and entry.state > MemberState.LEAVING:
            updates.insert(0, entry.update)
        return tuple(updates)

    def _await_refutation(self, entry: Entry, now: float, reminder: float | None) -> None:
        deadline = now + SUSPICION_SECONDS * self._health.factor
        self._suspicions[entry.identifier] = _Suspicion(deadline, reminder)

    def _refute(self, update: MemberUpdate, source: Address) -> None:
        """Refute a claim about this process that is newer than its own one."""
        own = (self._incarnation, self._own_state)
        refutable = update.incarnation < MAXIMUM_INCARNATION
        if self._own_state is MemberState.DEAD or not refutable:
            return
        if (update.incarnation, update.state) <= own:
            return
        self._incarnation = update.incarnation + 1
        self.dissemination.add(self.own_update)
        self._outbox.append(Send(source, Gossip((self.own_update,))))
        if update.state == MemberState.SUSPECT:
            self._health.increase_slowness()

    def _note_unresolved(self, update: MemberUpdate, source: Address) -> None:
        if update.state == MemberState.DEAD:
            self.unresolved.pop(update.identifier, None)
        elif update.identifier in self.unresolved or len(self.unresolved) < MAXIMUM_UNRESOLVED:
            known = self.unresolved.get(update.identifier)
            if known is None:
                self.unresolved[update.identifier] = UnresolvedMember(update, source)

    def _declare_replaced_dead(self, former: Entry, successor: Entry, now: float) -> None:
        """Declare the former member at an address dead if the successor started later."""
        if former.incarnation < successor.incarnation:
            self.declare_dead(former, now)
