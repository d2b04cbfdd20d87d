from __future__ import annotations

from dataclasses import dataclass

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .._codec import Codec, MalformedMessage, StreamDecoder


@dataclass(frozen=True, slots=True)
class Sample:
    name: str
    count: int
    share: float
    body: bytes | None


CODEC: Codec[Sample] = Codec("sample", {1: Sample})


def test_message_round_trip() -> None:
    message = Sample("a", 2, 0.5, b"x")
    assert CODEC.decode(CODEC.encode(message)) == message


@pytest.mark.parametrize(
    "array",
    [
        pytest.param([], id="empty array"),
        pytest.param([9, "a", 1, 0.5, None], id="unknown tag"),
        pytest.param([1, "a", 1, 0.5], id="field missing"),
        pytest.param([1, "a", "1", 0.5, None], id="field of the wrong type"),
        pytest.param({"a": 1}, id="no array"),
    ],
)
def test_unexpected_arrays_are_malformed(array: object) -> None:
    with pytest.raises(MalformedMessage):
        CODEC.decode(msgpack.packb(array))


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_random_bytes_never_crash(data: bytes) -> None:
    try:
        message = CODEC.decode(data)
    except MalformedMessage:
        return
    assert isinstance(message, Sample)


@settings(derandomize=True)
@given(st.lists(st.integers(1, 40), max_size=20))
def test_stream_decoding_does_not_depend_on_chunk_sizes(sizes: list[int]) -> None:
    messages = [Sample(str(n), n, n / 2, bytes(n)) for n in range(5)]
    stream = b"".join(CODEC.encode(message) for message in messages)
    decoder = StreamDecoder(CODEC)
    received: list[Sample] = []
    offset = 0
    for size in [*sizes, len(stream)]:
        received.extend(decoder.feed(stream[offset : offset + size]))
        offset += size
    assert received == messages


def test_undelivered_messages_come_with_next_feed() -> None:
    messages = [Sample(str(n), n, n / 2, None) for n in range(3)]
    decoder = StreamDecoder(CODEC)
    stream = b"".join(CODEC.encode(message) for message in messages)
    first = next(decoder.feed(stream + stream[:3]))
    rest = [*decoder.feed(b""), *decoder.feed(stream[3:])]
    assert [first, *rest] == [*messages, *messages]
    assert list(decoder.feed(b"")) == []


def test_malformed_stream_data_raises_error() -> None:
    decoder = StreamDecoder(CODEC)
    with pytest.raises(MalformedMessage):
        list(decoder.feed(b"\xc1"))
    with pytest.raises(MalformedMessage):
        list(decoder.feed(CODEC.encode(Sample("a", 1, 1.0, None)) + b"\xc1"))
