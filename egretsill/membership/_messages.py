"""Messages of the membership protocol; each fits in one datagram of 1,200 bytes."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from ..configuration import Address
from ._member import Member, MemberState, Role

MAXIMUM_DATAGRAM_BYTES = 1_200
MAXIMUM_UPDATES = 50
PIGGYBACK_UPDATES = 12
MAXIMUM_DIGESTS = 64
MAXIMUM_DEPTH = 9
MAXIMUM_REQUESTED = 50
MAXIMUM_RECORDS = 12
MAXIMUM_PARTS = 12
RECORD_BYTES = 1_100
RECORD_OVERHEAD_BYTES = 56
MAXIMUM_NAME_BYTES = 64
MAXIMUM_INCARNATION = 2**53
ANY_MEMBER = 0

_UPDATE_STATES = frozenset(each.value for each in MemberState if each >= MemberState.ALIVE)
_ROLE_NUMBERS: Mapping[Role, int] = {Role.BALANCER: 0, Role.AGENT: 1}
_ROLES = {number: role for role, number in _ROLE_NUMBERS.items()}


class MemberUpdate(NamedTuple):
    """A claim about one member.

    Attributes:
        identifier: hash of the member's name.
        incarnation: start of the process in milliseconds since 1970, or one more than the
            incarnation of the last claim that the process refuted.
        state: value of a `MemberState`.
    """

    identifier: int
    incarnation: int
    state: int


class MemberRecord(NamedTuple):
    """Wire format of a member and the claim about it."""

    name: str
    role: int
    target_number: int
    gossip: Address
    tunnel: Address
    relay: Address
    failure_domain: str
    region: str | None
    incarnation: int
    state: int

    @classmethod
    def of(cls, member: Member, incarnation: int, state: int) -> MemberRecord:
        """Return the record of a member with this incarnation and state."""
        return cls(
            member.name,
            _ROLE_NUMBERS[member.role],
            member.target_number,
            member.gossip,
            member.tunnel,
            member.relay,
            member.failure_domain,
            member.region,
            incarnation,
            state,
        )

    @property
    def member(self) -> Member:
        """Return the member that the record describes."""
        return Member(
            self.name,
            _ROLES[self.role],
            self.target_number,
            self.gossip,
            self.tunnel,
            self.relay,
            self.failure_domain,
            self.region,
        )

    @property
    def encoded_bytes(self) -> int:
        """Return an upper bound of the record's size on the wire, in bytes."""
        hosts = len(self.gossip.host) + len(self.tunnel.host) + len(self.relay.host)
        names = len(self.name.encode()) + len(self.failure_domain.encode())
        return RECORD_OVERHEAD_BYTES + hosts + names + len((self.region or "").encode())


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an `Ack` from a member.

    Attributes:
        sequence: returned in the `Ack`.
        sender: identifier of the requester.
        incarnation: of the requester.
        target: identifier of the member being probed, or `ANYONE`.
    """

    sequence: int
    sender: int
    incarnation: int
    target: int
    updates: tuple[MemberUpdate, ...] = ()

    def __post_init__(self) -> None:
        _check_header(self.sequence, self.sender, self.incarnation)
        _check_number(self.target)
        object.__setattr__(self, "updates", _checked_updates(self.updates))


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a `Ping`, directly or relayed by the receiver of a `PingRequest`.

    Attributes:
        sequence: of the ping or ping request.
        sender: identifier of the member that answered the ping.
        incarnation: of that member, 0 if it was not reached.
        reached: False if the receiver of a `PingRequest` got no answer from the target.
    """

    sequence: int
    sender: int
    incarnation: int
    reached: bool
    updates: tuple[MemberUpdate, ...] = ()

    def __post_init__(self) -> None:
        _check_header(self.sequence, self.sender, self.incarnation)
        object.__setattr__(self, "updates", _checked_updates(self.updates))


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a member to ping another one and to relay the answer."""

    sequence: int
    sender: int
    incarnation: int
    target: int
    updates: tuple[MemberUpdate, ...] = ()

    def __post_init__(self) -> None:
        _check_header(self.sequence, self.sender, self.incarnation)
        _check_number(self.target)
        object.__setattr__(self, "updates", _checked_updates(self.updates))


@dataclass(frozen=True, slots=True)
class Gossip:
    """Carries claims; no answer is expected."""

    updates: tuple[MemberUpdate, ...]

    def __post_init__(self) -> None:
        object.__setattr__(self, "updates", _checked_updates(self.updates))


@dataclass(frozen=True, slots=True)
class SyncDigests:
    """Requests the claims in those ranges of identifiers whose digests differ.

    Attributes:
        depth: identifiers are split into `2**depth` ranges by their first bits.
        first: number of the first range in `digests`.
        digests: one for each range.
        parts: maximum number of parts in the answer.
    """

    sequence: int
    sender: int
    depth: int
    first: int
    digests: tuple[int, ...]
    parts: int

    def __post_init__(self) -> None:
        _check_number(self.sequence)
        _check_number(self.sender)
        if self.depth > MAXIMUM_DEPTH or len(self.digests) > MAXIMUM_DIGESTS:
            raise ValueError
        if self.depth < 0 or not 0 <= self.first <= 2**self.depth - len(self.digests):
            raise ValueError
        for digest in self.digests:
            _check_number(digest)
        if not 1 <= self.parts <= MAXIMUM_PARTS:
            raise ValueError


@dataclass(frozen=True, slots=True)
class SyncEntries:
    """Answers `SyncDigests` in one or more parts.

    Attributes:
        part: number of this part, from 0.
        parts: number of parts, at least 1.
        complete: whether the parts together cover every range that differs.
    """

    sequence: int
    part: int
    parts: int
    complete: bool
    updates: tuple[MemberUpdate, ...]

    def __post_init__(self) -> None:
        _check_number(self.sequence)
        if not 0 <= self.part < self.parts <= MAXIMUM_PARTS:
            raise ValueError
        object.__setattr__(self, "updates", _checked_updates(self.updates))


@dataclass(frozen=True, slots=True)
class MemberQuery:
    """Requests the records of members of which only the identifier is known."""

    identifiers: tuple[int, ...]

    def __post_init__(self) -> None:
        if len(self.identifiers) > MAXIMUM_REQUESTED:
            raise ValueError
        for identifier in self.identifiers:
            _check_number(identifier)


@dataclass(frozen=True, slots=True)
class MemberRecords:
    """Answers a `MemberQuery` partly or completely."""

    records: tuple[MemberRecord, ...]

    def __post_init__(self) -> None:
        if len(self.records) > MAXIMUM_RECORDS:
            raise ValueError
        object.__setattr__(self, "records", tuple(_checked_record(each) for each in self.records))


MembershipMessage: TypeAlias = (
    Ping | Ack | PingRequest | Gossip | SyncDigests | SyncEntries | MemberQuery | MemberRecords
)

MEMBERSHIP_TYPES: Mapping[int, type] = {
    60: Ping,
    61: Ack,
    62: PingRequest,
    63: Gossip,
    64: SyncDigests,
    65: SyncEntries,
    66: MemberQuery,
    67: MemberRecords,
}


def _check_number(value: object) -> None:
    """Raise ValueError unless the value is an integer of at most 64 bits."""
    if type(value) is not int or not 0 <= value < 2**64:
        raise ValueError


def _check_header(sequence: int, sender: int, incarnation: int) -> None:
    _check_number(sequence)
    _check_number(sender)
    if not 0 <= incarnation <= MAXIMUM_INCARNATION:
        raise ValueError


def _check_claim(incarnation: object, state: object) -> None:
    if type(incarnation) is not int or not 0 <= incarnation <= MAXIMUM_INCARNATION:
        raise ValueError
    if type(state) is not int or state not in _UPDATE_STATES:
        raise ValueError


def _checked_updates(updates: Sequence[MemberUpdate]) -> tuple[MemberUpdate, ...]:
    if len(updates) > MAXIMUM_UPDATES:
        raise ValueError
    return tuple(each if type(each) is MemberUpdate else _checked_update(each) for each in updates)


def _checked_update(update: MemberUpdate) -> MemberUpdate:
    """Convert a decoded plain tuple to a `MemberUpdate` and validate it."""
    checked = MemberUpdate(*update)
    _check_number(checked.identifier)
    _check_claim(checked.incarnation, checked.state)
    return checked


def _checked_record(record: MemberRecord) -> MemberRecord:
    checked = MemberRecord(*record)
    _check_text(checked.name, 1)
    _check_text(checked.failure_domain, 0)
    if checked.region is not None:
        _check_text(checked.region, 0)
    if type(checked.role) is not int or checked.role not in _ROLES:
        raise ValueError
    if type(checked.target_number) is not int or not 0 <= checked.target_number < 2**32:
        raise ValueError
    _check_claim(checked.incarnation, checked.state)
    return checked._replace(
        gossip=_checked_address(checked.gossip),
        tunnel=_checked_address(checked.tunnel),
        relay=_checked_address(checked.relay),
    )


def _check_text(value: object, minimum: int) -> None:
    if type(value) is not str or not minimum <= len(value.encode()) <= MAXIMUM_NAME_BYTES:
        raise ValueError


def _checked_address(value: Address) -> Address:
    host, port = value
    if type(host) is not str or type(port) is not int or not 0 < port < 2**16:
        raise ValueError
    ipaddress.ip_address(host)
    return Address(host, port)
