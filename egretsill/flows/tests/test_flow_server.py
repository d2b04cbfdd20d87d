from __future__ import annotations

import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import trio
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import StreamReset
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Address
from ...outcomes import Answered, Outcome, RefusalReason, Refused, Unknown, UnknownReason
from ...requests import Exchange
from ...stand_ins.certificates import write_certificate
from ...timing import VirtualTimerService
from .. import (
    CloseReason,
    FlowDrop,
    FlowServer,
    IncomingDatagram,
    OutgoingDatagram,
    headers,
    server_configuration,
)
from .._flow import RETIRE_SECONDS
from .._flow_server import IDLE_SECONDS, KEEP_ALIVE_SECONDS

CALLER = Address("192.0.2.1", 4000)
SERVICE_ADDRESS = Address("198.51.100.1", 443)
BALANCER = Address("10.0.0.1", 5000)
OWN_ID = b"\x10" + bytes(16)


class World:
    """One agent's flows and one caller, joined in memory."""

    def __init__(
        self,
        directory: Path,
        serve: Callable[[Exchange], Any],
        maximum: int,
        flows_per_second: int = 100,
        keep_alive_seconds: float = 15.0,
        idle_seconds: float = 60.0,
    ) -> None:
        files = write_certificate(directory, ["service.example"])
        self.timer = VirtualTimerService(1000.0)
        self.sent: list[OutgoingDatagram] = []
        self.issued = 0
        self.nursery = RunningNursery()
        self.server = FlowServer(
            server_configuration(files.certificate, files.private_key, idle_seconds),
            self.timer,
            self.issue,
            serve,
            self.sent.append,
            lambda: [BALANCER],
            self.nursery,  # type: ignore[arg-type]
            maximum,
            flows_per_second,
            keep_alive_seconds,
        )

    def issue(self, service: str) -> bytes:
        self.issued += 1
        return bytes([0x10]) + self.issued.to_bytes(16, "big")

    def deliver(self, payload: bytes, service: str = "lookup") -> None:
        self.server.receive(IncomingDatagram(CALLER, service, SERVICE_ADDRESS, BALANCER, payload))


class RunningNursery:
    """Runs each task to its end, or to its first wait, at once."""

    def start_soon(self, function: Callable[..., Any], *arguments: Any) -> None:
        coroutine = function(*arguments)

        async def run() -> None:
            await coroutine

        trio.run(run)


class CallerEnd:
    """A caller's connection to a world."""

    def __init__(self, world: World) -> None:
        self.world = world
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=list(H3_ALPN),
            server_name="service.example",
            verify_mode=ssl.CERT_NONE,
        )
        self.connection = QuicConnection(configuration=configuration)
        self.connection.connect(tuple(SERVICE_ADDRESS), world.timer.now)
        self.http3: H3Connection | None = None
        self.events: list[H3Event] = []
        self.resets: list[int] = []

    def exchange(self, rounds: int = 12) -> None:
        for _ in range(rounds):
            now = self.world.timer.now
            self.send()
            replies, self.world.sent[:] = list(self.world.sent), []
            for reply in replies:
                self.connection.receive_datagram(reply.payload, tuple(SERVICE_ADDRESS), now)
            self._take_events()
            self.world.timer.advance(0.002)

    def send(self) -> None:
        for payload, _ in self.connection.datagrams_to_send(self.world.timer.now):
            self.world.deliver(payload)

    def ask(self, *extra: tuple[bytes, bytes], method: bytes = b"GET") -> None:
        self.exchange()
        if self.http3 is None:
            self.http3 = H3Connection(self.connection)
        stream_id = self.connection.get_next_available_stream_id()
        pseudo = [(b":method", method), (b":scheme", b"https"), (b":authority", b"a")]
        self.http3.send_headers(stream_id, [*pseudo, (b":path", b"/x"), *extra], end_stream=True)
        self.exchange()

    def _take_events(self) -> None:
        event = self.connection.next_event()
        while event is not None:
            if isinstance(event, StreamReset):
                self.resets.append(event.error_code)
            if self.http3 is not None:
                self.events.extend(self.http3.handle_event(event))
            event = self.connection.next_event()


def concluding_with(outcome: Outcome, begun: bool) -> Callable[[Exchange], Any]:
    async def serve(exchange: Exchange) -> None:
        if begun:
            await exchange.send_head(200, [])
            await exchange.send_data(b"part")
        await exchange.conclude(outcome)

    return serve


