"""Messages fit in a datagram and decode unchanged; invalid data raises `MalformedMessage`."""

from __future__ import annotations

import random

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Address
from ...wire import Codec, MalformedMessage
from .. import (
    MAXIMUM_DATAGRAM_BYTES,
    MEMBERSHIP_TYPES,
    Member,
    Membership,
    MembershipMessage,
    Role,
)
from .._messages import (
    MAXIMUM_DIGESTS,
    MAXIMUM_INCARNATION,
    MAXIMUM_PARTS,
    MAXIMUM_REQUESTED,
    MAXIMUM_UPDATES,
    PIGGYBACK_UPDATES,
    Ack,
    Gossip,
    MemberQuery,
    MemberRecord,
    MemberRecords,
    MemberUpdate,
    Ping,
    PingRequest,
    SyncDigests,
    SyncEntries,
)
from .._synchronization import _batches

CODEC: Codec[MembershipMessage] = Codec("membership", MEMBERSHIP_TYPES)
LARGEST = 2**64 - 1
UPDATE = MemberUpdate(LARGEST, MAXIMUM_INCARNATION, 3)
ADDRESS = Address("2001:db8:ffff:ffff:ffff:ffff:ffff:ffff", 65_535)
LONG = Member("n" * 64, Role.AGENT, 2**32 - 1, ADDRESS, ADDRESS, ADDRESS, "d" * 64, "r" * 64)
SHORT_ADDRESS = Address("10.0.0.1", 1)
SHORT = Member("n", Role.BALANCER, 0, SHORT_ADDRESS, SHORT_ADDRESS, SHORT_ADDRESS, "d")
SENDER = Address("10.0.0.9", 7003)


def _record(member: Member) -> MemberRecord:
    return MemberRecord.of(member, MAXIMUM_INCARNATION, 0)


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(
            Ping(LARGEST, LARGEST, MAXIMUM_INCARNATION, LARGEST, (UPDATE,) * PIGGYBACK_UPDATES),
            id="ping",
        ),
        pytest.param(
            Ack(LARGEST, LARGEST, MAXIMUM_INCARNATION, False, (UPDATE,) * PIGGYBACK_UPDATES),
            id="ack",
        ),
        pytest.param(
            PingRequest(LARGEST, LARGEST, MAXIMUM_INCARNATION, 7, (UPDATE,) * PIGGYBACK_UPDATES),
            id="ping request",
        ),
        pytest.param(Gossip((UPDATE,) * MAXIMUM_UPDATES), id="gossip"),
        pytest.param(
            SyncDigests(LARGEST, LARGEST, 9, 448, (LARGEST,) * MAXIMUM_DIGESTS, MAXIMUM_PARTS),
            id="digests",
        ),
        pytest.param(
            SyncEntries(LARGEST, 11, MAXIMUM_PARTS, True, (UPDATE,) * MAXIMUM_UPDATES),
            id="entries",
        ),
        pytest.param(MemberQuery((LARGEST,) * MAXIMUM_REQUESTED), id="query"),
        *[
            pytest.param(MemberRecords(batch), id=f"records {name} {number}")
            for name, member in (("long", LONG), ("short", SHORT))
            for number, batch in enumerate(_batches([_record(member)] * 20))
        ],
    ],
)
def test_largest_messages_fit_one_datagram(message: MembershipMessage) -> None:
    data = CODEC.encode(message)
    assert len(data) <= MAXIMUM_DATAGRAM_BYTES
    assert CODEC.decode(data) == message


def test_record_size_is_an_upper_bound() -> None:
    for member in (LONG, SHORT):
        record = _record(member)
        encoded = CODEC.encode(MemberRecords((record,)))
        assert len(encoded) - 3 <= record.encoded_bytes
        assert record.member == member


GOOD_RECORD = list(_record(SHORT))


def _record_with(index: int, value: object) -> list[object]:
    changed: list[object] = list(GOOD_RECORD)
    changed[index] = value
    return changed


