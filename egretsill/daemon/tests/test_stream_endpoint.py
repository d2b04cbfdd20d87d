from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import CONFIGURATION_TYPES, Address, HeadRequest, NoConfiguration
from ...observation import Metrics
from ...requests import RELAY_TYPES
from ...supervision import PropagatingSupervisor
from ...wire import StreamDecoder
from .._configuration_link import CONFIGURATION_CODEC, serve_requests
from .._stream_endpoint import StreamEndpoint

REQUEST = CONFIGURATION_CODEC.encode(HeadRequest(0, ""))
RESPONSE = CONFIGURATION_CODEC.encode(NoConfiguration())


def _endpoint(metrics: Metrics) -> StreamEndpoint:
    endpoint = StreamEndpoint(
        Address("127.0.0.1", 0),
        {**RELAY_TYPES, **CONFIGURATION_TYPES},
        metrics,
        PropagatingSupervisor(),
    )

    async def respond(stream: trio.abc.Stream, first: Any, decoder: StreamDecoder[Any]) -> None:
        await serve_requests(lambda _: NoConfiguration(), stream, first, decoder)

    endpoint.register([HeadRequest], respond)
    return endpoint


async def _exchange(endpoint: StreamEndpoint, pieces: list[bytes]) -> bytes:
    client, server = trio.testing.memory_stream_pair()
    received = bytearray()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(endpoint.serve, server)
        for piece in pieces:
            await client.send_all(piece)
        await client.send_eof()
        async for data in client:
            received += data
    return bytes(received)


@pytest.mark.parametrize(
    ("pieces", "expected", "malformed"),
    [
        pytest.param([REQUEST], RESPONSE, 0, id="one request"),
        pytest.param([REQUEST * 3], RESPONSE * 3, 0, id="several requests in one piece"),
        pytest.param([REQUEST[:3], REQUEST[3:]], RESPONSE, 0, id="request in two pieces"),
        pytest.param([], b"", 0, id="closed without data"),
        pytest.param([b"GET / HTTP/1.1\r\n\r\n"], b"", 1, id="another protocol"),
        pytest.param([REQUEST, b"\xc1"], RESPONSE, 1, id="malformed data after a request"),
        pytest.param([RESPONSE], b"", 1, id="unsolicited response"),
    ],
)
def test_stream_gets_responses_and_malformed_data_is_counted(
    pieces: list[bytes], expected: bytes, malformed: int
) -> None:
    metrics = Metrics()
    assert trio.run(_exchange, _endpoint(metrics), pieces) == expected
    assert metrics.messages_malformed.total() == malformed


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.binary(min_size=1, max_size=300))
def test_random_bytes_get_no_response(data: bytes) -> None:
    received = trio.run(_exchange, _endpoint(Metrics()), [data])
    assert received == b""