@pytest.mark.parametrize(
    ("outcome", "begun", "status", "told", "resets"),
    [
        pytest.param(Answered(200), True, b"200", None, [], id="answered"),
        pytest.param(Refused(RefusalReason.FULL, 2.0), False, b"503", b"not-run", [], id="refused"),
        pytest.param(
            Refused(RefusalReason.UNDECLARED), False, b"404", b"not-run", [], id="undeclared"
        ),
        pytest.param(
            Unknown(UnknownReason.RELAY_LOST), False, b"504", b"unknown", [], id="unknown"
        ),
        pytest.param(
            Unknown(UnknownReason.BACKEND_LOST),
            True,
            b"200",
            None,
            [headers.HTTP3_INTERNAL_ERROR],
            id="cut after the answer began",
        ),
    ],
)
def test_each_outcome_is_told_apart(
    tmp_path: Path,
    outcome: Outcome,
    begun: bool,
    status: bytes,
    told: bytes | None,
    resets: list[int],
) -> None:
    world = World(tmp_path, concluding_with(outcome, begun), 10)
    caller = CallerEnd(world)
    caller.ask()
    heads = [dict(event.headers) for event in caller.events if isinstance(event, HeadersReceived)]
    assert [head[b":status"] for head in heads] == [status]
    assert heads[0].get(headers.OUTCOME_HEADER) == told
    assert caller.resets == resets
    ends = [
        event.stream_ended
        for event in caller.events
        if isinstance(event, DataReceived | HeadersReceived)
    ]
    assert any(ends) == (not resets)


@pytest.mark.parametrize(
    "extra",
    [
        pytest.param((headers.DEADLINE_HEADER, b"soon"), id="deadline is no number"),
        pytest.param((headers.DEADLINE_HEADER, b"0"), id="deadline has passed"),
        pytest.param((headers.DEADLINE_HEADER, b"9" * 30), id="deadline out of range"),
    ],
)
def test_a_malformed_request_is_rejected_as_not_processed(
    tmp_path: Path, extra: tuple[bytes, bytes]
) -> None:
    served: list[Exchange] = []
    world = World(tmp_path, lambda exchange: served.append(exchange), 10)
    caller = CallerEnd(world)
    caller.ask(extra)
    assert caller.resets == [headers.HTTP3_REQUEST_REJECTED]
    assert served == []


def test_trailers_of_an_answered_request_are_not_taken_for_a_new_one(tmp_path: Path) -> None:
    """Guards against "rejected, not processed" for a request that ran, so that it runs twice."""
    world = World(tmp_path, concluding_with(Answered(200), True), 10)
    caller = CallerEnd(world)
    caller.exchange()
    caller.http3 = H3Connection(caller.connection)
    stream_id = caller.connection.get_next_available_stream_id()
    pseudo = [(b":method", b"POST"), (b":scheme", b"https"), (b":authority", b"a")]
    caller.http3.send_headers(stream_id, [*pseudo, (b":path", b"/x")])
    caller.send()
    world.sent.clear()
    caller.http3.send_headers(stream_id, [(b"digest", b"0")], end_stream=True)
    for _ in range(20):
        caller.exchange(2)
        world.timer.advance(0.1)
    heads = [dict(event.headers) for event in caller.events if isinstance(event, HeadersReceived)]
    assert caller.resets == []
    assert [head[b":status"] for head in heads] == [b"200"]


def test_a_packet_for_another_service_is_not_given_to_the_flow(tmp_path: Path) -> None:
    world = World(tmp_path, concluding_with(Answered(200), True), 10)
    caller = CallerEnd(world)
    caller.exchange()
    caller.connection.send_ping(1)
    for payload, _ in caller.connection.datagrams_to_send(world.timer.now):
        world.deliver(payload, service="submission")
    assert world.server.counts.drops[FlowDrop.WRONG_SERVICE] == 1
    assert world.sent == []


def test_a_flow_that_swallows_everything_ends_within_its_idle_time(tmp_path: Path) -> None:
    async def serve(exchange: Exchange) -> None:
        await exchange.send_head(200, [])

    world = World(tmp_path, serve, 10)
    caller = CallerEnd(world)
    caller.ask()
    assert world.server.open_requests == 1
    world.timer.advance(IDLE_SECONDS - 5.0)
    assert world.server.open_flows == 1
    # The first unanswered keep-alive counts the idle time anew (RFC 9000, section 10.1).
    world.timer.advance(KEEP_ALIVE_SECONDS + 10.0)
    assert world.server.open_flows == 0
    assert world.server.open_requests == 0
    assert world.server.counts.closed == {CloseReason.SILENCE: 1}


def test_flows_beyond_the_limit_are_not_opened(tmp_path: Path) -> None:
    world = World(tmp_path, concluding_with(Answered(200), True), 2)
    for _ in range(5):
        CallerEnd(world).exchange(1)
    assert world.server.open_flows == 2
    assert world.server.counts.drops[FlowDrop.FLOWS_FULL] >= 3


