"""The table of known members: which claim about a member wins, and digests of it all."""

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
    """Identifiers in order, for drawing lots and for walking round the ring."""

    def __init__(self) -> None:
        self._ordered: list[int] = []

    @property
    def ordered(self) -> Sequence[int]:
        """Return the identifiers in order."""
        return self._ordered

    def __len__(self) -> int:
        return len(self._ordered)

    def add(self, identifier: int) -> None:
        """Add an identifier that may be there already."""
        place = bisect.bisect_left(self._ordered, identifier)
        if place == len(self._ordered) or self._ordered[place] != identifier:
            self._ordered.insert(place, identifier)

    def discard(self, identifier: int) -> None:
        """Remove an identifier that may be absent."""
        place = bisect.bisect_left(self._ordered, identifier)
        if place < len(self._ordered) and self._ordered[place] == identifier:
            del self._ordered[place]

    def after(self, identifier: int) -> Iterator[int]:
        """Yield the identifiers that follow one on the ring, each once."""
        start = bisect.bisect_right(self._ordered, identifier)
        yield from self._ordered[start:]
        yield from self._ordered[:start]


@dataclass(slots=True)
class Entry:
    """What is known of one member.

    Attributes:
        since: when the state last changed, in seconds.
    """

    member: Member
    identifier: int
    incarnation: int
    state: MemberState
    since: float

    @property
    def update(self) -> MemberUpdate:
        """Return the claim that this entry stands for."""
        return MemberUpdate(self.identifier, self.incarnation, self.state.value)


class Roster:
    """All other members that this process knows of."""

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
        """Make a member known as a candidate; return None if the table is full.

        A member that does not answer is taken with its new addresses, if they changed.
        """
        identifier = member.identifier
        entry = self._entries.get(identifier)
        if entry is not None:
            if entry.state not in _REACHABLE:
                self.readdress(entry, member)
            return entry
        if len(self._entries) >= MAXIMUM_MEMBERS:
            return None
        entry = Entry(member, identifier, 0, MemberState.CANDIDATE, now)
        self._entries[identifier] = entry
        self._by_address.setdefault(member.gossip, identifier)
        self.unreachable.add(identifier)
        self._version += 1
        return entry

    def readdress(self, entry: Entry, member: Member) -> None:
        """Take the addresses that a member of the same name has now."""
        if entry.member == member:
            return
        if self._by_address.get(entry.member.gossip) == entry.identifier:
            del self._by_address[entry.member.gossip]
        entry.member = member
        self._by_address.setdefault(member.gossip, entry.identifier)
        self._version += 1

    def remove(self, identifier: int) -> None:
        """Forget a member."""
        entry = self._entries.pop(identifier)
        self._toggle_digest(entry)
        self.reachable.discard(identifier)
        self.unreachable.discard(identifier)
        if self._by_address.get(entry.member.gossip) == identifier:
            del self._by_address[entry.member.gossip]
        self._version += 1

    def apply(self, update: MemberUpdate, now: float) -> MemberChanged | None:
        """Take a claim about a known member if it beats what is known.

        The higher incarnation wins; of two claims with one incarnation, the greater state.
        """
        entry = self._entries[update.identifier]
        if not beats(update, entry):
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
        self._file(entry)
        return MemberChanged(entry.member, before, entry.state)

    def depth(self) -> int:
        """Return into how many ranges, as a power of two, the identifiers are best split."""
        depth = 0
        while depth < MAXIMUM_DEPTH and len(self._entries) > RANGE_MEMBERS * 2**depth:
            depth += 1
        return depth

    def digests(self, depth: int) -> list[int]:
        """Return one digest for each of `2**depth` ranges of identifiers."""
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

    def _file(self, entry: Entry) -> None:
        if entry.state in _REACHABLE:
            self.unreachable.discard(entry.identifier)
            self.reachable.add(entry.identifier)
        else:
            self.reachable.discard(entry.identifier)
            self.unreachable.add(entry.identifier)

    def _toggle_digest(self, entry: Entry) -> None:
        """Put an entry into its range's digest, or take it out again."""
        place = range_of(entry.identifier, MAXIMUM_DEPTH)
        self._digests[place] ^= digest_of(entry.update)

    def _build_view(self) -> MembershipView:
        numbers: dict[MemberState, set[int]] = {state: set() for state in MemberState}
        alive = []
        unanswering = set()
        for entry in self._entries.values():
            numbers[entry.state].add(entry.member.target_number)
            if entry.state is MemberState.ALIVE:
                alive.append(entry.member)
            elif entry.state in (MemberState.SUSPECT, MemberState.DEAD):
                unanswering.add(entry.member.name)
        for each in numbers.values():
            each.discard(NO_TARGET)
        # A target whose agent was replaced has a dead entry and a live one; the live one counts.
        available = numbers[MemberState.ALIVE]
        leaving = numbers[MemberState.LEAVING] - available
        suspect = numbers[MemberState.SUSPECT] - available - leaving
        dead = numbers[MemberState.DEAD] - available - leaving - suspect
        unheard = numbers[MemberState.CANDIDATE] - available - leaving - suspect - dead
        return MembershipView(
            self._version,
            frozenset(available),
            frozenset(leaving),
            frozenset(suspect),
            frozenset(dead),
            tuple(sorted(alive, key=lambda each: each.name)),
            frozenset(unheard),
            frozenset(unanswering),
        )


def range_of(identifier: int, depth: int) -> int:
    """Return the number of the range, of `2**depth`, that an identifier is in."""
    return identifier >> (_IDENTIFIER_BITS - depth)


def digest_of(update: MemberUpdate) -> int:
    """Return what a claim adds to its range's digest, by exclusive or.

    A suspicion adds what the claim that it suspects does, and a dead member adds nothing, so that
    views which differ only in what soon passes have the same digest.
    """
    state = MemberState(update.state)
    if state not in _REACHABLE:
        return 0
    leaving = state is MemberState.LEAVING
    data = _DIGEST_INPUT.pack(update.identifier, update.incarnation, leaving)
    return xxhash.xxh64_intdigest(data)


def beats(update: MemberUpdate, entry: Entry) -> bool:
    """Return whether a claim is newer than what is known."""
    known = (entry.incarnation, entry.state)
    return (update.incarnation, update.state) > known
