"""Arbitrary bytes at the admin port: each connection is counted once and leaves no state."""

from __future__ import annotations

import random

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Address
from ...supervision import PropagatingSupervisor
from ...wire import StreamServer
from .. import AdminServer, HealthState, Metrics
from .._admin_server import MAXIMUM_REQUEST_BYTES, READ_BYTES

GOOD = b"GET /status HTTP/1.1\r\nHost: admin\r\nAccept: */*\r\n\r\n"
MAXIMUM_RESPONSE_BYTES = 4_096

TRUNCATED = st.integers(0, len(GOOD) - 1).map(lambda length: GOOD[:length])
DAMAGED = st.builds(
    lambda position, value: GOOD[:position] + value + GOOD[position + 1 :],
    st.integers(0, len(GOOD) - 1),
    st.binary(max_size=3),
)
OVERSIZED = st.builds(
    lambda start, size: start + b"x" * size,
    st.sampled_from([b"", b"GET /", b"GET / HTTP/1.1\r\nA: ", b"GET / HTTP/1.1\r\n\r\n"]),
    st.integers(MAXIMUM_REQUEST_BYTES + READ_BYTES, 60_000),
)
REQUESTS = st.builds(
    lambda method, target, headers: method + b" " + target + b" HTTP/1.1\r\n" + headers + b"\r\n",
    st.sampled_from([b"GET", b"HEAD", b"POST", b"PRI", b"\xff"]),
    st.binary(min_size=1, max_size=40),
    st.sampled_from([b"", b"Host: a\r\n", b"Host: a\r\nContent-Length: -1\r\n", b":\r\n"]),
)


async def _exchange(data: bytes, pieces: int) -> tuple[bytes, Metrics, AdminServer]:
    metrics = Metrics()
    errors: list[OSError | None] = []
    stream_server = StreamServer(Address("127.0.0.1", 0), errors.append)
    server = AdminServer(
        stream_server, metrics, lambda: {"revision": 1}, HealthState, PropagatingSupervisor()
    )
    client, served = trio.testing.memory_stream_pair()
    response = b""

    async def send() -> None:
        size = len(data) // pieces + 1
        try:
            for start in range(0, len(data), size):
                await client.send_all(data[start : start + size])
            await client.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        nursery.start_soon(server._serve, served)
        while piece := await client.receive_some(65_536):
            response += piece
        nursery.cancel_scope.deadline = trio.current_time() + 60
    return response, metrics, server


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    data=st.binary(max_size=300) | TRUNCATED | DAMAGED | OVERSIZED | REQUESTS,
    pieces=st.integers(1, 4),
)
def test_any_bytes_are_answered_or_refused_once(data: bytes, pieces: int) -> None:
    response, metrics, server = trio.run(
        _exchange, data, pieces, clock=trio.testing.MockClock(autojump_threshold=0)
    )
    counted = metrics.admin_requests.total() + metrics.admin_connections_refused.total()
    assert counted == 1
    assert server._connections.open_count == 0
    assert len(response) <= MAXIMUM_RESPONSE_BYTES
    assert response == b"" or response.startswith(b"HTTP/1.1 ")


def test_request_sent_byte_by_byte_is_answered() -> None:
    response, metrics, _ = trio.run(_exchange, GOOD, len(GOOD))
    assert response.startswith(b"HTTP/1.1 200")
    assert response.endswith(b'{"revision": 1}\n')
    assert metrics.admin_requests.value("/status", "200") == 1


def test_malformed_connections_are_released() -> None:
    source = random.Random(3)

    async def main() -> None:
        for _ in range(300):
            _, metrics, server = await _exchange(source.randbytes(40) + b"\r\n\r\n", 1)
            assert metrics.admin_connections_refused.value("malformed") == 1
            assert server._connections.open_count == 0

    trio.run(main)
