"""A part counts as failing after a while of nothing but failures, until work succeeds."""

from __future__ import annotations

import pytest

from ...timing import VirtualTimerService
from .. import Part
from .._work_record import FAILING_SECONDS, TRIAL_SECONDS
from .supervisors import RecordingSupervisor

HALF = FAILING_SECONDS / 2


# Guards against a part that counts as working though all its work fails, and against one that
# counts as failing for a single failure.
@pytest.mark.parametrize(
    ("work", "is_failing"),
    [
        pytest.param("", False, id="no work"),
        pytest.param("f", False, id="one failure"),
        pytest.param("ff", False, id="failures for too short a time"),
        pytest.param("fff", True, id="failures only"),
        pytest.param("f-f", True, id="failures only, with a gap"),
        pytest.param("ffsff", False, id="success between"),
        pytest.param("fffs", False, id="success after"),
        pytest.param("sfff", True, id="success before"),
    ],
)
def test_part_that_only_fails_counts_as_stopped(work: str, is_failing: bool) -> None:
    timer, supervisor = VirtualTimerService(), RecordingSupervisor()
    record = supervisor.record_work(Part.PACKETS, lambda: timer.now)
    for each in work:
        timer.advance(HALF)
        if each == "f":
            record.note_failure()
        elif each == "s":
            record.note_success()
    assert set(supervisor.stopped) == ({Part.PACKETS} if is_failing else set())


# Guards against a part that gets no work since it has failed, and so can never show that it works.
def test_failing_part_gets_work_again_after_a_while_and_fails_at_once() -> None:
    timer, supervisor = VirtualTimerService(), RecordingSupervisor()
    record = supervisor.record_work(Part.PACKETS, lambda: timer.now)
    for _ in range(3):
        record.note_failure()
        timer.advance(HALF)
    assert set(supervisor.stopped) == {Part.PACKETS}
    timer.advance(TRIAL_SECONDS)
    assert set(supervisor.stopped) == set()
    record.note_failure()
    assert set(supervisor.stopped) == {Part.PACKETS}


def test_one_working_socket_of_a_part_does_not_hide_another() -> None:
    timer, supervisor = VirtualTimerService(), RecordingSupervisor()
    failing, working = (supervisor.record_work(Part.PACKETS, lambda: timer.now) for _ in range(2))
    for _ in range(3):
        failing.note_failure()
        working.note_success()
        timer.advance(HALF)
    assert set(supervisor.stopped) == {Part.PACKETS}
