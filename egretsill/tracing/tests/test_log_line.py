"""Parsing of log lines and flow names."""

from __future__ import annotations

import json

import pytest

from .. import LogLine, MalformedFlowName, parse_flow_name, read_log_lines

CONTENT = {
    "process": "side-1",
    "at": 12.5,
    "message_type": "egretsill:flow-refused",
    "flow": "100.64.0.1:1024>198.18.0.1:443",
    "reason": "all-full",
    "timestamp": 13.0,
    "task_uuid": "u",
    "task_level": [1],
}
LINE = LogLine(
    "side-1",
    12.5,
    "flow-refused",
    {"flow": "100.64.0.1:1024>198.18.0.1:443", "reason": "all-full"},
)


@pytest.mark.parametrize(
    ("text", "expected", "passed_over"),
    [
        pytest.param(json.dumps(CONTENT), (LINE,), 0, id="as written"),
        pytest.param(f"12.7 side-1 {json.dumps(CONTENT)}\n", (LINE,), 0, id="with a prefix"),
        pytest.param("\n", (), 0, id="empty"),
        pytest.param("Traceback (most recent call last):", (), 1, id="no JSON"),
        pytest.param("{", (), 1, id="truncated JSON"),
        pytest.param("{1}", (), 1, id="invalid JSON"),
        pytest.param(json.dumps({**CONTENT, "at": "soon"}), (), 1, id="no time"),
        pytest.param(json.dumps({**CONTENT, "message_type": "x:y"}), (), 1, id="another program"),
        pytest.param(json.dumps({**CONTENT, "process": None}), (), 1, id="no process"),
    ],
)
def test_log_line_parsing(text: str, expected: tuple[LogLine, ...], passed_over: int) -> None:
    read = read_log_lines([text])
    assert (read.lines, read.passed_over) == (expected, passed_over)


@pytest.mark.parametrize("name", ["100.64.0.1:1024", "100.64.0.1:1024>198.18.0.1:443"])
def test_valid_flow_names_are_parsed(name: str) -> None:
    assert parse_flow_name(f" {name}\n") == name


@pytest.mark.parametrize("name", ["", "100.64.0.1", "1.2.3.4:5>", "host:5", "1.2.3.4:5>6.7.8.9"])
def test_malformed_flow_names_are_rejected(name: str) -> None:
    with pytest.raises(MalformedFlowName) as caught:
        parse_flow_name(name)
    assert caught.value.text == name
