"""Claims about members: which are taken, which are passed on, and which are refuted."""

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
from ._roster import Entry, Roster, beats, digest_of, range_of

SUSPICION_SECONDS = 1.5
REMINDER_SECONDS = 0.3
FORGET_SECONDS = 7_200.0
MAXIMUM_WANTED = 2_000


@dataclass(slots=True)
class Wanted:
    """A member known by its identifier only, and who named it."""

    update: MemberUpdate
    source: Address
    tries: int = 0


@dataclass(slots=True)
class _Suspicion:
    deadline: float
    next_reminder: float | None


class Claims:
    """What this process claims and believes about every member, itself included.

    Args:
        incarnation: start of this process in milliseconds since 1970.
        outbox: takes the effects.
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
        self.wanted: dict[int, Wanted] = {}
        self.last_return = -math.inf
        self.last_change = -math.inf
        self.dissemination.add(self.own_update)

    @property
    def incarnation(self) -> int:
        """Return this process's present incarnation."""
        return self._incarnation

    @property
    def own_update(self) -> MemberUpdate:
        """Return what this process claims about itself."""
        return MemberUpdate(self.identifier, self._incarnation, self._own_state.value)

    def record_of(self, identifier: int) -> MemberRecord | None:
        """Return all that is known of a member, or None if nothing is."""
        if identifier == self.identifier:
            return MemberRecord.of(self.own, self._incarnation, self._own_state.value)
        entry = self.roster.get(identifier)
        if entry is None or entry.state is MemberState.CANDIDATE:
            return None
        return MemberRecord.of(entry.member, entry.incarnation, entry.state.value)

    def digests(self, depth: int) -> list[int]:
        """Return one digest for each of `2**depth` ranges of identifiers, own claim included."""
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
        """Return what is known here and newer than these claims."""
        newer = []
        for update in updates:
            entry = self.roster.get(update.identifier)
            if entry is not None and (entry.incarnation, entry.state) > update[1:]:
                newer.append(entry.update)
        return tuple(newer)

    def declare(self, state: MemberState) -> None:
        """Change what this process claims about itself; to take a claim back is a new life."""
        if state < self._own_state:
            self._incarnation += 1
        self._own_state = state
        self.dissemination.add(self.own_update)

    def merge(
        self, update: MemberUpdate, source: Address, now: float, pass_on: bool = True
    ) -> None:
        """Take in one claim that a message from `source` carried, and pass on a new one.

        A claim that others ask for by themselves needs no passing on.
        """
        if update.identifier == self.identifier:
            self._defend(update, source)
            return
        entry = self.roster.get(update.identifier)
        if entry is None:
            self._want(update, source)
        elif beats(update, entry):
            self.accept(entry, update, now, pass_on)
        elif update.incarnation == entry.incarnation and update.state == entry.state:
            self.dissemination.heard(update)

    def merge_all(
        self,
        updates: Iterable[MemberUpdate],
        source: Address,
        now: float,
        pass_on: bool = True,
    ) -> None:
        """Take in the claims that a message carried."""
        for update in updates:
            self.merge(update, source, now, pass_on)

    def merge_record(self, record: MemberRecord, source: Address, now: float) -> None:
        """Take in a member that may be new, and the claim about it."""
        member = record.member
        identifier = member.identifier
        self.wanted.pop(identifier, None)
        if identifier != self.identifier:
            entry = self.roster.add(member, now)
            if entry is None:
                return
            if record.incarnation > entry.incarnation:
                self.roster.readdress(entry, member)
        self.merge(MemberUpdate(identifier, record.incarnation, record.state), source, now)

    def accept(self, entry: Entry, update: MemberUpdate, now: float, pass_on: bool = True) -> None:
        """Believe a claim that beats what is known."""
        former = self.roster.at_address(entry.member.gossip)
        # Whoever suspects a member buries it without being told.
        expected = entry.state is MemberState.SUSPECT and update.state == MemberState.DEAD
        change = self.roster.apply(update, now)
        if pass_on:
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
            self.last_return = now
        if change.after is MemberState.ALIVE and former is not None and former is not entry:
            self._replace(former, entry, now)

    def suspect(self, entry: Entry, now: float) -> None:
        """Suspect a member that did not answer a probe, and tell it so."""
        if entry.state not in (MemberState.ALIVE, MemberState.LEAVING):
            return
        claim = MemberUpdate(entry.identifier, entry.incarnation, MemberState.SUSPECT.value)
        self.accept(entry, claim, now)
        self._await_refutation(entry, now, now)

    def bury(self, entry: Entry, now: float) -> None:
        """Claim that a member is dead."""
        claim = MemberUpdate(entry.identifier, entry.incarnation, MemberState.DEAD.value)
        if beats(claim, entry):
            self.accept(entry, claim, now)

    def check_suspicions(self, now: float) -> None:
        """Remind suspects of what is claimed, and bury those that nobody heard in time."""
        for identifier, suspicion in list(self._suspicions.items()):
            entry = self.roster.get(identifier)
            if entry is None:
                del self._suspicions[identifier]
            elif suspicion.deadline <= now:
                self.bury(entry, now)
            elif suspicion.next_reminder is not None and suspicion.next_reminder <= now:
                suspicion.next_reminder = now + REMINDER_SECONDS
                self._outbox.append(Send(entry.member.gossip, Gossip((entry.update,))))

    def restart_suspicions(self, now: float) -> None:
        """Give every suspect its whole time again, as after a pause of this process."""
        for suspicion in self._suspicions.values():
            suspicion.deadline = now + SUSPICION_SECONDS * self._health.factor

    def forget(self, keep: frozenset[int], now: float) -> None:
        """Forget members that are long dead or no candidates any more, but for those to keep."""
        for entry in list(self.roster.entries):
            if entry.identifier in keep:
                continue
            old = entry.state is MemberState.DEAD and now - entry.since > FORGET_SECONDS
            if old or entry.state is MemberState.CANDIDATE:
                self.roster.remove(entry.identifier)

    def for_message_to(self, identifier: int, now: float) -> tuple[MemberUpdate, ...]:
        """Return the claims to send along with a message to this member.

        What is held against the receiver comes first, so that it can refute that at once.
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

    def _defend(self, update: MemberUpdate, source: Address) -> None:
        """Refute a claim about this process that is newer than its own."""
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
            self._health.worse()

    def _want(self, update: MemberUpdate, source: Address) -> None:
        if update.state == MemberState.DEAD:
            self.wanted.pop(update.identifier, None)
        elif update.identifier in self.wanted or len(self.wanted) < MAXIMUM_WANTED:
            known = self.wanted.get(update.identifier)
            if known is None:
                self.wanted[update.identifier] = Wanted(update, source)

    def _replace(self, former: Entry, successor: Entry, now: float) -> None:
        """Bury a member whose address a later one answers at."""
        if former.incarnation < successor.incarnation:
            self.bury(former, now)
