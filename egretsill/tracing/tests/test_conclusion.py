"""Conclusions and histories of flows from log lines."""

from __future__ import annotations

import pytest

from ...address_steering import RefuseReason
from .. import Ending, LogLine, conclude, find_history

FLOW = "100.64.0.1:1024>198.18.0.1:443"
OTHER_FLOW = "100.64.0.1:1025>198.18.0.1:443"
HOST = "10.1.0.7"


def line(process: str, at: float, kind: str, **fields: object) -> LogLine:
    return LogLine(process, at, kind, fields)


STARTED = line("side-1", 1.0, "started", host=HOST, role="agent")
STEERED = line("front-1", 100.0, "flow-new-flow", flow=FLOW, agent=HOST, load=0.5)
WAITED = line("side-1", 100.1, "request-waits", flow=FLOW, waiting=4, pending=3)
EXPIRED = line("side-1", 101.6, "request-expired", flow=FLOW, waited=1.5)
DROPPED = line("front-1", 100.2, "flow-packet-dropped", flow=FLOW, reason="no-target")
REFUSED = line(
    "side-1", 100.3, "flow-refused", flow=FLOW, reason="nowhere-open", version=7, age=0.2
)
RESTARTED = line("side-1", 100.9, "started", host=HOST, role="agent")
PEER_SILENT = line("front-1", 101.0, "peer-silent", peer=HOST, silence=0.9)
OTHER_PEER_SILENT = line("front-1", 101.0, "peer-silent", peer="10.1.0.8", silence=0.9)
OTHER_FLOW_STEERED = line("front-1", 100.0, "flow-new-flow", flow=OTHER_FLOW, agent="10.1.0.8")
OTHER_PROCESS_WOKE = line("side-9", 100.0, "woke", seconds=3.0)


@pytest.mark.parametrize(
    ("lines", "ending", "expected_text"),
    [
        pytest.param([], Ending.UNKNOWN_FLOW, "No line", id="no lines at all"),
        pytest.param(
            [OTHER_FLOW_STEERED, STARTED], Ending.UNKNOWN_FLOW, "No line", id="other flows only"
        ),
        pytest.param([STARTED, STEERED], Ending.STEERED, HOST, id="only steered"),
        pytest.param([STARTED, STEERED, WAITED], Ending.WAITED, "side-1", id="late"),
        pytest.param([STEERED, WAITED, EXPIRED], Ending.EXPIRED, "1.5 s", id="expired"),
        pytest.param([STEERED, DROPPED], Ending.DROPPED, "no-target", id="packet dropped"),
        pytest.param([STEERED, REFUSED, DROPPED], Ending.REFUSED, "restarted", id="refused"),
        pytest.param(
            [STARTED, STEERED, RESTARTED], Ending.AGENT_RESTARTED, "side-1", id="agent lost"
        ),
        pytest.param([RESTARTED, REFUSED, STEERED], Ending.REFUSED, "version 7", id="in any order"),
    ],
)
def test_conclusion(lines: list[LogLine], ending: Ending, expected_text: str) -> None:
    conclusion = conclude(find_history(FLOW, lines))
    assert conclusion.ending is ending
    assert expected_text in conclusion.sentence


@pytest.mark.parametrize("reason", list(RefuseReason), ids=lambda each: str(each.value))
def test_every_reason_has_a_sentence(reason: RefuseReason) -> None:
    refused = line("side-1", 1.0, "flow-refused", flow=FLOW, reason=reason.value)
    assert f"reason {reason.value}" not in conclude(find_history(FLOW, [refused])).sentence


def test_history_contains_only_lines_about_and_around_the_flow() -> None:
    lines = [
        STARTED,
        STEERED,
        OTHER_FLOW_STEERED,
        RESTARTED,
        PEER_SILENT,
        OTHER_PEER_SILENT,
        OTHER_PROCESS_WOKE,
    ]
    history = find_history("100.64.0.1:1024", lines)
    assert history.lines == (STEERED,)
    assert list(history.all_lines) == [STEERED, RESTARTED, PEER_SILENT]


def test_omitted_lines_of_the_same_kinds_are_counted() -> None:
    lines = [
        line("front-1", 99.0, "flow-new-flow", flow=OTHER_FLOW, omitted=3),
        line("front-1", 99.0, "peer-silent", peer=HOST, omitted=9),
        line("front-2", 99.0, "flow-new-flow", flow=OTHER_FLOW, omitted=20),
        line("front-1", 200.0, "flow-new-flow", flow=OTHER_FLOW, omitted=40),
        STEERED,
    ]
    assert find_history(FLOW, lines).omitted == 3


def test_lines_with_equal_times_are_ordered_by_decision() -> None:
    refused = line("side-1", 100.0, "flow-refused", flow=FLOW, reason="all-full")
    passed = line("side-1", 100.0, "flow-target-full", flow=FLOW, agent="10.1.0.8")
    assert find_history(FLOW, [refused, passed, STEERED]).lines == (STEERED, passed, refused)
