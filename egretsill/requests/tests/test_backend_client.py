from __future__ import annotations

import hashlib
import json
from collections.abc import Sequence
from functools import partial

import pytest
import trio

from ...configuration import Address, RequestClass
from ...outcomes import RefusalReason, Refused, UnknownReason
from ...stand_ins.backend_server import BackendBehaviour, Fault
from ...timing import VirtualTimerService
from .._backend_call import BackendRequest, Bounds
from .._backend_client import BackendClient
from .._exceptions import (
    BackendFailed,
    BackendShed,
    BackendUnreachable,
    RequestInvalid,
    StartVetoed,
)
from ._fakes import FEED, HOST, LOOKUP, NOWHERE, ORDER, UPLOAD, FakeExchange, running_backend

MARKED = ((b"x-request-marker", b"m1"),)


def make_request(
    request_class: RequestClass,
    path: str | None = None,
    headers: Sequence[tuple[bytes, bytes]] = MARKED,
) -> BackendRequest:
    return BackendRequest(
        request_class.methods[0],
        path or request_class.path_prefix,
        "catalog.example",
        tuple(headers),
        request_class.idempotent,
        request_class.shape,
    )


def no_veto() -> None:
    return


async def call(
    address: Address, request: BackendRequest, caller: FakeExchange, timer: VirtualTimerService
) -> int:
    return await BackendClient(address, timer).call(request, caller, caller, no_veto)


def test_upload_is_streamed() -> None:
    async def scenario() -> None:
        pieces = [bytes([n]) * 50_000 for n in range(20)]
        caller = FakeExchange("PUT", "/upload", pieces)
        async with running_backend() as (server, address):
            status = await call(address, make_request(UPLOAD), caller, VirtualTimerService())
        answer = json.loads(caller.data)
        assert (status, answer["length"]) == (200, 1_000_000)
        assert answer["digest"] == hashlib.sha256(b"".join(pieces)).hexdigest()
        assert server.counts.starts == {"m1": 1}

    trio.run(scenario)


def test_subscription_streams_until_cancelled() -> None:
    async def scenario() -> None:
        caller = FakeExchange("GET", "/subscriptions")
        async with running_backend() as (server, address), trio.open_nursery() as nursery:
            nursery.start_soon(
                call,
                address,
                make_request(FEED, "/subscriptions?from=0"),
                caller,
                VirtualTimerService(),
            )
            while caller.status is None:
                await caller.changed.wait()
            server.publish()
            await caller.wait_for_data(10)
            assert json.loads(caller.data)["revision"] == 1
            nursery.cancel_scope.cancel()
            with trio.CancelScope(shield=True):
                while not server.counts.cancelled:
                    await trio.sleep(0.001)

    trio.run(scenario)


@pytest.mark.parametrize(
    ("behaviour", "expected", "started"),
    [
        pytest.param(BackendBehaviour(shedding=True), BackendShed, 0, id="shed"),
        pytest.param(BackendBehaviour(fault=Fault.CUT), BackendFailed, 1, id="truncated answer"),
        pytest.param(BackendBehaviour(fault=Fault.GARBAGE), BackendFailed, 1, id="garbage"),
    ],
)
def test_failure_shows_whether_request_started(
    behaviour: BackendBehaviour, expected: type[Exception], started: int
) -> None:
    async def scenario() -> None:
        caller = FakeExchange("POST", "/order", [b"12 bolts"])
        async with running_backend(behaviour) as (server, address):
            with pytest.raises(expected):
                await call(address, make_request(ORDER), caller, VirtualTimerService())
        assert server.counts.starts["m1"] == started

    trio.run(scenario)


def test_refused_connection_is_unreachable() -> None:
    async def scenario() -> None:
        with pytest.raises(BackendUnreachable):
            await call(
                NOWHERE, make_request(ORDER), FakeExchange("POST", "/order"), VirtualTimerService()
            )

    trio.run(scenario)


def test_invalid_head_is_not_sent() -> None:
    async def scenario() -> None:
        request = make_request(ORDER, "/order with spaces")
        async with running_backend() as (server, address):
            with pytest.raises(RequestInvalid):
                await call(address, request, FakeExchange("POST", "/order"), VirtualTimerService())
        assert not server.counts.starts

    trio.run(scenario)


def test_veto_prevents_start() -> None:
    def veto() -> None:
        raise StartVetoed(Refused(RefusalReason.DEADLINE))

    async def scenario() -> None:
        caller = FakeExchange("POST", "/order")
        async with running_backend() as (server, address):
            client = BackendClient(address, VirtualTimerService())
            with pytest.raises(StartVetoed):
                await client.call(make_request(ORDER), caller, caller, veto)
        assert not server.counts.starts

    trio.run(scenario)


def test_silent_server_times_out() -> None:
    async def scenario() -> None:
        timer = VirtualTimerService()
        failures: list[UnknownReason] = []
        async with running_backend(BackendBehaviour(fault=Fault.SWALLOW)) as (server, address):
            client = BackendClient(address, timer, Bounds(silence_seconds=7.0))

            async def call_without_answer() -> None:
                caller = FakeExchange("POST", "/order", [b"x"])
                try:
                    await client.call(make_request(ORDER), caller, caller, no_veto)
                except BackendFailed as error:
                    failures.append(error.reason)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call_without_answer)
                while not server.counts.starts:
                    await trio.sleep(0.001)
                timer.advance(6.0)
                assert not failures
                while not failures:
                    timer.advance(1.0)
                    await trio.sleep(0.001)
        assert failures == [UnknownReason.BACKEND_LOST]
        assert timer.now <= 2 * 7.0

    trio.run(scenario)


