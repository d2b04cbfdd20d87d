"""Log of whether an agent's target fails its requests."""

from __future__ import annotations

from ..address_steering import TargetFailures
from ..observation import Journal
from ._fleet_link import TargetLoad


class TargetFailureLog:
    """Records when the target begins to be avoided, and when it gets new flows again."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._is_failing = False

    def note_load(self, load: TargetLoad, failures: TargetFailures) -> None:
        """Record a change since the last call, and the failures that it follows from."""
        if load.is_target_failing is self._is_failing:
            return
        self._is_failing = load.is_target_failing
        self._journal.record(
            "target-failing" if load.is_target_failing else "target-on-trial",
            flows=load.flows,
            pending=load.pending,
            failures=failures.total,
            seconds=failures.avoided_seconds,
        )
