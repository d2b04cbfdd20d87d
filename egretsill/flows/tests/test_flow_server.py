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
from ...supervision import PropagatingSupervisor
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


class AgentHarness:
    """An agent's flow server with recorded replies, in virtual time."""

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
            PropagatingSupervisor(),
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
    """Runs each task immediately and to its end."""

    def start_soon(self, function: Callable[..., Any], *arguments: Any) -> None:
        coroutine = function(*arguments)

        async def run() -> None:
            await coroutine

        trio.run(run)


class CallerClient:
    """A caller's connection to an agent harness."""

    def __init__(self, harness: AgentHarness) -> None:
        self.harness = harness
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=list(H3_ALPN),
            server_name="service.example",
            verify_mode=ssl.CERT_NONE,
        )
        self.connection = QuicConnection(configuration=configuration)
        self.connection.connect(tuple(SERVICE_ADDRESS), harness.timer.now)
        self.http3: H3Connection | None = None
        self.events: list[H3Event] = []
        self.resets: list[int] = []

    def exchange(self, rounds: int = 12) -> None:
        for _ in range(rounds):
            now = self.harness.timer.now
            self.send()
            replies, self.harness.sent[:] = list(self.harness.sent), []
            for reply in replies:
                self.connection.receive_datagram(reply.payload, tuple(SERVICE_ADDRESS), now)
            self._take_events()
            self.harness.timer.advance(0.002)

    def send(self) -> None:
        for payload, _ in self.connection.datagrams_to_send(self.harness.timer.now):
            self.harness.deliver(payload)

    def send_request(self, *extra: tuple[bytes, bytes], method: bytes = b"GET") -> None:
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
    ("outcome", "begun", "status", "outcome_header", "resets"),
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
            id="lost after the answer began",
        ),
    ],
)
def test_outcome_determines_status_and_headers(
    tmp_path: Path,
    outcome: Outcome,
    begun: bool,
    status: bytes,
    outcome_header: bytes | None,
    resets: list[int],
) -> None:
    harness = AgentHarness(tmp_path, concluding_with(outcome, begun), 10)
    caller = CallerClient(harness)
    caller.send_request()
    heads = [dict(event.headers) for event in caller.events if isinstance(event, HeadersReceived)]
    assert [head[b":status"] for head in heads] == [status]
    assert heads[0].get(headers.OUTCOME_HEADER) == outcome_header
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
        pytest.param((headers.DEADLINE_HEADER, b"soon"), id="deadline is not a number"),
        pytest.param((headers.DEADLINE_HEADER, b"0"), id="deadline has passed"),
        pytest.param((headers.DEADLINE_HEADER, b"9" * 30), id="deadline out of range"),
        # Guards against a number that Python refuses to parse.
        pytest.param((headers.DEADLINE_HEADER, b"9" * 5_000), id="deadline of 5,000 digits"),
    ],
)
def test_malformed_request_is_rejected(tmp_path: Path, extra: tuple[bytes, bytes]) -> None:
    served: list[Exchange] = []
    harness = AgentHarness(tmp_path, lambda exchange: served.append(exchange), 10)
    caller = CallerClient(harness)
    caller.send_request(extra)
    assert caller.resets == [headers.HTTP3_REQUEST_REJECTED]
    assert served == []


def test_trailers_after_answer_open_no_request(tmp_path: Path) -> None:
    """Guards against rejecting a request that ran as not processed, so that it runs twice."""
    harness = AgentHarness(tmp_path, concluding_with(Answered(200), True), 10)
    caller = CallerClient(harness)
    caller.exchange()
    caller.http3 = H3Connection(caller.connection)
    stream_id = caller.connection.get_next_available_stream_id()
    pseudo = [(b":method", b"POST"), (b":scheme", b"https"), (b":authority", b"a")]
    caller.http3.send_headers(stream_id, [*pseudo, (b":path", b"/x")])
    caller.send()
    harness.sent.clear()
    caller.http3.send_headers(stream_id, [(b"digest", b"0")], end_stream=True)
    for _ in range(20):
        caller.exchange(2)
        harness.timer.advance(0.1)
    heads = [dict(event.headers) for event in caller.events if isinstance(event, HeadersReceived)]
    assert caller.resets == []
    assert [head[b":status"] for head in heads] == [b"200"]


def test_packet_for_another_service_is_dropped(tmp_path: Path) -> None:
    harness = AgentHarness(tmp_path, concluding_with(Answered(200), True), 10)
    caller = CallerClient(harness)
    caller.exchange()
    caller.connection.send_ping(1)
    for payload, _ in caller.connection.datagrams_to_send(harness.timer.now):
        harness.deliver(payload, service="submission")
    assert harness.server.counts.drops[FlowDrop.WRONG_SERVICE] == 1
    assert harness.sent == []


def test_flow_of_unresponsive_caller_closes_after_idle_time(tmp_path: Path) -> None:
    async def serve(exchange: Exchange) -> None:
        await exchange.send_head(200, [])

    harness = AgentHarness(tmp_path, serve, 10)
    caller = CallerClient(harness)
    caller.send_request()
    assert harness.server.open_requests == 1
    harness.timer.advance(IDLE_SECONDS - 5.0)
    assert harness.server.open_flows == 1
    # The first unanswered keep-alive restarts the idle timeout (RFC 9000, section 10.1).
    harness.timer.advance(KEEP_ALIVE_SECONDS + 10.0)
    assert harness.server.open_flows == 0
    assert harness.server.open_requests == 0
    assert harness.server.counts.closed == {CloseReason.SILENCE: 1}