def test_flows_beyond_the_rate_are_opened_in_the_next_second(tmp_path: Path) -> None:
    world = World(tmp_path, concluding_with(Answered(200), True), 10, flows_per_second=2)
    for _ in range(4):
        CallerEnd(world).exchange(1)
    assert world.server.open_flows == 2
    assert world.server.counts.drops[FlowDrop.FLOW_RATE] == 2
    world.timer.advance(1.0)
    CallerEnd(world).exchange(1)
    assert world.server.open_flows == 3


@pytest.mark.parametrize(
    ("keep_alive_seconds", "expected"),
    [
        pytest.param(5.0, 2, id="every 5 s"),
        pytest.param(11.0, 1, id="every 11 s"),
        pytest.param(15.0, 0, id="later than the time looked at"),
    ],
)
def test_a_silent_caller_is_sent_a_packet_as_often_as_set(
    tmp_path: Path, keep_alive_seconds: float, expected: int
) -> None:
    world = World(
        tmp_path, concluding_with(Answered(200), True), 10, keep_alive_seconds=keep_alive_seconds
    )
    caller = CallerEnd(world)
    caller.ask()
    last_at, asked_at = 0.0, []
    for _ in range(140):
        world.timer.advance(0.1)
        if world.sent:
            # Within a second of another packet it is a repetition, as the answer is slow here.
            if world.timer.now - last_at > 1.0:
                asked_at.append(world.timer.now)
            last_at = world.timer.now
        caller.exchange(1)
    assert len(asked_at) == expected


@pytest.mark.parametrize("idle_seconds", [20.0, 40.0])
def test_a_flow_is_given_up_after_the_silence_that_is_set(
    tmp_path: Path, idle_seconds: float
) -> None:
    world = World(
        tmp_path, concluding_with(Answered(200), True), 10, 100, 100.0, idle_seconds=idle_seconds
    )
    CallerEnd(world).ask()
    world.timer.advance(idle_seconds - 1.0)
    assert world.server.open_flows == 1
    world.timer.advance(2.0)
    assert world.server.open_flows == 0
    assert world.server.counts.closed == {CloseReason.SILENCE: 1}


def test_a_flow_is_not_retired_before_its_caller_has_heard_of_that(tmp_path: Path) -> None:
    """Guards against a request that vanishes with its flow, as its caller was cut off a while."""
    world = World(tmp_path, concluding_with(Answered(200), True), 10)
    caller = CallerEnd(world)
    caller.ask()
    world.server.send_goaway()
    for _ in range(4):
        world.timer.advance(RETIRE_SECONDS + 0.1)
        world.server.close_idle_flows()
        world.sent.clear()
    assert world.server.open_flows == 1
    caller.ask()
    assert caller.resets == [headers.HTTP3_REQUEST_REJECTED]
    world.timer.advance(RETIRE_SECONDS + 0.1)
    world.server.close_idle_flows()
    assert world.server.counts.closed == {CloseReason.RETIRED: 1}


@pytest.mark.parametrize("is_there", [True, False], ids=["caller is there", "caller is gone"])
def test_a_woken_agent_does_not_hold_its_own_sleep_against_a_caller(
    tmp_path: Path, is_there: bool
) -> None:
    """Guards against open flows that end as silent while their packets wait to be read."""
    world = World(
        tmp_path, concluding_with(Answered(200), True), 10, keep_alive_seconds=8.0, idle_seconds=20
    )
    caller = CallerEnd(world)
    caller.ask()
    world.timer.pause(21.0)
    world.timer.fire_due()
    assert world.server.open_flows == 1
    for _ in range(60):
        if is_there:
            caller.exchange(1)
        world.timer.advance(0.5)
    assert world.server.open_flows == int(is_there)


@pytest.fixture(scope="module")
def silent_world(tmp_path_factory: pytest.TempPathFactory) -> World:
    return World(tmp_path_factory.mktemp("tls"), concluding_with(Answered(200), True), 10)


@pytest.mark.parametrize(
    "header",
    [
        pytest.param(b"\x40" + OWN_ID, id="short header"),
        pytest.param(b"\xe0\0\0\0\1\x11" + OWN_ID + b"\0", id="Handshake"),
        pytest.param(b"\xc0\0\0\0\x09\x11" + OWN_ID + b"\0", id="unknown version"),
    ],
)
def test_a_packet_of_no_open_flow_gets_no_answer(silent_world: World, header: bytes) -> None:
    """Guards against a reset or close from an agent that doesn't hold a flow, or not any more."""
    silent_world.deliver(header.ljust(1200, b"\0"))
    assert silent_world.sent == []
    assert silent_world.server.open_flows == 0


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=1500))
def test_random_datagrams_open_nothing(silent_world: World, payload: bytes) -> None:
    silent_world.deliver(payload)
    counts = silent_world.server.counts
    assert counts.drops.keys() <= {FlowDrop.MALFORMED, FlowDrop.UNKNOWN_FLOW}
    assert counts.drops.total() == counts.datagrams
    assert silent_world.server.open_flows == 0
