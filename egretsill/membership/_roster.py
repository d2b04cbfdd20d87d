"""The table of known members, with the rule for which claim wins, and digests of the table."""

from __future__ import annotations

import bisect
import struct
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

import xxhash

from ..configuration import Address
from ._effects import MemberChanged
from ._member import NO_TARGET, Member, MembershipView, MemberState
from ._messages import MAXIMUM_DEPTH, MemberUpdate

MAXIMUM_MEMBERS = 20_000
RANGE_MEMBERS = 24

_IDENTIFIER_BITS = 64
_DIGEST_INPUT = struct.Struct(">QQB")
_REACHABLE = frozenset({MemberState.ALIVE, MemberState.LEAVING, MemberState.SUSPECT})


class IdentifierSet:
    """Sorted set of identifiers, for random sampling and for iterating over the ring."""

    def __init__(self) -> None:
        self._ordered: list[int] = []

    @property
    def ordered(self) -> Sequence[int]:
        """Return the identifiers in ascending order."""
        return self._ordered

    def __len__(self) -> int:
        return len(self._ordered)

    def add(self, identifier: int) -> None:
        """Add an identifier if it is absent."""
        index = bisect.bisect_left(self._ordered, identifier)
        if index == len(self._ordered) or self._ordered[index] != identifier:
            self._ordered.insert(index, identifier)

    def discard(self, identifier: int) -> None:
        """Remove an identifier if it is present."""
        index = bisect.bisect_left(self._ordered, identifier)
        if index < len(self._ordered) and self._ordered[index] == identifier:
            del self._ordered[index]

    def after(self, identifier: int) -> Iterator[int]:
        """Yield all identifiers once, in ring order after the given one."""
        start = bisect.bisect_right(self._ordered, identifier)
        yield from self._ordered[start:]
        yield from self._ordered[:start]


@dataclass(slots=True)
class Entry:
    """State of one known member.

    Attributes:
        since: time of the last state change, in seconds.
    """

    member: Member
    identifier: int
    incarnation: int
    state: MemberState
    since: float

    @property
    def update(self) -> MemberUpdate:
        """Return the claim that this entry holds."""
        return MemberUpdate(self.identifier, self.incarnation, self.state.value)


