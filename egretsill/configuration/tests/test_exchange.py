from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from random import Random
from typing import Any

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from ...wire import Codec, MalformedMessage
from .. import (
    CONFIGURATION_TYPES,
    Address,
    Announcement,
    ConfigurationRequest,
    ConfigurationResponse,
    MalformedValue,
    Peer,
    PeerFailure,
    Publication,
    TornPublication,
    Value,
    ValueMissing,
    compile_publication,
    encode_publication,
)
from .._exchange import FAN_OUT, Announce, Exchange, ExchangeEffect, FetchFrom, LocalState
from .._messages import HeadResponse, NoConfiguration, ServicesRequest, ServicesResponse
from .._sources import PeerSource, PlatformSource, answer_request, read_publication
from .fleets import DOMAINS, make_history, make_services

OWN = Address("10.0.0.1", 2)
LOW, HIGH = (3, "a" * 32), (4, "b" * 32)
PEERS = [
    Peer(f"peer-{number}", DOMAINS[number // 10], Address("10.0.1.1", number + 1), OWN)
    for number in range(30)
]


def make_exchange() -> Exchange:
    return Exchange("peer-0", DOMAINS[0], OWN, Random(5))


def announcement(rank: tuple[int, str] | None, **changes: Any) -> Announcement:
    revision, digest = rank or (0, "")
    message = Announcement("other", revision, digest, True, 10, Address("10.0.0.9", 2), False)
    return dataclasses.replace(message, **changes)


def test_push_includes_peer_in_another_failure_domain() -> None:
    for _ in range(50):
        effects = make_exchange().push(LocalState(HIGH, True, 1.5), PEERS[:11])
        assert len({effect.to for effect in effects if isinstance(effect, Announce)}) == FAN_OUT
        assert PEERS[0].gossip not in {each.to for each in effects if isinstance(each, Announce)}
    assert any(effect.to == PEERS[10].gossip for effect in effects if isinstance(effect, Announce))


@pytest.mark.parametrize(
    ("own", "message", "kinds"),
    [
        pytest.param(LOW, announcement(HIGH), [FetchFrom], id="higher"),
        pytest.param(None, announcement(LOW), [FetchFrom], id="first"),
        pytest.param(HIGH, announcement(LOW), [Announce], id="lower"),
        pytest.param(HIGH, announcement(None), [Announce], id="peer has none"),
        pytest.param(HIGH, announcement(HIGH), [], id="same"),
        pytest.param(None, announcement(None), [], id="both have none"),
        pytest.param(HIGH, announcement(HIGH, answer_wanted=True), [Announce], id="asked"),
        pytest.param(
            LOW, announcement(HIGH, answer_wanted=True), [FetchFrom, Announce], id="asked, higher"
        ),
        pytest.param(
            LOW, announcement(HIGH, sender="peer-0", answer_wanted=True), [], id="own echo"
        ),
    ],
)
def test_effects_of_announcement_depend_on_rank(
    own: tuple[int, str] | None, message: Announcement, kinds: list[type[ExchangeEffect]]
) -> None:
    effects = make_exchange().receive(message, PEERS[1].gossip, LocalState(own, True, None))
    assert [type(effect) for effect in effects] == kinds


def test_fetches_run_one_at_a_time() -> None:
    exchange = make_exchange()
    local_state = LocalState(LOW, True, None)
    sources = [Address("10.0.0.9", 5), Address("10.0.0.9", 6)]
    effects = [
        exchange.receive(announcement(HIGH, relay=relay), PEERS[1].gossip, local_state)
        for relay in sources
    ]
    assert effects == [[FetchFrom(sources[0], HIGH)], []]
    assert exchange.fetch_ended(sources[0], local_state) == [FetchFrom(sources[1], HIGH)]
    assert exchange.fetch_ended(sources[1], LocalState(HIGH, True, None)) == []


def test_announcement_fits_into_datagram() -> None:
    codec: Codec[Any] = Codec("configuration", CONFIGURATION_TYPES)
    longest = announcement(
        (2**63 - 1, "f" * 32), sender="x" * 63, relay=Address(":".join(["ffff"] * 8), 65535)
    )
    data = codec.encode(longest)
    assert len(data) <= 1200
    assert codec.decode(data) == longest


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"revision": -1}, id="negative revision"),
        pytest.param({"revision": 2**63}, id="revision too large"),
        pytest.param({"digest": ""}, id="no digest"),
        pytest.param({"digest": "a" * 33}, id="digest too long"),
        pytest.param({"sender": ""}, id="no sender"),
        pytest.param({"contact_age_ms": -1}, id="contact in the future"),
        pytest.param({"relay": ("10.0.0.1",)}, id="no port"),
        pytest.param({"relay": ("10.0.0.1", "x")}, id="port as text"),
        pytest.param({"relay": (1, 1)}, id="host as number"),
    ],
)
def test_announcement_with_invalid_field_is_malformed(changes: Mapping[str, Any]) -> None:
    codec: Codec[Any] = Codec("configuration", CONFIGURATION_TYPES)
    message = announcement(HIGH)
    for name, value in changes.items():
        object.__setattr__(message, name, value)
    with pytest.raises(MalformedMessage):
        codec.decode(codec.encode(message))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(data=st.binary(max_size=80) | st.binary(max_size=40).map(lambda tail: b"\x98\x1e" + tail))