def test_only_idempotent_requests_reuse_connections() -> None:
    async def scenario() -> None:
        timer = VirtualTimerService()
        async with running_backend() as (server, address):
            client = BackendClient(address, timer)
            for request_class in (LOOKUP, LOOKUP, ORDER):
                caller = FakeExchange("GET", "/")
                await client.call(make_request(request_class), caller, caller, no_veto)
            assert client.idle_connections == 2
            timer.advance(60.0)
            assert client.idle_connections == 0
        assert server.counts.finished == 3

    trio.run(scenario)


def test_idempotent_request_is_retried_after_stale_connection() -> None:
    async def one_answer_then_close(stream: trio.SocketStream, served: list[int]) -> None:
        await stream.receive_some(65_536)
        served.append(1)
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        await stream.aclose()

    async def scenario() -> None:
        served: list[int] = []
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        address = Address(HOST, listeners[0].socket.getsockname()[1])
        client = BackendClient(address, VirtualTimerService())
        async with trio.open_nursery() as nursery:
            handler = partial(one_answer_then_close, served=served)
            nursery.start_soon(trio.serve_listeners, handler, listeners)
            for _ in range(2):
                caller = FakeExchange("GET", "/")
                assert await client.call(make_request(LOOKUP), caller, caller, no_veto) == 200
                assert caller.data == b"ok"
            nursery.cancel_scope.cancel()
        assert len(served) == 2

    trio.run(scenario)


@pytest.mark.parametrize(
    "second_try",
    [
        pytest.param("no connection", id="no new connection"),
        pytest.param("shed", id="shed on a new connection"),
        pytest.param("vetoed", id="vetoed on a new connection"),
    ],
)
def test_request_lost_on_reused_connection_is_unknown(second_try: str) -> None:
    """Guards against reporting a request as not run after the server read it."""
    read: list[bytes] = []
    shed = b"HTTP/1.1 503 x\r\negretsill-not-run: 1\r\ncontent-length: 0\r\n\r\n"
    whole = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"

    async def serve(listener: trio.SocketListener) -> None:
        stream = await listener.accept()
        await stream.receive_some(65_536)
        await stream.send_all(whole)
        read.append(bytes(await stream.receive_some(65_536)))
        if second_try == "no connection":
            await listener.aclose()
        await stream.aclose()
        if second_try == "shed":
            fresh = await listener.accept()
            await fresh.receive_some(65_536)
            await fresh.send_all(shed)

    def veto_the_third_start() -> None:
        starts.append(1)
        if second_try == "vetoed" and len(starts) == 3:
            raise StartVetoed(Refused(RefusalReason.DEADLINE))

    async def scenario() -> None:
        (listener,) = await trio.open_tcp_listeners(0, host=HOST)
        address = Address(HOST, listener.socket.getsockname()[1])
        client = BackendClient(address, VirtualTimerService())
        caller = FakeExchange("GET", "/")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, listener)
            request = make_request(LOOKUP)
            assert await client.call(request, caller, caller, veto_the_third_start) == 200
            with pytest.raises(BackendFailed) as caught:
                await client.call(request, caller, caller, veto_the_third_start)
            nursery.cancel_scope.cancel()
        assert caught.value.reason is UnknownReason.BACKEND_LOST

    starts: list[int] = []
    trio.run(scenario)
    assert read[0].startswith(b"GET / ")


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        pytest.param(b"", UnknownReason.BACKEND_LOST, id="closed at once"),
        pytest.param(b"HTTP/1.1 20", UnknownReason.BACKEND_LOST, id="truncated head"),
        pytest.param(b"\xff\x00\r\n\r\n", UnknownReason.BACKEND_MALFORMED, id="no HTTP"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\n\r\nall?", UnknownReason.BACKEND_MALFORMED, id="unframed answer"
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nx: " + b"y" * 200_000,
            UnknownReason.BACKEND_MALFORMED,
            id="endless head",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            UnknownReason.BACKEND_MALFORMED,
            id="bad chunk",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort",
            UnknownReason.BACKEND_LOST,
            id="truncated body",
        ),
    ],
)
def test_invalid_answers_are_unknown(answer: bytes, reason: UnknownReason) -> None:
    async def respond(stream: trio.SocketStream) -> None:
        await stream.receive_some(65_536)
        await stream.send_all(answer)
        await stream.send_eof()
        await stream.receive_some(65_536)

    async def scenario() -> None:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        address = Address(HOST, listeners[0].socket.getsockname()[1])
        caller = FakeExchange("POST", "/order")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, respond, listeners)
            with pytest.raises(BackendFailed) as caught:
                await call(address, make_request(ORDER), caller, VirtualTimerService())
            nursery.cancel_scope.cancel()
        assert caught.value.reason is reason

    trio.run(scenario)


def test_stand_in_counts_misdirected_and_draining_starts() -> None:
    async def scenario() -> None:
        async with running_backend() as (server, address):
            server.drain()
            headers = (*MARKED, (b"x-intended-service", b"upload"))
            caller = FakeExchange("POST", "/order")
            await call(address, make_request(ORDER, None, headers), caller, VirtualTimerService())
        assert server.counts.misdirected == 1
        assert server.counts.last_start_after_drain_seconds is not None

    trio.run(scenario)
