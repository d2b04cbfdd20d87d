"""A requester's view of one target."""

from __future__ import annotations

import math

from ..configuration import RequestShape, Target
from ._claims import ReportedClaims
from ._messages import LoadReport
from ._speed import SpeedEvidence

REPORTED_CONNECTIONS_FACTOR = 0.25
FIRST_BACK_OFF_SECONDS = 0.25
MAXIMUM_BACK_OFF_SECONDS = 8.0
MAXIMUM_SHEDDING_BACK_OFF_SECONDS = 0.5


class TargetView:
    """Exact counts of own requests at a target, and hints from reports of its agent."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self._own_weight = 0.0
        self._own_connections = 0
        self._claims = ReportedClaims()
        self._own_connections_at_report = 0
        self._back_off_seconds = 0.0
        self._back_off_until = -math.inf
        self._assigned_load = 0.0
        self._refusals = 0
        self._evidence = SpeedEvidence()

    @property
    def assigned_load(self) -> float:
        """Return the total weight sent to the target for each usable slot, plus an offset."""
        return self._assigned_load

    @property
    def evidence(self) -> SpeedEvidence:
        """Return the evidence of the target's speed from own requests."""
        return self._evidence

    @property
    def own_weight(self) -> float:
        """Return the weight of own requests that were sent to the target and have not ended."""
        return self._own_weight

    @property
    def back_off_until(self) -> float:
        """Return the time in seconds until which the target is avoided."""
        return self._back_off_until

    def add(self, shape: RequestShape, weight: float) -> None:
        """Count a request that is sent, or with a negative weight one that ended."""
        if shape is RequestShape.SUBSCRIPTION:
            self._own_connections = max(0, self._own_connections + (1 if weight > 0 else -1))
        else:
            self._own_weight = max(0.0, self._own_weight + weight)

    def refused(self) -> None:
        """Count a refusal of a request whose end is yet to be recorded."""
        self._refusals += 1

    def pop_refusal(self) -> bool:
        """Remove one counted refusal; return whether there was one."""
        if self._refusals == 0:
            return False
        self._refusals -= 1
        return True

    def assign(self, weight: float, now: float) -> None:
        """Count weight sent to the target, or with a negative weight refused by it."""
        self._assigned_load += weight / self._usable_slots(now)

    def raise_assigned_load_to(self, assigned_load: float) -> None:
        """Raise the assigned load to this value, so that the target isn't flooded to catch up."""
        self._assigned_load = max(self._assigned_load, assigned_load)

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a report unless a later one was received."""
        if self._claims.apply_report(report, now):
            self._own_connections_at_report = self._own_connections

    def draining(self, now: float) -> bool:
        """Return whether a reported claim of draining is in effect."""
        return self._claims.draining(now)

    def back_off(self, now: float, factor: float, maximum_seconds: float) -> None:
        """Avoid the target for a while that doubles on each repeated call.

        Args:
            now: the time in seconds.
            factor: jitter around 1, by which the duration is multiplied.
            maximum_seconds: limit of the doubling.
        """
        longer = max(FIRST_BACK_OFF_SECONDS, 2.0 * self._back_off_seconds)
        self._back_off_seconds = min(longer, maximum_seconds)
        self._back_off_until = now + factor * self._back_off_seconds

    def pause(self, now: float, seconds: float) -> None:
        """Avoid the target for `seconds`, because it is full."""
        self._back_off_until = max(self._back_off_until, now + seconds)

    def granted(self, now: float) -> None:
        """Record that a request was started at the target, which resets the back-off."""
        self._back_off_seconds = 0.0
        self._claims.request_started(now)

    def load(self, now: float) -> float:
        """Return the weight of own outstanding requests for each usable slot."""
        return self._own_weight / self._usable_slots(now)

    def connection_load(self) -> float:
        """Return the share of connections in use by own requests and by a part of the others."""
        claimed = self._claims.connections or 0
        others = min(max(0, claimed - self._own_connections_at_report), self.target.connections)
        used = self._own_connections + REPORTED_CONNECTIONS_FACTOR * others
        return used / max(1, self.target.connections)

    def _usable_slots(self, now: float) -> float:
        slots = float(max(1, self.target.slots))
        return slots * self._claims.usable_share(now) * self._evidence.speed
