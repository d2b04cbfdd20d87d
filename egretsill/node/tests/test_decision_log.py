"""Tests of the log lines about packet decisions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import pytest

from ...address_steering import (
    Answered,
    Envelope,
    FlowKey,
    Forward,
    ForwardReason,
    Refuse,
    RefuseReason,
    Wait,
)
from ...directory import Directory, RouteTable, Snapshot
from ...directory.tests.revisions import rev
from ...fleet import PeerReport, PeerTable
from ...observation import Journal, Metrics
from ...timing import VirtualTimerService
from .._decision_log import DecisionLog

FLOW = FlowKey(0x64400001, 1024, 0xC6120001, 443)
SELF, REACHABLE, SILENT = 0x0A020001, 0x0A020002, 0x0A020003


class RecordingJournal(Journal):
    """Collects log lines, as pairs of kind and fields, instead of writing them."""

    def __init__(self) -> None:
        super().__init__("agent-1", lambda: 0.0, lambda: 0.0)
        self.lines: list[tuple[str, Mapping[str, Any]]] = []

    def write(self, kind: str, fields: Mapping[str, Any], budget: str | None = None) -> None:
        self.lines.append((kind, fields))


@pytest.fixture
def journal() -> RecordingJournal:
    return RecordingJournal()


@pytest.fixture
def metrics() -> Metrics:
    return Metrics()


@pytest.fixture
def log(journal: RecordingJournal, metrics: Metrics) -> DecisionLog:
    timer = VirtualTimerService()
    directory = Directory()
    directory.apply_snapshot(Snapshot(rev(20), RouteTable(3, {}, 15.0), ()), timer.now - 0.4)
    peers = PeerTable(SELF)
    reports = [PeerReport(REACHABLE), PeerReport(SILENT, silence_milliseconds=2_000)]
    peers.receive_reports(reports, timer.now)
    return DecisionLog(
        "agent",
        directory,
        peers,
        timer,
        metrics,
        journal,
        lambda *_: None,
        lambda *_: 0.0425,
        lambda host, _: "fi-south-b" if host == REACHABLE else "",
    )


def test_reset_logs_the_visited_agents(log: DecisionLog, journal: RecordingJournal) -> None:
    """The log must show whether a reset hit an open flow or one that had ended."""
    # The last of the visited agents is this process, which isn't counted as reachable.
    log.refused(Refuse(FLOW, 9, RefuseReason.NOWHERE_OPEN, (REACHABLE, SILENT, SELF)))
    ((kind, fields),) = journal.lines
    assert kind == "flow-refused"
    assert fields["reason"] == "nowhere-open"
    assert fields["asked"] == "10.2.0.2,10.2.0.3,10.2.0.1"
    assert fields["heard"] == "10.2.0.2"
    assert (fields["version"], fields["revision"], fields["age"]) == (3, "1:20", 0.4)


@pytest.mark.parametrize(
    ("host", "heard"), [pytest.param(REACHABLE, True, id="heard"), pytest.param(SILENT, False)]
)
def test_forwarding_logs_whether_the_vm_is_reachable(
    host: int, heard: bool, log: DecisionLog, journal: RecordingJournal
) -> None:
    """The log must show that a search ended at an unreachable VM, where its packet is lost."""
    log.forwarded(Forward(host, Envelope(1, 3, 4, (SELF,)), ForwardReason.NOT_HERE, FLOW, b""))
    ((kind, fields),) = journal.lines
    assert kind == "flow-not-here"
    assert fields["heard"] is heard


# Guards against a wait for a target in warm-up that looks like one for want of capacity.
@pytest.mark.parametrize("is_paced", [False, True], ids=["capacity", "pace"])
def test_wait_names_the_pace(log: DecisionLog, journal: RecordingJournal, is_paced: bool) -> None:
    log.waits(Wait(FLOW, 1, 0, is_open=False, is_paced=is_paced))
    ((kind, fields),) = journal.lines
    assert kind == "request-waits"
    assert ("paced" in fields) is is_paced


@pytest.mark.parametrize(
    ("host", "reason", "spill"),
    [
        pytest.param(REACHABLE, ForwardReason.NEW_FLOW, "fi-south-b", id="other failure domain"),
        pytest.param(SILENT, ForwardReason.NEW_FLOW, "", id="own failure domain"),
        pytest.param(REACHABLE, ForwardReason.FIRST_CANDIDATE, "", id="no choice of a target"),
    ],
)
def test_choice_is_logged_with_what_was_expected(
    log: DecisionLog,
    journal: RecordingJournal,
    metrics: Metrics,
    host: int,
    reason: ForwardReason,
    spill: str,
) -> None:
    log.forwarded(Forward(host, Envelope(SELF, 3, 1, (), 1), reason, FLOW, b""))
    ((_, fields),) = journal.lines
    assert (fields["finish"], fields["spill"]) == (0.0425, spill)
    assert metrics.flows_spilled.value("fi-south-b") == (1 if spill else 0)


def test_expected_and_real_time_of_an_answer_are_counted(
    log: DecisionLog, metrics: Metrics
) -> None:
    log.answered(Answered(FLOW, 0.05, 0.03))
    log.answered(Answered(FLOW, 0.07))
    assert metrics.time_to_first_byte_seconds.count("", "") == 2
    assert metrics.expected_first_byte_seconds.count("", "") == 1
