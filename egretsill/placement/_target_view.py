"""What one asker knows of one target."""

from __future__ import annotations

import math

from ..configuration import RequestShape, Target
from ._claims import ReportedClaims
from ._messages import LoadReport
from ._speed import SpeedEvidence

REPORTED_CONNECTIONS_FACTOR = 0.25
FIRST_BACK_OFF_SECONDS = 0.25
LONGEST_BACK_OFF_SECONDS = 8.0
LONGEST_SHEDDING_BACK_OFF_SECONDS = 0.5


class TargetView:
    """Own requests at a target, counted exactly, and what others say of it, as hints."""

    def __init__(self, target: Target) -> None:
        self.target = target
        self._own_weight = 0.0
        self._own_connections = 0
        self._claims = ReportedClaims()
        self._own_connections_then = 0
        self._back_off_seconds = 0.0
        self._back_off_until = -math.inf
        self._given = 0.0
        self._refusals = 0
        self._evidence = SpeedEvidence()

    @property
    def given(self) -> float:
        """Return the weight given to it for each usable slot, since an arbitrary start."""
        return self._given

    @property
    def evidence(self) -> SpeedEvidence:
        """Return what own requests show of its speed."""
        return self._evidence

    @property
    def own_weight(self) -> float:
        """Return the weight of own requests that were sent there and have not ended."""
        return self._own_weight

    @property
    def back_off_until(self) -> float:
        """Return until when it is left alone, in seconds."""
        return self._back_off_until

    def add(self, shape: RequestShape, weight: float) -> None:
        """Count an own request that is sent, or with a negative weight one that ended."""
        if shape is RequestShape.SUBSCRIPTION:
            self._own_connections = max(0, self._own_connections + (1 if weight > 0 else -1))
        else:
            self._own_weight = max(0.0, self._own_weight + weight)

    def refused(self) -> None:
        """Count a refusal of a request that is still to be ended."""
        self._refusals += 1

    def take_refusal(self) -> bool:
        """Return whether the request that ends now was refused."""
        if self._refusals == 0:
            return False
        self._refusals -= 1
        return True

    def give(self, weight: float, now: float) -> None:
        """Count weight that is sent to it, or with a negative weight that it refused."""
        self._given += weight / self._usable_slots(now)

    def lift(self, given: float) -> None:
        """Forget what it lacks below `given`, so that it isn't flooded to make up for it."""
        self._given = max(self._given, given)

    def take_report(self, report: LoadReport, now: float) -> None:
        """Take in a report unless a later one is known."""
        if self._claims.take(report, now):
            self._own_connections_then = self._own_connections

    def draining(self, now: float) -> bool:
        """Return whether its reports are believed to say that it takes no new work."""
        return self._claims.draining(now)

    def back_off(self, now: float, factor: float, longest_seconds: float) -> None:
        """Leave it alone for a while, twice as long each time that it goes on.

        Args:
            now: the time in seconds.
            factor: spreads the end of it, around 1.
            longest_seconds: bound on the doubling.
        """
        longer = max(FIRST_BACK_OFF_SECONDS, 2.0 * self._back_off_seconds)
        self._back_off_seconds = min(longer, longest_seconds)
        self._back_off_until = now + factor * self._back_off_seconds

    def pause(self, now: float, seconds: float) -> None:
        """Leave it alone for `seconds`, as it is full."""
        self._back_off_until = max(self._back_off_until, now + seconds)

    def granted(self, now: float) -> None:
        """Take in that a request was started there, which ends the growth of back-off."""
        self._back_off_seconds = 0.0
        self._claims.ran_request(now)

    def load(self, now: float) -> float:
        """Return the own weight outstanding for each slot that can be used now."""
        return self._own_weight / self._usable_slots(now)

    def connection_load(self) -> float:
        """Return the share of connections in own use, and a part of what others claim."""
        claimed = self._claims.connections or 0
        others = min(max(0, claimed - self._own_connections_then), self.target.connections)
        used = self._own_connections + REPORTED_CONNECTIONS_FACTOR * others
        return used / max(1, self.target.connections)

    def _usable_slots(self, now: float) -> float:
        slots = float(max(1, self.target.slots))
        return slots * self._claims.usable_share(now) * self._evidence.speed
