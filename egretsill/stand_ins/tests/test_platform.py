from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import (
    Address,
    PlatformClient,
    PlatformFailure,
    PlatformMalformed,
    PlatformRefused,
    PlatformTimedOut,
    PlatformUnreachable,
    Unchanged,
    Value,
    ValueMissing,
    read_value_files,
)
from ..platform import (
    Down,
    Failing,
    Garbage,
    OlderReads,
    PlatformFault,
    PlatformStandIn,
    Silent,
    Slow,
    Stale,
    Well,
)

ANY_PORT = Address("127.0.0.1", 0)
READ_SECONDS = 0.3


def run(scenario: Callable[[PlatformStandIn, PlatformClient], Awaitable[None]]) -> None:
    async def main() -> None:
        stand_in = PlatformStandIn()
        stand_in.publish({"head": b"one", "service/a": b"first"})
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(stand_in.serve, ANY_PORT)
                client = PlatformClient([address], READ_SECONDS)
                await scenario(stand_in, client)
                await client.aclose()
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_read_returns_content_and_version() -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        first = await client.read("head")
        stand_in.publish({"head": b"two"})
        second = await client.read("head")
        assert (first.content, second.content) == (b"one", b"two")
        assert second.version > first.version
        assert (await client.read("service/a")).content == b"first"
        assert stand_in.store.reads == client.reads == 3

    run(scenario)


def test_watch_returns_the_next_version() -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        version = (await client.read("head")).version
        async with trio.open_nursery() as nursery:

            async def publish() -> None:
                await trio.sleep(0.05)
                stand_in.publish({"head": b"two"})

            nursery.start_soon(publish)
            answer = await client.watch("head", version, 5)
        assert isinstance(answer, Value)
        assert answer.content == b"two"

    run(scenario)


def test_watch_without_new_version_times_out_unchanged() -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        version = (await client.read("head")).version
        assert await client.watch("head", version, 0) == Unchanged("head", version)
        assert await client.watch("head", version + 5, 0) == Unchanged("head", version)

    run(scenario)


def test_vm_list_is_read_and_watched() -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        with pytest.raises(ValueMissing):
            await client.read("vms")
        stand_in.publish_vms(b'{"vms":[]}')
        assert (await client.watch("vms", 0, 1)) == await client.read("vms")

    run(scenario)