@pytest.mark.parametrize(
    "array",
    [
        pytest.param([60, 1, 2, 3], id="ping too short"),
        pytest.param([60, -1, 2, 3, 4, []], id="negative sequence"),
        pytest.param([60, 1, 2, 2**60, 4, []], id="incarnation too great"),
        pytest.param([60, 1, 2, 3, 4, [[1, 2]]], id="update too short"),
        pytest.param([60, 1, 2, 3, 4, [[1, 2, 9]]], id="unknown state"),
        pytest.param([60, 1, 2, 3, 4, [[1, 2, -1]]], id="candidate state"),
        pytest.param([60, 1, 2, 3, 4, [["x", 2, 0]]], id="identifier of the wrong type"),
        pytest.param([60, 1, 2, 3, 4, [7]], id="update is not an array"),
        pytest.param([60, 1, 2, 3, 4, [[1, 2, True]]], id="boolean state"),
        pytest.param([63, [[1, 2, 0]] * (MAXIMUM_UPDATES + 1)], id="too many updates"),
        pytest.param([64, 1, 2, 10, 0, [1], 1], id="ranges too fine"),
        pytest.param([64, 1, 2, -1, 0, [1], 1], id="negative depth"),
        pytest.param([64, 1, 2, 3, 8, [1], 1], id="range out of bounds"),
        pytest.param([64, 1, 2, 9, 0, [1] * 65, 1], id="too many digests"),
        pytest.param([64, 1, 2, 0, 0, [b"x"], 1], id="digest of the wrong type"),
        pytest.param([64, 1, 2, 0, 0, [1], 13], id="too many parts requested"),
        pytest.param([64, 1, 2, 0, 0, [1], 0], id="no parts requested"),
        pytest.param([65, 1, 1, 1, True, []], id="part out of bounds"),
        pytest.param([65, 1, 0, 99, True, []], id="too many parts"),
        pytest.param([66, [1] * 51], id="too many identifiers"),
        pytest.param([66, [None]], id="identifier is nil"),
        pytest.param([67, [GOOD_RECORD] * 13], id="too many records"),
        pytest.param([67, [_record_with(0, "")]], id="empty name"),
        pytest.param([67, [_record_with(0, "x" * 65)]], id="long name"),
        pytest.param([67, [_record_with(1, 2)]], id="unknown role"),
        pytest.param([67, [_record_with(2, 2**32)]], id="target number too great"),
        pytest.param([67, [_record_with(3, ["host.example", 1])]], id="host is not an IP address"),
        pytest.param([67, [_record_with(3, ["10.0.0.1", 0])]], id="port is 0"),
        pytest.param([67, [_record_with(4, ["10.0.0.1"])]], id="address too short"),
        pytest.param([67, [_record_with(7, 5)]], id="region of the wrong type"),
        pytest.param([67, [GOOD_RECORD[:-1]]], id="record too short"),
        pytest.param([59, 1], id="unknown tag"),
    ],
)
def test_malformed_message_raises(array: list[object]) -> None:
    with pytest.raises(MalformedMessage):
        CODEC.decode(msgpack.packb(array))


VALUES = st.sampled_from([None, True, -1, 0, 1, 2**63, 1.5, "", "x", b"x", [], [1], [[1, 2, 0]]])
TAGGED = st.tuples(st.integers(58, 69), st.lists(VALUES, max_size=7)).map(
    lambda pair: msgpack.packb([pair[0], *pair[1]])
)
VALID = [
    CODEC.encode(Ping(1, 2, 3, 4, (UPDATE,))),
    CODEC.encode(SyncDigests(1, 2, 2, 0, (5, 6, 7, 8), 1)),
    CODEC.encode(MemberRecords((_record(LONG), _record(SHORT)))),
]
DAMAGED = st.builds(
    lambda data, index, value: data[: index % len(data)] + value + data[index % len(data) + 1 :],
    st.sampled_from(VALID),
    st.integers(0, 1_000),
    st.binary(max_size=2),
)
TRUNCATED = st.builds(
    lambda data, length: data[: length % len(data)], st.sampled_from(VALID), st.integers(0, 1_000)
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(data=st.binary(max_size=200) | TAGGED | DAMAGED | TRUNCATED)
def test_any_datagram_decodes_or_raises(data: bytes) -> None:
    own = Membership(SHORT, 1, random.Random(1), 0.0)
    try:
        message = CODEC.decode(data)
    except MalformedMessage:
        return
    own.on_message(message, SENDER, 1.0)
    own.tick(1.1)


NUMBERS = st.integers(0, 3) | st.integers(0, 2**64 - 1)
UPDATES = st.lists(
    st.builds(MemberUpdate, NUMBERS, st.integers(0, MAXIMUM_INCARNATION), st.integers(0, 3)),
    max_size=8,
).map(tuple)
HEADER = (NUMBERS, NUMBERS, st.integers(0, MAXIMUM_INCARNATION))
MESSAGES = st.one_of(
    st.builds(Ping, *HEADER, NUMBERS, UPDATES),
    st.builds(Ack, *HEADER, st.booleans(), UPDATES),
    st.builds(PingRequest, *HEADER, NUMBERS, UPDATES),
    st.builds(Gossip, UPDATES),
    st.builds(
        SyncDigests,
        NUMBERS,
        NUMBERS,
        st.just(3),
        st.integers(0, 4),
        st.just((1, 2, 3, 4)),
        st.just(12),
    ),
    st.builds(SyncEntries, NUMBERS, st.just(0), st.just(2), st.booleans(), UPDATES),
    st.builds(MemberQuery, st.lists(NUMBERS, max_size=5).map(tuple)),
    st.just(MemberRecords((_record(LONG), _record(SHORT)))),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(messages=st.lists(MESSAGES, max_size=12))
def test_any_message_sequence_gets_bounded_answers(
    messages: list[MembershipMessage],
) -> None:
    own = Membership(SHORT, 1, random.Random(1), 0.0)
    for step, message in enumerate(messages):
        effects = own.on_message(message, SENDER, step / 10)
        effects += own.tick(step / 10)
        assert len(effects) < 60
        for effect in effects:
            if hasattr(effect, "message"):
                assert len(CODEC.encode(effect.message)) <= MAXIMUM_DATAGRAM_BYTES
