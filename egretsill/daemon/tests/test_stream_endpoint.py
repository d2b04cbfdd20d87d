from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import CONFIGURATION_TYPES, Address, HeadWanted, NothingHeld
from ...observation import Metrics
from ...requests import RELAY_TYPES
from ...wire import StreamDecoder
from .._configuration_link import CONFIGURATION_CODEC, serve_questions
from .._stream_endpoint import StreamEndpoint

QUESTION = CONFIGURATION_CODEC.encode(HeadWanted(0, ""))
ANSWER = CONFIGURATION_CODEC.encode(NothingHeld())


def _endpoint(metrics: Metrics) -> StreamEndpoint:
    endpoint = StreamEndpoint(
        Address("127.0.0.1", 0), {**RELAY_TYPES, **CONFIGURATION_TYPES}, metrics
    )

    async def answer(stream: trio.abc.Stream, first: Any, decoder: StreamDecoder[Any]) -> None:
        await serve_questions(lambda _: NothingHeld(), stream, first, decoder)

    endpoint.register([HeadWanted], answer)
    return endpoint


async def _converse(endpoint: StreamEndpoint, pieces: list[bytes]) -> bytes:
    ours, theirs = trio.testing.memory_stream_pair()
    received = bytearray()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(endpoint.serve, theirs)
        for piece in pieces:
            await ours.send_all(piece)
        await ours.send_eof()
        async for data in ours:
            received += data
    return bytes(received)


@pytest.mark.parametrize(
    ("pieces", "expected", "malformed"),
    [
        pytest.param([QUESTION], ANSWER, 0, id="one question"),
        pytest.param([QUESTION * 3], ANSWER * 3, 0, id="questions in one piece"),
        pytest.param([QUESTION[:3], QUESTION[3:]], ANSWER, 0, id="question in pieces"),
        pytest.param([], b"", 0, id="closed at once"),
        pytest.param([b"GET / HTTP/1.1\r\n\r\n"], b"", 1, id="another protocol"),
        pytest.param([QUESTION, b"\xc1"], ANSWER, 1, id="garbage after a question"),
        pytest.param([ANSWER], b"", 1, id="an answer that nobody asked for"),
    ],
)
def test_streams(pieces: list[bytes], expected: bytes, malformed: int) -> None:
    metrics = Metrics()
    assert trio.run(_converse, _endpoint(metrics), pieces) == expected
    assert metrics.messages_malformed.total() == malformed


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.binary(min_size=1, max_size=300))
def test_random_bytes_get_no_answer_and_end(data: bytes) -> None:
    received = trio.run(_converse, _endpoint(Metrics()), [data])
    assert received == b""
