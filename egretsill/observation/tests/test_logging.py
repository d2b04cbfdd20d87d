"""Log lines: one for each change of state."""

from __future__ import annotations

import json
from pathlib import Path

import eliot
import pytest

from .. import LogFileUnavailable, StateChange, StateKind, StateLog, open_log


def test_unchanged_state_is_not_logged(tmp_path: Path) -> None:
    path = tmp_path / "log"
    stream = open_log(path)
    destination = eliot.Logger._destinations._destinations[-1]
    try:
        log = StateLog("agent-1")
        written = [
            log.record(StateChange(StateKind.MEMBER, "agent-2", "alive")),
            log.record(StateChange(StateKind.MEMBER, "agent-2", "alive")),
            log.record(StateChange(StateKind.MEMBER, "agent-3", "alive")),
            log.record(StateChange(StateKind.MEMBER, "agent-2", "dead", {"after_seconds": 4.5})),
        ]
    finally:
        eliot.remove_destination(destination)
        stream.close()
    assert written == [True, False, True, True]
    # eliot also passes messages that were logged earlier to its first destination.
    everything = [json.loads(each) for each in path.read_text().splitlines()]
    lines = [each for each in everything if each["process"] == "agent-1"]
    last = lines[-1]
    assert len(lines) == 3
    assert (last["message_type"], last["process"]) == ("egretsill:member", "agent-1")
    assert (last["before"], last["state"], last["details"]) == (
        "alive",
        "dead",
        {"after_seconds": 4.5},
    )


def test_unopenable_log_file_raises(tmp_path: Path) -> None:
    with pytest.raises(LogFileUnavailable) as caught:
        open_log(tmp_path / "missing" / "log")
    assert caught.value.path.endswith("log")


# Guards against a change of state whose line is missing as its text can't be encoded.
def test_text_that_cannot_be_encoded_is_written_in_a_safe_form(tmp_path: Path) -> None:
    path = tmp_path / "log"
    stream = open_log(path)
    destination = eliot.Logger._destinations._destinations[-1]
    name = "store room \ud83d"
    try:
        StateLog("agent-9").record(StateChange(StateKind.MEMBER, name, name, {"detail": name}))
    finally:
        eliot.remove_destination(destination)
        stream.close()
    everything = [json.loads(each) for each in path.read_text().splitlines()]
    (line,) = [each for each in everything if each.get("process") == "agent-9"]
    safe = r"store room \ud83d"
    assert (line["subject"], line["state"], line["details"]) == (safe, safe, {"detail": safe})
