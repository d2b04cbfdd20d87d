"""The services and backend servers of the placement measure, and the faults of the servers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..configuration import Address, RequestClass, Service, Target
from ..placement import LoadReport

UNIT_SECONDS = 0.08
WARM_UP_SECONDS = 10.0
MEASURED_SECONDS = 60.0
END_SECONDS = WARM_UP_SECONDS + MEASURED_SECONDS

LISTING = RequestClass("listing", ("GET",), "/", True, 1.0, priority=1, deadline_seconds=1.0)
ORDER = RequestClass("order", ("POST",), "/", False, 4.0, priority=0, deadline_seconds=2.0)
LISTING_SHARE = 0.75
MEAN_WEIGHT = LISTING_SHARE * LISTING.weight + (1.0 - LISTING_SHARE) * ORDER.weight

ReportDistortion = Callable[[LoadReport, Random], LoadReport]


@dataclass(frozen=True, slots=True)
class Behaviour:
    """The faults of one backend server.

    Attributes:
        speed: share of full speed after the warm-up.
        starts_at: when it restarts and begins its warm-up, or None.
        warmup_seconds: duration of the warm-up.
        warmup_speed: share of `speed` right after the start.
        sheds_for: seconds of each period in which it sheds all requests.
        shed_period: seconds from the start of one period to the next.
        distortion: falsifies the reports of its agent, or None.
    """

    speed: float = 1.0
    starts_at: float | None = None
    warmup_seconds: float = 15.0
    warmup_speed: float = 0.3
    sheds_for: float = 0.0
    shed_period: float = 10.0
    distortion: ReportDistortion | None = None

    def speed_at(self, now: float) -> float:
        """Return the share of a healthy server's speed at `now`."""
        if self.starts_at is None or not 0.0 <= now - self.starts_at < self.warmup_seconds:
            return self.speed
        warmup_share = (now - self.starts_at) / self.warmup_seconds
        return self.speed * (self.warmup_speed + (1.0 - self.warmup_speed) * warmup_share)

    def sheds_at(self, now: float) -> bool:
        """Return whether it sheds requests at `now`."""
        return now % self.shed_period < self.sheds_for

    def age_at(self, now: float) -> float:
        """Return how long the server has been up, in seconds."""
        if self.starts_at is None or now < self.starts_at:
            return 3_600.0 + now
        return now - self.starts_at


@dataclass(frozen=True, slots=True)
class Deployment:
    """A service's targets.

    Attributes:
        hop_seconds: one-way delay between failure domains.
        behaviours: one for each target.
    """

    name: str
    slots: int
    hop_seconds: float
    behaviours: tuple[Behaviour, ...]

    def service(self) -> Service:
        """Return the declared service."""
        unused_address = Address("192.0.2.1", 1)
        targets = tuple(
            Target(
                name=f"target-{number}",
                number=number,
                service=self.name,
                failure_domain=f"domain-{number % 3}",
                tunnel=unused_address,
                relay=unused_address,
                gossip=unused_address,
                backend=unused_address,
                slots=self.slots,
            )
            for number in range(1, len(self.behaviours) + 1)
        )
        return Service(self.name, 1, "tenant", "service.example", (), (LISTING, ORDER), targets)

    def capacity(self, target: int, begin: float, end: float) -> float:
        """Return the weight that a target can serve between two times."""
        step = 0.1
        behaviour = self.behaviours[target - 1]
        moments = [begin + step * (index + 0.5) for index in range(round((end - begin) / step))]
        speeds = (behaviour.speed_at(t) * (not behaviour.sheds_at(t)) for t in moments)
        return sum(speeds) * step * self.slots / UNIT_SECONDS
