"""Log lines about decisions: rate limits, counts of omitted lines and non-blocking writes."""

from __future__ import annotations

import errno
import json
import os
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import eliot
import pytest

from .. import Journal, NonBlockingStream
from .._journal import BURST_LINES, LINES_PER_SECOND, MAXIMUM_WAITING
from .._log_values import MAXIMUM_TEXT_CHARACTERS


class Unprintable:
    def __repr__(self) -> str:
        raise RuntimeError("no text")


class Clock:
    now = 0.0


@pytest.fixture
def lines() -> Iterator[list[dict[str, object]]]:
    found: list[dict[str, object]] = []
    eliot.add_destinations(found.append)
    found.clear()  # of lines of earlier tests, which eliot keeps for its first destination
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


@contextmanager
def eliot_writes_to(stream: NonBlockingStream) -> Iterator[None]:
    before = list(eliot.Logger._destinations._destinations)
    eliot.to_file(stream)
    (added,) = [each for each in eliot.Logger._destinations._destinations if each not in before]
    yield
    eliot.remove_destination(added)


def read_lines(descriptor: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


# Guards against a line that is missing, or that takes others with it, as a field can't be encoded.
@pytest.mark.parametrize(
    ("value", "written"),
    [
        pytest.param("store room \ud83d", "store room \\ud83d", id="half of a surrogate pair"),
        pytest.param("зона", "зона", id="not ASCII"),
        pytest.param(10**30, hex(10**30), id="large integer"),
        pytest.param(-(10**5000), hex(-(10**5000))[:MAXIMUM_TEXT_CHARACTERS], id="huge integer"),
        pytest.param(2**63 - 1, 2**63 - 1, id="largest integer"),
        pytest.param(True, True, id="boolean"),
        pytest.param(float("nan"), "nan", id="not a number"),
        pytest.param(float("inf"), "inf", id="infinity"),
        pytest.param("x" * 10**6, "x" * MAXIMUM_TEXT_CHARACTERS, id="long text"),
        pytest.param(b"\xff", "b'\\xff'", id="bytes"),
        pytest.param({1: object}, "{1: <class 'object'>}", id="object"),
        pytest.param(Unprintable(), "unprintable Unprintable", id="unprintable object"),
    ],
)
def test_any_field_is_written_in_a_safe_form(value: Any, written: object) -> None:
    reader, writer = os.pipe()
    journal = make_journal()
    with eliot_writes_to(NonBlockingStream(writer)):
        journal.record("before")
        journal.record("strange", value=value)
        journal.record("after")
        journal.flush()
    lines = read_lines(reader)
    assert [each["message_type"] for each in lines] == [
        "egretsill:before",
        "egretsill:strange",
        "egretsill:after",
    ]
    assert lines[1]["value"] == written
    os.close(reader)
    os.close(writer)


# Guards against a line whose field has the name of one that every line has.
def test_field_with_a_reserved_name_does_not_stop_the_lines(
    lines: list[dict[str, object]],
) -> None:
    journal = make_journal()
    journal.write("strange", {"process": "p", "at": 1, "message_type": "m", "own": 2})
    journal.record("after")
    journal.flush()
    assert [line["message_type"] for line in lines] == ["egretsill:strange", "egretsill:after"]
    assert (lines[0]["process"], lines[0]["own"]) == ("node-1", 2)


# Guards against an output whose failure ends the process, or is kept quiet.
@pytest.mark.parametrize(
    "error",
    [errno.EPIPE, errno.EIO, errno.ENOSPC, errno.EBADF, errno.EAGAIN],
    ids=errno.errorcode.get,
)
def test_lines_that_the_output_refused_are_told_when_it_works_again(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(descriptor: int, data: bytes) -> int:
        raise OSError(error, os.strerror(error))

    reader, writer = os.pipe()
    journal = make_journal()
    stream = NonBlockingStream(writer)
    with eliot_writes_to(stream):
        with monkeypatch.context() as patch:
            patch.setattr(os, "write", refuse)
            for number in range(3):
                journal.write("lost", {"number": number})
            for _ in range(10):
                journal.flush(lambda: stream.dropped)
        journal.record("after")
        for _ in range(3):
            journal.flush(lambda: stream.dropped)
    lines = read_lines(reader)
    assert [each["message_type"] for each in lines] == ["egretsill:log-lost", "egretsill:after"]
    assert lines[0]["lines"] == 3
    os.close(reader)
    os.close(writer)


# Guards against a truncated line that garbles the one after it.
def test_line_after_a_truncated_one_is_whole() -> None:
    reader, writer = os.pipe()
    stream = NonBlockingStream(writer)
    long, short = b'{"text": "' + b"x" * 100_000 + b'"}\n', b'{"text": "short"}\n'
    stream.write(long)
    assert stream.dropped == 1
    os.read(reader, 1 << 20)
    stream.write(short)
    stream.write(short)
    assert os.read(reader, 1 << 20) == b"\n" + short + short
    assert stream.dropped == 1
    os.close(reader)
    os.close(writer)


# Guards against log lines in a socket that gets the number of a descriptor closed at the start.
def test_descriptor_that_was_closed_is_never_written_to() -> None:
    reader, writer = os.pipe()
    os.close(writer)
    stream = NonBlockingStream(writer)
    reopened = os.dup2(reader, writer)
    assert stream.write(b"line\n") == 0
    assert stream.dropped == 1
    os.close(reopened)
    os.close(reader)


# Guards against lines that are lost, or a log that ends, since one line can't be written.
def test_line_whose_writing_fails_costs_no_other(
    lines: list[dict[str, object]], monkeypatch: pytest.MonkeyPatch
) -> None:
    def log_or_fail(**fields: Any) -> None:
        if fields["message_type"] == "egretsill:second":
            raise RuntimeError("not written")
        log_message(**fields)

    log_message = eliot.log_message
    monkeypatch.setattr(eliot, "log_message", log_or_fail)
    journal = make_journal()
    for kind in ("first", "second", "third"):
        journal.record(kind)
    journal.flush()
    journal.flush()
    kinds = [str(line["message_type"]).rpartition(":")[2] for line in lines]
    assert kinds == ["first", "third", "log-lost"]
    assert lines[2]["lines"] == 1