class Roster:
    """Table of all other members that this process knows."""

    def __init__(self) -> None:
        self._entries: dict[int, Entry] = {}
        self._by_address: dict[Address, int] = {}
        self._digests = [0] * 2**MAXIMUM_DEPTH
        self._version = 0
        self._view = MembershipView()
        self.reachable = IdentifierSet()
        self.unreachable = IdentifierSet()

    @property
    def entries(self) -> Iterable[Entry]:
        """Return the entries of all known members."""
        return self._entries.values()

    @property
    def view(self) -> MembershipView:
        """Return the current view."""
        if self._view.version != self._version:
            self._view = self._build_view()
        return self._view

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, identifier: int) -> Entry | None:
        """Return the entry of a member, or None if it is unknown."""
        return self._entries.get(identifier)

    def at_address(self, address: Address) -> Entry | None:
        """Return the entry of the member that was last known at a gossip address."""
        return self._entries.get(self._by_address.get(address, 0))

    def add(self, member: Member, now: float) -> Entry | None:
        """Add a member as a candidate and return its entry, or None if the table is full.

        The addresses of a known member are updated only while it is unreachable.
        """
        identifier = member.identifier
        entry = self._entries.get(identifier)
        if entry is not None:
            if entry.state not in _REACHABLE:
                self.update_addresses(entry, member)
            return entry
        if len(self._entries) >= MAXIMUM_MEMBERS:
            return None
        entry = Entry(member, identifier, 0, MemberState.CANDIDATE, now)
        self._entries[identifier] = entry
        self._by_address.setdefault(member.gossip, identifier)
        self.unreachable.add(identifier)
        self._version += 1
        return entry

    def update_addresses(self, entry: Entry, member: Member) -> None:
        """Replace the addresses of an entry with those of a member of the same name."""
        if entry.member == member:
            return
        if self._by_address.get(entry.member.gossip) == entry.identifier:
            del self._by_address[entry.member.gossip]
        entry.member = member
        self._by_address.setdefault(member.gossip, entry.identifier)
        self._version += 1

    def remove(self, identifier: int) -> None:
        """Remove a member."""
        entry = self._entries.pop(identifier)
        self._toggle_digest(entry)
        self.reachable.discard(identifier)
        self.unreachable.discard(identifier)
        if self._by_address.get(entry.member.gossip) == identifier:
            del self._by_address[entry.member.gossip]
        self._version += 1

    def apply(self, update: MemberUpdate, now: float) -> MemberChanged | None:
        """Apply a claim about a known member if it is newer than the known claim.

        The higher incarnation wins; of two claims with the same incarnation, the greater state.
        """
        entry = self._entries[update.identifier]
        if not is_newer(update, entry):
            return None
        before = entry.state
        self._toggle_digest(entry)
        entry.incarnation = update.incarnation
        entry.state = MemberState(update.state)
        self._toggle_digest(entry)
        if entry.state is MemberState.ALIVE:
            self._by_address[entry.member.gossip] = entry.identifier
        if entry.state is before:
            return None
        entry.since = now
        self._version += 1
        self._update_reachability(entry)
        return MemberChanged(entry.member, before, entry.state)

    def depth(self) -> int:
        """Return the depth that splits the members into ranges of about `RANGE_MEMBERS`."""
        depth = 0
        while depth < MAXIMUM_DEPTH and len(self._entries) > RANGE_MEMBERS * 2**depth:
            depth += 1
        return depth

    def digests(self, depth: int) -> list[int]:
        """Return the digest of each of `2**depth` ranges of identifiers."""
        width = 2 ** (MAXIMUM_DEPTH - depth)
        folded = []
        for first in range(0, len(self._digests), width):
            digest = 0
            for each in self._digests[first : first + width]:
                digest ^= each
            folded.append(digest)
        return folded

    def updates_in(self, depth: int, ranges: Iterable[int]) -> list[MemberUpdate]:
        """Return all claims in these ranges of identifiers."""
        wanted = set(ranges)
        return [
            entry.update
            for entry in self._entries.values()
            if entry.state is not MemberState.CANDIDATE
            and range_of(entry.identifier, depth) in wanted
        ]

    def _update_reachability(self, entry: Entry) -> None:
        if entry.state in _REACHABLE:
            self.unreachable.discard(entry.identifier)
            self.reachable.add(entry.identifier)
        else:
            self.reachable.discard(entry.identifier)
            self.unreachable.add(entry.identifier)

    def _toggle_digest(self, entry: Entry) -> None:
        """Add an entry to the digest of its range, or remove it if it is already included."""
        index = range_of(entry.identifier, MAXIMUM_DEPTH)
        self._digests[index] ^= digest_of(entry.update)

    def _build_view(self) -> MembershipView:
        numbers: dict[MemberState, set[int]] = {state: set() for state in MemberState}
        alive = []
        unreachable_names = set()
        for entry in self._entries.values():
            numbers[entry.state].add(entry.member.target_number)
            if entry.state is MemberState.ALIVE:
                alive.append(entry.member)
            elif entry.state in (MemberState.SUSPECT, MemberState.DEAD):
                unreachable_names.add(entry.member.name)
        for each in numbers.values():
            each.discard(NO_TARGET)
        # If an agent was replaced, its target has a dead and a live entry; the live one counts.
        available = numbers[MemberState.ALIVE]
        leaving = numbers[MemberState.LEAVING] - available
        suspect = numbers[MemberState.SUSPECT] - available - leaving
        dead = numbers[MemberState.DEAD] - available - leaving - suspect
        never_seen = numbers[MemberState.CANDIDATE] - available - leaving - suspect - dead
        return MembershipView(
            self._version,
            frozenset(available),
            frozenset(leaving),
            frozenset(suspect),
            frozenset(dead),
            tuple(sorted(alive, key=lambda each: each.name)),
            frozenset(never_seen),
            frozenset(unreachable_names),
        )


def range_of(identifier: int, depth: int) -> int:
    """Return the number of the range, out of `2**depth`, that contains an identifier."""
    return identifier >> (_IDENTIFIER_BITS - depth)


def digest_of(update: MemberUpdate) -> int:
    """Return the value of a claim that is XORed into the digest of its range.

    A suspect member has the same value as a live one and a dead member has 0, so that views have
    equal digests if they differ only in short-lived states.
    """
    state = MemberState(update.state)
    if state not in _REACHABLE:
        return 0
    leaving = state is MemberState.LEAVING
    data = _DIGEST_INPUT.pack(update.identifier, update.incarnation, leaving)
    return xxhash.xxh64_intdigest(data)


def is_newer(update: MemberUpdate, entry: Entry) -> bool:
    """Return whether a claim is newer than the known one."""
    known = (entry.incarnation, entry.state)
    return (update.incarnation, update.state) > known
