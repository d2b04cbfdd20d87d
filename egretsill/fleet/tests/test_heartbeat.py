"""Tests of the encoding of heartbeats."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...directory.tests.revisions import rev
from .. import (
    MAXIMUM_REPORTS,
    Heartbeat,
    HeartbeatHead,
    MalformedHeartbeat,
    PeerReport,
    decode_head,
    decode_reports,
    encode_heartbeat,
)

HEAD = HeartbeatHead(0x0A010001, 1_790_000_000_000, 77, 12, rev(3_456, era=9), 250, "fi-south-a/0")
REPORT = PeerReport(0x0A020001, False, True, True, True, 3, 12, 45, 250, False, 6.3, 2.8, True)


def test_heartbeat_round_trip() -> None:
    data = encode_heartbeat(
        Heartbeat(HEAD, [REPORT, PeerReport(5, can_read=False), PeerReport(6, is_new=True)])
    )
    assert decode_head(data) == HEAD
    assert decode_reports(data) == [
        REPORT,
        PeerReport(5, can_read=False),
        PeerReport(6, is_new=True),
    ]


def test_full_heartbeat_fits_in_a_packet() -> None:
    assert len(encode_heartbeat(Heartbeat(HEAD, [REPORT] * MAXIMUM_REPORTS))) <= 1_200


def test_values_beyond_the_field_width_are_clamped() -> None:
    report = REPORT._replace(
        pending=10**6,
        flows=10**6,
        delay_milliseconds=10**6,
        silence_milliseconds=10**6,
        backlog_milliseconds=1e6,
        work_milliseconds=1e6,
    )
    (decoded,) = decode_reports(encode_heartbeat(Heartbeat(HEAD, [report])))
    assert (decoded.pending, decoded.flows, decoded.silence_milliseconds) == (251030, 65535, 2550)
    assert decoded.delay_milliseconds == 251030
    assert (decoded.backlog_milliseconds, decoded.work_milliseconds) == (25103.0, 25103.0)


@pytest.mark.parametrize("number", [0, 1, 63, 64, 65, 100, 999, 65_535])
def test_number_is_rounded_down_by_a_few_percent_and_only_once(number: int) -> None:
    """Guards against loads that shrink with each hub that passes them on."""
    report = PeerReport(
        1, pending=number, backlog_milliseconds=number / 10, work_milliseconds=number / 10
    )
    (once,) = decode_reports(encode_heartbeat(Heartbeat(HEAD, [report])))
    assert number / 1.05 <= once.pending <= number
    assert number / 1.05 <= once.work_milliseconds * 10 <= number + 1e-9
    assert decode_reports(encode_heartbeat(Heartbeat(HEAD, [once]))) == [once]


def test_former_layout_lacks_backlog_and_work_only() -> None:
    data = encode_heartbeat(Heartbeat(HEAD, [REPORT]), is_former=True)
    assert len(data) == len(encode_heartbeat(Heartbeat(HEAD, [REPORT])))
    expected = REPORT._replace(backlog_milliseconds=0.0, work_milliseconds=0.0)
    assert (decode_head(data), decode_reports(data)) == (HEAD, [expected])


def test_former_layout_clamps_values_beyond_the_field_width() -> None:
    report = REPORT._replace(pending=10**6, flows=10**6, silence_milliseconds=10**6)
    (decoded,) = decode_reports(encode_heartbeat(Heartbeat(HEAD, [report]), is_former=True))
    assert (decoded.pending, decoded.flows, decoded.silence_milliseconds) == (65535, 65535, 2550)


def test_heartbeat_of_the_former_layout_is_decoded() -> None:
    """Guards against processes that count as silent while a fleet is upgraded one by one."""
    data = bytes.fromhex(
        "b6"
        "0a010001"
        "000001a0c4b59400"
        "0000004d"
        "000000000000000c"
        "0000000000000009"
        "0000000000000d80"
        "000000fa"
        "01"
        "61"
        "0a020001"
        "0003"
        "000c"
        "002d"
        "19"
        "0e"
    )
    head = decode_head(data)
    assert (head.host, head.version, head.revision, head.cell) == (
        0x0A010001,
        12,
        rev(3_456, era=9),
        "a",
    )
    assert head.is_subscribing
    assert decode_reports(data) == [PeerReport(0x0A020001, False, True, True, True, 3, 12, 45, 250)]


@given(st.binary(max_size=200), st.integers(0, 60))
def test_random_bytes_are_decoded_or_rejected(noise: bytes, kept: int) -> None:
    complete = encode_heartbeat(Heartbeat(HEAD, [REPORT] * 3))
    for data in (noise, complete[:kept] + noise):
        try:
            head = decode_head(data)
        except MalformedHeartbeat:
            continue
        assert isinstance(head.cell, str)
        assert all(0 <= each.silence_milliseconds <= 2550 for each in decode_reports(data))


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(encode_heartbeat(Heartbeat(HEAD, [REPORT]))[:-1], id="cut"),
        pytest.param(b"\xb0" + encode_heartbeat(Heartbeat(HEAD, [REPORT]))[1:], id="other mark"),
    ],
)
def test_malformed_heartbeat_is_rejected(data: bytes) -> None:
    with pytest.raises(MalformedHeartbeat):
        decode_head(data)


# Guards against a heartbeat of an earlier build, without an era, that is read as one of this build.
def test_heartbeat_without_an_era_is_malformed() -> None:
    head = struct.Struct(">BIQIQQIB").pack(0xB1, 0x0A010001, 1, 77, 12, 3_456, 250, 0)
    with pytest.raises(MalformedHeartbeat):
        decode_head(head + bytes(24))


def test_heartbeat_with_an_era_out_of_range_is_malformed() -> None:
    data = encode_heartbeat(Heartbeat(HEAD._replace(revision=rev(1, era=2**60)), []))
    with pytest.raises(MalformedHeartbeat) as caught:
        decode_head(data)
    assert caught.value.reason == "revision"


# Guards against a peer whose state no later step can use, such as an address of many VMs.
@pytest.mark.parametrize(
    ("head", "reason"),
    [
        pytest.param(HEAD._replace(host=0), "host", id="no host"),
        pytest.param(HEAD._replace(host=0xE0000001), "host", id="multicast"),
        pytest.param(HEAD._replace(host=0xFFFFFFFF), "host", id="broadcast"),
        pytest.param(HEAD._replace(version=2**53), "version", id="version that is too large"),
        pytest.param(HEAD._replace(revision=rev(2**53)), "revision", id="huge revision"),
    ],
)
def test_heartbeat_with_an_unusable_value_is_malformed(head: HeartbeatHead, reason: str) -> None:
    with pytest.raises(MalformedHeartbeat) as caught:
        decode_head(encode_heartbeat(Heartbeat(head, [REPORT])))
    assert caught.value.reason == reason
