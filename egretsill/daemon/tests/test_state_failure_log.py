"""Lines and counts of contained failures in a daemon."""

from __future__ import annotations

from ...observation import Metrics, StateChange, StateLog
from ...supervision import Part
from ...timing import VirtualTimerService
from .._state_failure_log import StateFailureLog


class RecordingStateLog(StateLog):
    """Collects changes instead of writing them."""

    def __init__(self) -> None:
        super().__init__("agent-1")
        self.changes: list[StateChange] = []

    def record(self, change: StateChange) -> bool:
        self.changes.append(change)
        return True


# Guards against a log that is flooded by failures that alternate.
def test_lines_of_a_part_are_limited_and_all_failures_counted() -> None:
    timer, metrics, log = VirtualTimerService(), Metrics(), RecordingStateLog()
    failures = StateFailureLog(metrics, log, lambda: timer.now)
    for _ in range(100):
        failures.record(Part.PACKETS, KeyError("a"))
        failures.record(Part.PACKETS, ValueError("b"))
        timer.advance(0.05)
    failures.record(Part.ADMIN, KeyError("c"))
    assert metrics.failures_contained.value(Part.PACKETS, "KeyError") == 100
    assert metrics.failures_contained.value(Part.PACKETS, "ValueError") == 100
    assert 5 <= sum(each.subject == "packets" for each in log.changes) <= 6
    assert log.changes[-1].subject == "admin"
