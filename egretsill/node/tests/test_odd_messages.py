"""Tests of peers' messages about content that hold anything but what this release sends."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from dataclasses import replace
from typing import Any

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...directory import (
    DIRECTORY_TYPES,
    MAXIMUM_NAME_BYTES,
    ContentRequest,
    ContentResponse,
    ContentUpdate,
    DirectoryMessage,
    Evacuation,
    MalformedContent,
    Route,
    RouteTable,
    ServiceShare,
    Target,
    TargetPhase,
    UnusableEntry,
    pack_table,
    pack_targets,
    unpack_age,
    unpack_changes,
    unpack_evacuations,
    unpack_request,
    unpack_revision,
    unpack_table,
    unpack_targets,
)
from ...directory.tests.revisions import rev
from ...wire import Codec, MalformedMessage, StreamDecoder
from .later_steps import use_content

CODEC: Codec[DirectoryMessage] = Codec("directory", DIRECTORY_TYPES)
GOOD = Target("good", 0x0A000001, 80, "lookup", "a", TargetPhase.READY, 4, 0.0, 5, rev(11))
TABLE = RouteTable(
    7, {(0xC6120001, 443): Route("r", 0xC6120001, 443, (ServiceShare("lookup", 1),))}, 15.0
)
PACKED_TARGET = pack_targets([replace(GOOD, name="odd")])[0]
PACKED_ROUTE = pack_table(TABLE)[2][0]
PACKED_WARM_UP = ("lookup", 2.0, 8.0)
TARGET_FIELDS = (
    "name",
    "host",
    "port",
    "service",
    "failure_domain",
    "phase",
    "capacity",
    "warmup_seconds",
    "started_milliseconds",
    "revision",
    "sequence",
)
ROUTE_FIELDS = ("name", "host", "port", "shares", "objective", "deadline", "priority")

ODD_NUMBERS: list[Any] = [-1, 2**53, 2**64 - 1, 1.5, True, None, "1", (), {}]
ODD_TIMES: list[Any] = [-1, -0.5, 2.0**53, float("nan"), float("inf"), True, None, "1", ()]
ODD_SHARES: list[Any] = [None, 7, "a", {}]
ODD_INTEGERS: list[Any] = [None, 7.5, "1", (), {}]
ODD_REVISIONS: list[Any] = [7, None, "ab", (1,), (1, -1), (1, 2**53), (1.0, 2), (True, 2), ((), ())]
ODD_TYPES: list[Any] = [None, True, 7.5, b"a", (), {}, ("a",)]


def odd_target(**fields: Any) -> tuple[Any, ...]:
    """Return a packed target of which some fields have other values."""
    return tuple(
        fields.get(name, value) for name, value in zip(TARGET_FIELDS, PACKED_TARGET, strict=True)
    )


def odd_route(**fields: Any) -> tuple[Any, ...]:
    """Return a packed route of which some fields have other values."""
    return tuple(
        fields.get(name, value) for name, value in zip(ROUTE_FIELDS, PACKED_ROUTE, strict=True)
    )


# What an entry of an earlier release may hold, which took more than this one.
FORMER_ENTRIES = [
    pytest.param(odd_target(port=0), "address", id="port 0"),
    pytest.param(odd_target(port=-5), "address", id="negative port"),
    pytest.param(odd_target(port=70_000), "address", id="port that is too large"),
    pytest.param(odd_target(port=2**64 - 1), "address", id="huge port"),
    pytest.param(odd_target(host=0), "address", id="no host"),
    pytest.param(odd_target(host=0xE0000001), "address", id="multicast"),
    pytest.param(odd_target(host=0xFFFFFFFF), "address", id="broadcast"),
    pytest.param(odd_target(host=2**40), "address", id="host that is too large"),
    pytest.param(odd_target(service="x" * 900_000), "service", id="long service"),
    pytest.param(odd_target(failure_domain="x" * 256), "failure domain", id="long domain"),
    pytest.param(odd_target(failure_domain=""), "failure domain", id="empty domain"),
]
MALFORMED_TARGETS = [
    pytest.param("abcdefghijk", id="text of as many characters as fields"),
    pytest.param(7, id="number"),
    pytest.param({}, id="map"),
    pytest.param(PACKED_TARGET[:-1], id="field missing"),
    pytest.param((*PACKED_TARGET, 1), id="further field"),
    *(
        pytest.param(odd_target(**{name: odd}), id=f"{name} {odd!r}")
        for name in ("name", "service", "failure_domain", "phase")
        for odd in ODD_TYPES
    ),
    *(
        pytest.param(odd_target(**{name: odd}), id=f"{name} {odd!r}")
        for name in ("host", "port")
        for odd in ODD_INTEGERS
    ),
    *(
        pytest.param(odd_target(**{name: odd}), id=f"{name} {odd!r}")
        for name in ("capacity", "started_milliseconds", "sequence")
        for odd in ODD_NUMBERS
    ),
    *(pytest.param(odd_target(warmup_seconds=odd), id=f"warm-up {odd!r}") for odd in ODD_TIMES),
    *(pytest.param(odd_target(revision=odd), id=f"revision {odd!r}") for odd in ODD_REVISIONS),
]
MALFORMED_WARM_UPS = [
    *(pytest.param((odd, 2.0, 8.0), id=f"service {odd!r}") for odd in ODD_TYPES),
    *(pytest.param(("lookup", odd, 8.0), id=f"seconds {odd!r}") for odd in ODD_TIMES),
    *(pytest.param(("lookup", 2.0, odd), id=f"pace {odd!r}") for odd in [0, 0.0, *ODD_TIMES]),
    pytest.param(("", 2.0, 8.0), id="empty service"),
    pytest.param(("lookup", 2.0), id="field missing"),
    pytest.param((*PACKED_WARM_UP, 1), id="further field"),
    pytest.param("abc", id="text"),
    pytest.param(7, id="number"),
]
MALFORMED_ROUTES = [
    pytest.param("abcdefg", id="text"),
    pytest.param(PACKED_ROUTE[:-1], id="field missing"),
    pytest.param((*PACKED_ROUTE, 1), id="further field"),
    pytest.param(odd_route(name=""), id="empty name"),
    pytest.param(odd_route(name="x" * (MAXIMUM_NAME_BYTES + 1)), id="long name"),
    pytest.param(odd_route(port=0), id="port 0"),
    pytest.param(odd_route(port=70_000), id="port that is too large"),
    pytest.param(odd_route(host=0xE0000001), id="multicast"),
    pytest.param(odd_route(shares=()), id="no shares"),
    pytest.param(odd_route(shares=("ab",)), id="text for a share"),
    pytest.param(odd_route(shares=(("a", -1),)), id="negative weight"),
    pytest.param(odd_route(shares=(("a", 1.5),)), id="half a weight"),
    pytest.param(odd_route(shares=((("a",), 1),)), id="nested service"),
    *(pytest.param(odd_route(name=odd), id=f"name {odd!r}") for odd in ODD_TYPES),
    *(pytest.param(odd_route(shares=odd), id=f"shares {odd!r}") for odd in ODD_SHARES),
    *(pytest.param(odd_route(priority=odd), id=f"priority {odd!r}") for odd in ODD_NUMBERS),
    *(pytest.param(odd_route(deadline=odd), id=f"deadline {odd!r}") for odd in ODD_TIMES),
    *(pytest.param(odd_route(objective=odd), id=f"objective {odd!r}") for odd in ODD_TIMES),
]


def ignore(entry: UnusableEntry) -> None:
    """Pass an entry over."""


def through_codec(packed: Any) -> Any:
    """Return a packed value as a peer unpacks it from bytes."""
    return msgpack.unpackb(msgpack.packb(packed), use_list=False, raw=False, strict_map_key=False)


# Guards against an entry that a peer of an earlier release took and that this process can't use.
@pytest.mark.parametrize(("packed", "part"), FORMER_ENTRIES)
def test_entry_that_only_an_earlier_release_takes_costs_that_entry_only(
    packed: tuple[Any, ...], part: str
) -> None:
    unusable: list[UnusableEntry] = []
    targets = through_codec((packed, *pack_targets([GOOD])))
    assert unpack_targets(targets, unusable.append) == (GOOD,)
    assert unusable == [UnusableEntry("odd", part)]
    update = ContentUpdate((1, 12), 0, (1, 10), None, targets, ())
    assert unpack_changes(update, unusable.append).removed == ("odd",)


# Guards against values of a peer that no later step expects, such as a map as a name.
@pytest.mark.parametrize("packed", MALFORMED_TARGETS)
def test_malformed_target_is_a_typed_error(packed: Any) -> None:
    with pytest.raises(MalformedContent):
        unpack_targets(through_codec((packed,)), ignore)


@pytest.mark.parametrize("packed", MALFORMED_ROUTES)
def test_malformed_route_is_a_typed_error(packed: Any) -> None:
    route = through_codec(packed)
    with pytest.raises(MalformedContent):
        unpack_table((7, 15.0, (route,), ()))
    changes = ((6,), 7, 15.0, (route,), (), ())
    with pytest.raises(MalformedContent):
        unpack_changes(ContentUpdate((1, 12), 0, (1, 10), changes, (), ()), ignore)


@pytest.mark.parametrize(
    "routes",
    [
        *(
            pytest.param(((6,), odd, 15.0, (), (), ()), id=f"version {odd!r}")
            for odd in ODD_NUMBERS
        ),
        *(pytest.param(((odd,), 7, 15.0, (), (), ()), id=f"base {odd!r}") for odd in ODD_NUMBERS),
        *(pytest.param(((6,), 7, odd, (), (), ()), id=f"idle time {odd!r}") for odd in ODD_TIMES),
        pytest.param((6, 7, 15.0, (), (), ()), id="bases of another type"),
        pytest.param(((6,), 7, 15.0, 7, (), ()), id="routes of another type"),
        pytest.param(((6,), 7, 15.0, (), 7, ()), id="removed of another type"),
        pytest.param(((6,), 7, 15.0, (), ("ab",), ()), id="text for an address"),
        pytest.param(((6,), 7, 15.0, (), ((1, (2,)),), ()), id="nested port"),
        pytest.param(((6,), 7, 15.0, (), (({}, 2),), ()), id="map for a host"),
        pytest.param(((6,), 7, 15.0, (), ()), id="field missing"),
    ],
)
def test_malformed_route_changes_are_a_typed_error(routes: Any) -> None:
    update = ContentUpdate((1, 12), 0, (1, 10), through_codec(routes), (), ())
    with pytest.raises(MalformedContent):
        unpack_changes(update, ignore)


@pytest.mark.parametrize("packed", MALFORMED_WARM_UPS)
def test_malformed_warm_up_terms_are_a_typed_error(packed: Any) -> None:
    warm_up = through_codec(packed)
    with pytest.raises(MalformedContent):
        unpack_table((7, 15.0, (), (warm_up,)))
    changes = ((6,), 7, 15.0, (), (), (warm_up,))
    with pytest.raises(MalformedContent):
        unpack_changes(ContentUpdate((1, 12), 0, (1, 10), changes, (), ()), ignore)


@pytest.mark.parametrize("odd", ODD_NUMBERS)
def test_odd_age_version_or_revision_is_a_typed_error(odd: Any) -> None:
    with pytest.raises(MalformedContent):
        unpack_age(odd)
    with pytest.raises(MalformedContent):
        unpack_revision((1, odd))
    with pytest.raises(MalformedContent):
        unpack_request(ContentRequest(odd, (1, 1)))
    with pytest.raises(MalformedContent):
        unpack_table((odd, 15.0, (), ()))


NUMBERS = st.integers(-(2**63), 2**64 - 1) | st.sampled_from([0, 1, 80, 0x0A000001, 2**53])
LEAVES = st.one_of(
    st.none(), st.booleans(), NUMBERS, st.floats(), st.text(max_size=9), st.binary(max_size=9)
)
ANYTHING = st.recursive(
    LEAVES,
    lambda each: (
        st.lists(each, max_size=3) | st.dictionaries(st.text(max_size=3), each, max_size=3)
    ),
    max_leaves=8,
)
NAMES = st.text(max_size=300) | st.sampled_from(["a", "b"])


@st.composite
def altered(draw: st.DrawFn, /, packed: tuple[Any, ...]) -> Any:
    """Return a tuple of which some parts have other values."""
    parts = list(packed)
    for index in draw(st.sets(st.integers(0, len(parts) - 1), max_size=2)):
        likely = {str: NAMES, int: NUMBERS, float: st.floats() | NUMBERS}
        parts[index] = draw(likely.get(type(parts[index]), ANYTHING) | ANYTHING)
    return parts


TARGETS = st.lists(altered(PACKED_TARGET), max_size=2)
ROUTES = st.lists(altered(PACKED_ROUTE), max_size=2)
WARM_UPS = st.lists(altered(PACKED_WARM_UP), max_size=2)
REVISIONS = st.just((1, 12)) | ANYTHING
EVACUATIONS = st.lists(st.tuples(NAMES, REVISIONS), max_size=2)
MESSAGES = st.one_of(
    st.tuples(st.just(43), NUMBERS, REVISIONS),
    st.tuples(
        st.just(48),
        REVISIONS,
        st.just(7) | NUMBERS,
        st.none() | st.tuples(st.just(7) | NUMBERS, st.just(15.0), ROUTES, WARM_UPS) | ANYTHING,
        TARGETS | ANYTHING,
        EVACUATIONS | ANYTHING,
    ),
    st.tuples(
        st.just(49),
        REVISIONS,
        st.just(7) | NUMBERS,
        st.just((1, 10)),
        st.none()
        | st.tuples(
            st.lists(NUMBERS, max_size=2), NUMBERS, st.floats(), ROUTES, st.just([]), WARM_UPS
        )
        | ANYTHING,
        TARGETS | ANYTHING,
        st.lists(NAMES, max_size=2) | ANYTHING,
        EVACUATIONS | ANYTHING,
        st.lists(NAMES, max_size=2) | ANYTHING,
    ),
    st.lists(ANYTHING, max_size=8),
    ANYTHING,
)


# Guards against a message of a peer that is taken though a later step can't use it, or that
# raises what nobody expects.
@settings(derandomize=True, max_examples=500, deadline=None)
@given(MESSAGES)
def test_any_message_gives_usable_content_or_a_typed_error(value: object) -> None:
    with suppress(MalformedMessage, MalformedContent):
        take(CODEC.decode(msgpack.packb(value)))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(TARGETS)
def test_any_targets_give_usable_content_or_a_typed_error(targets: object) -> None:
    with suppress(MalformedContent):
        use_content(None, unpack_targets(through_codec(targets), ignore))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(ROUTES)
def test_any_routes_give_usable_content_or_a_typed_error(routes: object) -> None:
    with suppress(MalformedContent):
        use_content(unpack_table((7, 15.0, through_codec(routes), ())), ())


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=60), st.integers(0, 60))
def test_any_bytes_are_a_message_or_a_typed_error(noise: bytes, kept: int) -> None:
    whole = CODEC.encode(ContentResponse((1, 2), 3, pack_table(TABLE), pack_targets([GOOD])))
    for data in (noise, whole[:kept] + noise):
        with suppress(MalformedMessage, MalformedContent):
            take(CODEC.decode(data))
        with suppress(MalformedMessage, MalformedContent):
            for message in StreamDecoder(CODEC).feed(data):
                take(message)


def take(message: DirectoryMessage) -> None:
    match message:
        case ContentRequest():
            unpack_request(message)
        case ContentResponse(revision, age, packed_table, targets, evacuations):
            unpack_revision(revision)
            unpack_age(age)
            table = unpack_table(packed_table) if packed_table is not None else None
            use_content(table, unpack_targets(targets, ignore))
            use_evacuations(unpack_evacuations(evacuations), ())
        case ContentUpdate():
            changes = unpack_changes(message, ignore)
            unpack_age(message.age_milliseconds)
            routes = changes.routes
            table = None
            if routes is not None:
                entries = {(each.host, each.port): each for each in routes.changed}
                table = RouteTable(routes.version, entries, routes.idle_seconds, routes.warm_up)
            use_content(table, changes.targets)
            use_evacuations(changes.evacuations, changes.restored)


def use_evacuations(evacuations: Sequence[Evacuation], restored: Sequence[str]) -> None:
    for domain in (*(each.failure_domain for each in evacuations), *restored):
        domain.encode()
