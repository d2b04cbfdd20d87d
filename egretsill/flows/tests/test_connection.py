from __future__ import annotations

from pathlib import Path

import pytest
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StreamDataReceived,
)
from aioquic.quic.packet import QuicErrorCode
from aioquic.tls import Epoch

from .._connection import HOST_CONNECTION_IDS, Http3Connection, drain_events
from .._flow_server import IDLE_SECONDS, STREAM_WINDOW_BYTES
from .pair import CALLER, make_pair

UPLOAD_BYTES = 1_000_000


def test_connection_ids_sent_to_caller_are_issued_ids(tmp_path: Path) -> None:
    pair = make_pair(tmp_path)
    caller_events, _ = pair.exchange()
    assert any(isinstance(event, HandshakeCompleted) for event in caller_events)
    given = [pair.caller._peer_cid.cid, *(each.cid for each in pair.caller._peer_cid_available)]
    assert len(given) == HOST_CONNECTION_IDS
    assert set(given) <= set(pair.issuer.issued)
    assert set(pair.agent.connection_ids) <= set(pair.issuer.issued)


def test_replacement_of_retired_id_is_an_issued_id(tmp_path: Path) -> None:
    pair = make_pair(tmp_path)
    pair.exchange()
    before = set(pair.agent.connection_ids)
    pair.caller.change_connection_id()
    pair.exchange()
    after = set(pair.agent.connection_ids)
    assert len(after - before) == 1
    assert after <= set(pair.issuer.issued)


@pytest.mark.parametrize(
    ("released", "expected"),
    [
        pytest.param(False, STREAM_WINDOW_BYTES, id="received bytes are not consumed"),
        pytest.param(True, UPLOAD_BYTES, id="received bytes are consumed"),
    ],
)
def test_upload_is_limited_by_stream_window(tmp_path: Path, released: bool, expected: int) -> None:
    pair = make_pair(tmp_path)
    pair.exchange()
    received = 0

    def consume(event: QuicEvent) -> None:
        nonlocal received
        if isinstance(event, StreamDataReceived):
            received += len(event.data)
            pair.agent.hold(event.stream_id, len(event.data))
            if released:
                pair.agent.release(event.stream_id, len(event.data))

    pair.on_agent_event = consume
    stream_id = pair.caller.get_next_available_stream_id()
    pair.caller.send_stream_data(stream_id, bytes(UPLOAD_BYTES), end_stream=True)
    pair.exchange(2000)
    assert received == expected


def test_unacknowledged_bytes_drop_to_zero_after_ack(tmp_path: Path) -> None:
    pair = make_pair(tmp_path)
    pair.exchange()
    stream_id = pair.caller.get_next_available_stream_id()
    pair.caller.send_stream_data(stream_id, bytes(500))
    assert pair.caller.unacknowledged_bytes(stream_id) == 500
    pair.exchange(60)
    assert pair.caller.unacknowledged_bytes(stream_id) == 0


def test_connection_works_after_releasing_handshake_state(tmp_path: Path) -> None:
    pair = make_pair(tmp_path)
    first_flight = [data for data, _ in pair.caller.datagrams_to_send(pair.now)]
    pair.agent.receive_datagram(first_flight[0], CALLER, pair.now)
    pair.exchange()
    assert pair.agent.handshake_confirmed
    pair.agent.release_handshake_state()
    pair.agent.receive_datagram(first_flight[0], CALLER, pair.now)
    stream_id = pair.caller.get_next_available_stream_id()
    pair.caller.send_stream_data(stream_id, b"question", end_stream=True)
    _, events = pair.exchange()
    assert [event.data for event in events if isinstance(event, StreamDataReceived)] == [
        b"question"
    ]
    pair.caller.request_key_update()
    pair.agent.send_stream_data(stream_id, b"answer", end_stream=True)
    events, _ = pair.exchange()
    assert [event.data for event in events if isinstance(event, StreamDataReceived)] == [b"answer"]


def test_crypto_frame_after_handshake_closes_connection(tmp_path: Path) -> None:
    pair = make_pair(tmp_path)
    pair.exchange()
    pair.agent.release_handshake_state()
    pair.caller._crypto_streams[Epoch.ONE_RTT].sender.write(b"late")
    _, events = pair.exchange(1500)
    ends = [event for event in events if isinstance(event, ConnectionTerminated)]
    assert [event.error_code for event in ends] == [QuicErrorCode.PROTOCOL_VIOLATION]


@pytest.mark.parametrize(
    ("waited", "is_closed"),
    [
        pytest.param(2.9, False, id="before"),
        pytest.param(3.0, True, id="at the deadline"),
    ],
)
def test_extended_idle_deadline_closes_connection_later(
    tmp_path: Path, waited: float, is_closed: bool
) -> None:
    pair = make_pair(tmp_path)
    pair.exchange()
    woken_at = pair.now + 10 * IDLE_SECONDS
    pair.agent.extend_idle_deadline(woken_at + 3.0)
    pair.agent.handle_timer(woken_at + waited)
    ends = [each for each in drain_events(pair.agent) if isinstance(each, ConnectionTerminated)]
    assert bool(ends) is is_closed


def test_goaway_reaches_the_caller(tmp_path: Path) -> None:
    pair = make_pair(tmp_path)
    pair.exchange()
    at_caller, at_agent = Http3Connection(pair.caller), Http3Connection(pair.agent)
    settings, _ = pair.exchange()
    at_agent.send_goaway()
    events, _ = pair.exchange()
    for event in [*settings, *events]:
        at_caller.handle_event(event)
    assert at_caller.goaway_received
    assert not at_agent.goaway_received
