"""Samples an agent's own load for its load reports."""

from __future__ import annotations

import itertools

from ..admission import Admission
from ..placement import LoadReport


class LoadSampler:
    """Creates load reports from the admission state of the agent's target.

    Args:
        incarnation: start of this process in milliseconds since 1970.
        server_started_at: assumed start time of the backend server, in seconds.
    """

    def __init__(
        self, target_number: int, incarnation: int, server_started_at: float, admission: Admission
    ) -> None:
        self._target_number = target_number
        self._incarnation = incarnation
        self._server_started_at = server_started_at
        self._admission = admission
        self._sequence = itertools.count(1)

    def sample(self, draining: bool, now: float) -> LoadReport:
        """Return a load report of the current state."""
        admission = self._admission
        return LoadReport(
            target=self._target_number,
            incarnation=self._incarnation,
            sequence=next(self._sequence),
            outstanding_weight=admission.outstanding_weight,
            running=admission.running,
            queued=admission.queued,
            slots=admission.slots,
            connections=admission.open_connections,
            draining=draining,
            server_age_seconds=now - self._server_started_at,
        )
