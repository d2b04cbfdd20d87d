"""Log lines about decisions: rate limits, counts of omitted lines and non-blocking writes."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator

import eliot
import pytest

from .. import Journal, NonBlockingStream
from .._journal import BURST_LINES, LINES_PER_SECOND, MAXIMUM_WAITING


class Clock:
    now = 0.0


@pytest.fixture
def lines() -> Iterator[list[dict[str, object]]]:
    found: list[dict[str, object]] = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


def make_journal() -> Journal:
    return Journal("node-1", lambda: Clock.now, lambda: 1e9 + Clock.now)


def test_line_has_process_kind_time_and_fields(lines: list[dict[str, object]]) -> None:
    Clock.now = 5.0
    journal = make_journal()
    journal.record("store-lost", detail="503", age=1.5)
    journal.flush()
    (line,) = lines
    assert line["message_type"] == "egretsill:store-lost"
    assert (line["process"], line["detail"], line["age"]) == ("node-1", "503", 1.5)
    assert line["at"] == 1e9 + 5.0
    assert journal.waiting == 0


def test_lines_over_budget_are_counted_and_reported(lines: list[dict[str, object]]) -> None:
    Clock.now = 0.0
    journal = make_journal()
    for _ in range(1000):
        journal.record("flow-refused", flow="x")
    journal.record("started")
    Clock.now = 10.0
    journal.record("flow-refused", flow="y")
    journal.flush()
    kinds = [line["message_type"] for line in lines]
    assert kinds.count("egretsill:flow-refused") == BURST_LINES + 1
    assert kinds.count("egretsill:started") == 1
    assert lines[-1]["omitted"] == 1000 - BURST_LINES


def test_sustained_line_rate_is_limited(lines: list[dict[str, object]]) -> None:
    journal = make_journal()
    for step in range(10_000):
        Clock.now = step / 100
        journal.record("flow-new-flow", flow="x")
    journal.flush()
    assert len(lines) <= BURST_LINES + 100 * LINES_PER_SECOND + 1


def test_oldest_unwritten_lines_are_dropped_and_counted(lines: list[dict[str, object]]) -> None:
    journal = make_journal()
    for number in range(MAXIMUM_WAITING + 10):
        journal.write("kind", {"number": number})
    assert journal.waiting == MAXIMUM_WAITING
    journal.flush()
    assert lines[0]["message_type"] == "egretsill:log-lost"
    assert lines[0]["lines"] == 10


def test_stalled_reader_does_not_block_writer() -> None:
    reader, writer = os.pipe()
    stream = NonBlockingStream(writer)
    line = json.dumps({"text": "x" * 4000}).encode() + b"\n"
    for _ in range(100):
        stream.write(line)
    assert stream.dropped > 0
    os.close(reader)
    assert stream.write(line) == 0
    os.close(writer)
