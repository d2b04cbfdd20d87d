"""Expected time until a target would finish a request, as seen from another process.

It is the wait for a slot, the work at the speed of that target, and the distance to it (shortest
expected delay routing; Banawan and Zahorjan, 1989). Reports of the wait are old when they are used:
the target has worked since, and other processes have sent requests to it. So what was reported
shrinks with its age, and this process's own choices since the report are added (Mitzenmacher, "How
Useful Is Old Information?", 2000).
"""

from __future__ import annotations

from dataclasses import dataclass

# A target in use gets new requests while it works, so its backlog shrinks by less than the time.
DRAIN_SHARE = 0.5
# Two round trips between failure domains, and the price of the traffic between them.
FAR_DISTANCE_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class TargetOutlook:
    """What is known of a target.

    Attributes:
        backlog_seconds: reported time until it could start one more request.
        age_seconds: age of that report.
        work_seconds: time that it takes for a usual request.
        slots: number of requests that it works on at once.
        sent: requests that this process has sent to it since the report.
    """

    backlog_seconds: float
    age_seconds: float
    work_seconds: float
    slots: int
    sent: int = 0

    def wait_seconds(self) -> float:
        """Return the expected time until it could start one more request."""
        reported = max(self.backlog_seconds - DRAIN_SHARE * self.age_seconds, 0.0)
        return reported + self.sent * self.work_seconds / self.slots

    def finish_seconds(self, work_ratio: float, distance_seconds: float) -> float:
        """Return the expected time until it would finish one more request.

        Args:
            work_ratio: likely work of the request relative to a usual one.
            distance_seconds: time that its packets spend on the way, beyond that of a near target.
        """
        return self.wait_seconds() + self.work_seconds * work_ratio + distance_seconds