def test_flows_above_the_limit_are_not_opened(tmp_path: Path) -> None:
    harness = AgentHarness(tmp_path, concluding_with(Answered(200), True), 2)
    for _ in range(5):
        CallerClient(harness).exchange(1)
    assert harness.server.open_flows == 2
    assert harness.server.counts.drops[FlowDrop.FLOWS_FULL] >= 3


def test_flows_above_the_rate_open_in_next_second(tmp_path: Path) -> None:
    harness = AgentHarness(tmp_path, concluding_with(Answered(200), True), 10, flows_per_second=2)
    for _ in range(4):
        CallerClient(harness).exchange(1)
    assert harness.server.open_flows == 2
    assert harness.server.counts.drops[FlowDrop.FLOW_RATE] == 2
    harness.timer.advance(1.0)
    CallerClient(harness).exchange(1)
    assert harness.server.open_flows == 3


@pytest.mark.parametrize(
    ("keep_alive_seconds", "expected"),
    [
        pytest.param(5.0, 2, id="every 5 s"),
        pytest.param(11.0, 1, id="every 11 s"),
        pytest.param(15.0, 0, id="longer than the observed time"),
    ],
)
def test_silent_caller_gets_keep_alives_at_set_interval(
    tmp_path: Path, keep_alive_seconds: float, expected: int
) -> None:
    harness = AgentHarness(
        tmp_path, concluding_with(Answered(200), True), 10, keep_alive_seconds=keep_alive_seconds
    )
    caller = CallerClient(harness)
    caller.send_request()
    last_sent_time, keep_alive_times = 0.0, []
    for _ in range(140):
        harness.timer.advance(0.1)
        if harness.sent:
            # A packet within a second of another one is a retransmission, as answers are slow here.
            if harness.timer.now - last_sent_time > 1.0:
                keep_alive_times.append(harness.timer.now)
            last_sent_time = harness.timer.now
        caller.exchange(1)
    assert len(keep_alive_times) == expected


@pytest.mark.parametrize("idle_seconds", [20.0, 40.0])
def test_flow_closes_after_set_idle_time(tmp_path: Path, idle_seconds: float) -> None:
    harness = AgentHarness(
        tmp_path, concluding_with(Answered(200), True), 10, 100, 100.0, idle_seconds=idle_seconds
    )
    CallerClient(harness).send_request()
    harness.timer.advance(idle_seconds - 1.0)
    assert harness.server.open_flows == 1
    harness.timer.advance(2.0)
    assert harness.server.open_flows == 0
    assert harness.server.counts.closed == {CloseReason.SILENCE: 1}


def test_flow_stays_open_until_goaway_is_acknowledged(tmp_path: Path) -> None:
    """Guards against losing a request of a caller that was unreachable when GOAWAY was sent."""
    harness = AgentHarness(tmp_path, concluding_with(Answered(200), True), 10)
    caller = CallerClient(harness)
    caller.send_request()
    harness.server.send_goaway()
    for _ in range(4):
        harness.timer.advance(RETIRE_SECONDS + 0.1)
        harness.server.close_idle_flows()
        harness.sent.clear()
    assert harness.server.open_flows == 1
    caller.send_request()
    assert caller.resets == [headers.HTTP3_REQUEST_REJECTED]
    harness.timer.advance(RETIRE_SECONDS + 0.1)
    harness.server.close_idle_flows()
    assert harness.server.counts.closed == {CloseReason.RETIRED: 1}


@pytest.mark.parametrize(
    "is_reachable", [True, False], ids=["caller reachable", "caller unreachable"]
)
def test_scheduling_pause_of_agent_does_not_close_flow(tmp_path: Path, is_reachable: bool) -> None:
    """Guards against closing open flows as idle while their packets wait to be read."""
    harness = AgentHarness(
        tmp_path, concluding_with(Answered(200), True), 10, keep_alive_seconds=8.0, idle_seconds=20
    )
    caller = CallerClient(harness)
    caller.send_request()
    harness.timer.pause(21.0)
    harness.timer.fire_due()
    assert harness.server.open_flows == 1
    for _ in range(60):
        if is_reachable:
            caller.exchange(1)
        harness.timer.advance(0.5)
    assert harness.server.open_flows == int(is_reachable)


@pytest.fixture(scope="module")
def shared_harness(tmp_path_factory: pytest.TempPathFactory) -> AgentHarness:
    return AgentHarness(tmp_path_factory.mktemp("tls"), concluding_with(Answered(200), True), 10)


@pytest.mark.parametrize(
    "header",
    [
        pytest.param(b"\x40" + OWN_ID, id="short header"),
        pytest.param(b"\xe0\0\0\0\1\x11" + OWN_ID + b"\0", id="Handshake"),
        pytest.param(b"\xc0\0\0\0\x09\x11" + OWN_ID + b"\0", id="unknown version"),
    ],
)
def test_packet_of_unknown_flow_gets_no_answer(shared_harness: AgentHarness, header: bytes) -> None:
    """Guards against a reset or close from an agent that does not own the flow (any more)."""
    shared_harness.deliver(header.ljust(1200, b"\0"))
    assert shared_harness.sent == []
    assert shared_harness.server.open_flows == 0


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=1500))
def test_random_datagrams_open_no_flow(shared_harness: AgentHarness, payload: bytes) -> None:
    shared_harness.deliver(payload)
    counts = shared_harness.server.counts
    assert counts.drops.keys() <= {FlowDrop.MALFORMED, FlowDrop.UNKNOWN_FLOW}
    assert counts.drops.total() == counts.datagrams
    assert shared_harness.server.open_flows == 0
