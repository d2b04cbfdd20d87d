"""`egretsillctl trace`."""

from __future__ import annotations

import io
import json
from pathlib import Path

import pytest

from .. import main

FLOW = "100.64.0.1:1024>198.18.0.1:443"


def make_log_text(process: str, at: float, kind: str, **fields: object) -> str:
    content = {"process": process, "at": at, "message_type": f"egretsill:{kind}", **fields}
    return json.dumps(content) + "\n"


@pytest.fixture
def logs(tmp_path: Path) -> list[str]:
    front, side = tmp_path / "front.log", tmp_path / "side.log"
    front.write_text(
        make_log_text("front-1", 2.0, "flow-new-flow", flow=FLOW, agent="10.1.0.7", load=0.8)
        + "not ours\n",
        encoding="utf-8",
    )
    side.write_text(
        make_log_text("side-1", 1.0, "started", host="10.1.0.7")
        + make_log_text(
            "side-1", 2.5, "flow-refused", flow=FLOW, reason="all-full", version=7, age=0.1
        ),
        encoding="utf-8",
    )
    return [str(side), str(front)]


def test_text_output_has_ordered_lines_and_conclusion(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["trace", FLOW, *logs]) == 0
    rows = capsys.readouterr().out.splitlines()
    assert [row.split()[:3] for row in rows[:3]] == [
        ["1.000", "side-1", "started"],
        ["2.000", "front-1", "flow-new-flow"],
        ["2.500", "side-1", "flow-refused"],
    ]
    assert "each target bounced the SYN packet" in rows[3]
    assert rows[4] == "1 lines of the input are not log lines of egretsill."


def test_json_output_for_caller_address(
    logs: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["trace", "--output=json", "100.64.0.1:1024", *logs]) == 0
    found = json.loads(capsys.readouterr().out)
    assert (found["ending"], found["passed_over"], len(found["lines"])) == ("refused", 1, 3)


def test_logs_are_read_from_standard_input(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(
        "sys.stdin",
        io.StringIO(make_log_text("side-1", 1.0, "request-expired", flow=FLOW, waited=2.0)),
    )
    assert main(["trace", FLOW, "-"]) == 0
    assert "waited 2.0 s" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        pytest.param([FLOW], 2, id="no file"),
        pytest.param(["nonsense", "FILE"], 2, id="malformed flow name"),
        pytest.param([FLOW, "/nonexistent/file"], 1, id="unreadable file"),
        pytest.param(["9.9.9.9:9", "LOGS"], 1, id="no line of that flow"),
    ],
)
def test_failures_set_exit_code(logs: list[str], arguments: list[str], code: int) -> None:
    files = [each for name in arguments for each in (logs if name == "LOGS" else [name])]
    assert main(["trace", *files]) == code