def test_random_bytes_are_malformed(data: bytes) -> None:
    with pytest.raises(MalformedMessage):
        Codec("configuration", CONFIGURATION_TYPES).decode(data)


def make_peer_source(held: Publication | None, counts: list[str]) -> PeerSource:
    async def send_request(question: ConfigurationRequest) -> ConfigurationResponse:
        counts.append(type(question).__name__)
        return answer_request(question, held)

    return PeerSource(send_request)


@pytest.mark.parametrize(
    ("known", "questions"),
    [
        pytest.param(2, ["HeadRequest"], id="few changes behind"),
        pytest.param(
            None, ["HeadRequest", "IndexRequest", "IndexRequest"], id="no known publication"
        ),
    ],
)
def test_only_needed_values_are_requested_from_peer(
    known: int | None, questions: list[str]
) -> None:
    history = make_history(5)
    counts: list[str] = []
    source = make_peer_source(history[-1], counts)
    old = None if known is None else history[known - 1]

    async def main() -> Publication:
        head = await source.head(old)
        return await read_publication(source, head, old)

    assert trio.run(main).bundle == history[-1].bundle
    assert counts == questions


def test_large_publication_takes_several_requests() -> None:
    held = compile_publication(make_services(300, targets=20), 40)
    newer = compile_publication(make_services(300, targets=20), 41, held)
    counts: list[str] = []
    source = make_peer_source(newer, counts)

    async def main() -> Publication:
        return await read_publication(source, await source.head(None), None)

    assert trio.run(main).index == held.index
    assert counts.count("ServicesRequest") > 1


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(NoConfiguration(), id="nothing held"),
        pytest.param(ServicesResponse(()), id="response of another type"),
        pytest.param(HeadResponse(b"{", ()), id="truncated head"),
    ],
)
def test_unusable_peer_response_raises_typed_error(answer: ConfigurationResponse) -> None:
    async def send_request(question: ConfigurationRequest) -> ConfigurationResponse:
        return answer

    async def main() -> None:
        await PeerSource(send_request).head(None)

    with pytest.raises((PeerFailure, MalformedValue)):
        trio.run(main)


def test_missing_peer_values_raise_torn_publication() -> None:
    held = make_history(2)[-1]

    async def send_request(question: ConfigurationRequest) -> ConfigurationResponse:
        if isinstance(question, ServicesRequest):
            return ServicesResponse(())
        return answer_request(question, held)

    async def main() -> None:
        source = PeerSource(send_request)
        head = dataclasses.replace(await source.head(None))
        source._prefetched = {}
        await read_publication(source, head, None)

    with pytest.raises(TornPublication):
        trio.run(main)


def test_new_process_reads_pages_from_platform() -> None:
    publication = compile_publication(make_services(300, targets=20), 9)
    values = encode_publication(publication)
    keys: list[str] = []

    async def read(key: str) -> Value:
        keys.append(key)
        if key not in values:
            raise ValueMissing(key)
        return Value(key, 1, values[key])

    async def main() -> Publication:
        return await read_publication(PlatformSource(read), publication.head, None)

    assert trio.run(main).bundle == publication.bundle
    assert len(keys) == publication.head.index_parts + publication.head.pages < 10
