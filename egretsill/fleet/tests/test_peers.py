"""Tests of the state kept of the other processes."""

from __future__ import annotations

from typing import Any

import pytest

from ...directory.tests.revisions import rev
from .. import SILENT_SECONDS, HeartbeatHead, PeerReport, PeerTable
from .._peers import FORGET_SECONDS, UNCERTAIN_SECONDS

OWN, PEER, HUB = 1, 2, 3
HEAD = HeartbeatHead(HUB, 100, 1, 7, rev(20), 0, "a/0")


def report_peer(table: PeerTable, now: float, silence: float = 0.0, host: int = PEER) -> None:
    """Receive a hub's report of a process that it last saw some seconds ago."""
    report = PeerReport(host, silence_milliseconds=round(silence * 1000))
    table.receive_reports([report], now)


def test_peer_is_reachable_until_a_hub_reports_silence() -> None:
    table = PeerTable(OWN)
    assert not table.is_silent(PEER), "a peer that was never seen isn't silent"
    report_peer(table, 0.0)
    assert table.is_reachable(PEER, 0.1)
    report_peer(table, SILENT_SECONDS - 0.01, SILENT_SECONDS - 0.01)
    assert table.is_reachable(PEER, SILENT_SECONDS)
    report_peer(table, SILENT_SECONDS, SILENT_SECONDS)
    assert table.is_silent(PEER)
    assert not table.is_reachable(PEER, SILENT_SECONDS)
    report_peer(table, 5.0)
    assert table.is_reachable(PEER, 5.1)


def test_peer_without_reports_becomes_uncertain_but_not_silent() -> None:
    table = PeerTable(OWN)
    report_peer(table, 0.0)
    assert not table.is_silent(PEER)
    assert table.is_reachable(PEER, UNCERTAIN_SECONDS - 0.1)
    assert not table.is_reachable(PEER, UNCERTAIN_SECONDS + 0.1)


def test_one_hub_that_sees_a_peer_outweighs_one_that_does_not() -> None:
    table = PeerTable(OWN)
    for step in range(20):
        now = step * 0.25
        report_peer(table, now)
        report_peer(table, now + 0.01, now + 0.01)
        assert not table.is_silent(PEER)


@pytest.mark.parametrize(
    ("change", "is_news"),
    [
        pytest.param({"sequence": 1}, False, id="repeated"),
        pytest.param({"sequence": 0}, False, id="late"),
        pytest.param({"sequence": 2}, True, id="next"),
        pytest.param({"incarnation": 50, "sequence": 0}, True, id="restarted, clock set back"),
        pytest.param({"host": OWN}, False, id="own"),
    ],
)
def test_only_new_heartbeats_are_accepted(change: dict[str, Any], is_news: bool) -> None:
    table = PeerTable(OWN)
    table.receive_head(HEAD, 0.0)
    assert table.receive_head(HEAD._replace(**change), 1.0) is is_news


def test_older_report_does_not_replace_a_newer_one() -> None:
    table = PeerTable(OWN)
    table.receive_reports([PeerReport(PEER, pending=3)], 1.0)
    table.receive_reports([PeerReport(PEER, pending=9, silence_milliseconds=500)], 1.1)
    assert table.peers[PEER].report.pending == 3
    assert table.peers[PEER].newer_reports == 0


@pytest.mark.parametrize(
    ("report", "can_read"),
    [
        pytest.param(PeerReport(PEER), True, id="healthy"),
        pytest.param(PeerReport(PEER, can_read=False), False, id="cannot read the store"),
        pytest.param(PeerReport(PEER, is_leaving=True), False, id="leaving"),
        pytest.param(PeerReport(PEER, silence_milliseconds=900), False, id="silent"),
    ],
)
def test_reader_must_reach_the_store_and_stay(report: PeerReport, can_read: bool) -> None:
    table = PeerTable(OWN)
    assert table.can_read(PEER), "unknown peers are assumed to be able to"
    table.receive_reports([report], 0.0)
    assert table.can_read(PEER) is can_read


def test_hub_reports_how_long_a_process_has_been_silent() -> None:
    table = PeerTable(OWN)
    report_peer(table, 0.0)
    (report,) = table.reports_of([PEER, 99], 0.9)
    assert report.silence_milliseconds == 900
    assert table.is_silent(PEER), "this process would have received its heartbeats"


def test_scheduling_pause_does_not_count_as_silence_of_peers() -> None:
    table = PeerTable(OWN)
    report_peer(table, 0.0)
    table.note_scheduling_pause(10.0)
    assert table.is_reachable(PEER, 10.1)
    (report,) = table.reports_of([PEER], 10.2)
    assert report.silence_milliseconds == 199 or report.silence_milliseconds == 200
    assert not table.is_silent(PEER)


def test_peer_silent_for_long_is_forgotten() -> None:
    table = PeerTable(OWN)
    report_peer(table, 0.0)
    table.receive_head(HEAD, 0.0)
    table.tick(FORGET_SECONDS + 1)
    assert not table.peers
    assert table.receive_head(HEAD, FORGET_SECONDS + 1)


@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        pytest.param([], False, id="nobody heard yet"),
        pytest.param([(2, True, 0), (3, True, 0)], True, id="all"),
        pytest.param([(2, True, 0), (3, False, 0)], False, id="one of an earlier release"),
        pytest.param([(2, True, 0), (3, False, 2_000)], True, id="that one is silent"),
    ],
)
def test_current_heartbeats_are_sent_if_all_that_are_heard_decode_them(
    reports: list[tuple[int, bool, int]], expected: bool
) -> None:
    """Guards against processes that count as silent while a fleet is upgraded one by one."""
    table = PeerTable(1)
    table.receive_reports(
        [
            PeerReport(host, reads_levels=reads, silence_milliseconds=silence)
            for host, reads, silence in reports
        ],
        1.0,
    )
    assert table.reads_levels(1.0) is expected