@pytest.mark.parametrize(
    ("fault", "failure"),
    [
        pytest.param(Down(), PlatformUnreachable, id="down"),
        pytest.param(Silent(), PlatformTimedOut, id="silent"),
        pytest.param(Slow(5.0), PlatformTimedOut, id="too slow"),
        pytest.param(Failing(503), PlatformRefused, id="503"),
        pytest.param(Failing(302), PlatformRefused, id="redirect"),
        pytest.param(Garbage(b"\x00\xff nonsense\r\n\r\n"), PlatformMalformed, id="not HTTP"),
        pytest.param(Garbage(b"HTTP/1.1 200 OK\r\n"), PlatformFailure, id="truncated head"),
        pytest.param(
            Garbage(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\nETag: "1"\r\n\r\nhalf'),
            PlatformMalformed,
            id="truncated body",
        ),
        pytest.param(
            Garbage(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
            PlatformMalformed,
            id="no entity tag",
        ),
        pytest.param(
            Garbage(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nETag: "-1"\r\n\r\nok'),
            PlatformMalformed,
            id="entity tag is not a version",
        ),
        pytest.param(
            Garbage(b'HTTP/1.1 304 Not Modified\r\nETag: "1"\r\n\r\n'),
            PlatformMalformed,
            id="not modified without a version",
        ),
        pytest.param(
            Garbage(b'HTTP/1.1 200 OK\r\nETag: "1"\r\n\r\n' + b"x" * 1_100_000),
            PlatformMalformed,
            id="body too large",
        ),
        pytest.param(
            Garbage(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 100_000),
            PlatformMalformed,
            id="head too large",
        ),
    ],
)
def test_fault_raises_typed_failure_and_client_recovers(
    fault: PlatformFault, failure: type[PlatformFailure]
) -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        await client.read("head")
        stand_in.set_fault(fault)
        with pytest.raises(failure):
            await client.read("head")
        assert client.failures == 1
        stand_in.set_fault(Well())
        assert (await client.read("head")).content == b"one"

    run(scenario)


def test_stale_platform_serves_the_version_before_the_fault() -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        before = await client.read("head")
        stand_in.set_fault(Stale())
        stand_in.publish({"head": b"two"})
        assert await client.read("head") == before
        assert await client.watch("head", before.version, 0) == Unchanged("head", before.version)
        stand_in.set_fault(Well())
        assert (await client.read("head")).content == b"two"

    run(scenario)


def test_older_reads_fault_serves_previous_version() -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        stand_in.publish({"head": b"two"})
        stand_in.set_fault(OlderReads(every=2))
        contents = [(await client.read("head")).content for _ in range(4)]
        assert contents == [b"two", b"one", b"two", b"one"]

    run(scenario)


def test_publishing_head_only_keeps_the_other_values() -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        stand_in.publish_head_only({"head": b"two", "service/a": b"second"})
        assert (await client.read("head")).content == b"two"
        assert (await client.read("service/a")).content == b"first"

    run(scenario)


def test_read_after_a_failure_uses_the_next_address() -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        address = client._addresses[0]
        two = PlatformClient([Address("127.0.0.1", 1), address], READ_SECONDS)
        with pytest.raises(PlatformUnreachable):
            await two.read("head")
        assert (await two.read("head")).content == b"one"
        await two.aclose()

    run(scenario)


def test_closed_idle_connection_is_reopened_without_a_failure() -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        await client.read("head")
        stream = client._connection._stream
        assert isinstance(stream, trio.SocketStream)
        await stream.send_all(b"nonsense\r\n\r\n")
        await trio.sleep(0.05)
        assert (await client.read("head")).content == b"one"
        assert client.failures == 0

    run(scenario)


@pytest.mark.parametrize(
    ("request_line", "status"),
    [
        pytest.param(b"PUT /v1/values/head HTTP/1.1", b"405", id="write"),
        pytest.param(b"GET /v1/values/ HTTP/1.1", b"404", id="missing key"),
        pytest.param(b"GET /other HTTP/1.1", b"404", id="other path"),
        pytest.param(b"GET /v1/values/head?after=x HTTP/1.1", b"400", id="invalid version"),
        pytest.param(b"GET /v1/values/head?after=1&wait=-1 HTTP/1.1", b"400", id="invalid wait"),
    ],
)
def test_invalid_request_gets_an_error_status(request_line: bytes, status: bytes) -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        address = client._addresses[0]
        stream = await trio.open_tcp_stream(*address)
        await stream.send_all(request_line + b"\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        assert (await stream.receive_some(100)).split()[1] == status
        await stream.aclose()

    run(scenario)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(content=st.binary(max_size=300), prefix=st.sampled_from([b"", b"HTTP/1.1 200 OK\r\n"]))
def test_garbage_answer_raises_a_platform_failure(content: bytes, prefix: bytes) -> None:
    async def scenario(stand_in: PlatformStandIn, client: PlatformClient) -> None:
        stand_in.set_fault(Garbage(prefix + content))
        with pytest.raises(PlatformFailure):
            await client.read("head")

    run(scenario)


def test_value_files_are_read_by_relative_path(tmp_path: Path) -> None:
    (tmp_path / "service").mkdir()
    (tmp_path / "service" / "a").write_bytes(b"first")
    (tmp_path / "head").write_bytes(b"one")
    (tmp_path / ".part").write_bytes(b"x")
    assert read_value_files(tmp_path) == {"head": b"one", "service/a": b"first"}
