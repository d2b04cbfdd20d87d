"""The services and the backend servers of the placement measure, and what is wrong with them."""

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

Disguise = Callable[[LoadReport, Random], LoadReport]


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What one backend server does wrong.

    Attributes:
        speed: share of full speed when warm.
        starts_at: when it is started anew and cold, or None.
        cold_seconds: how long it takes to warm up.
        cold_speed: share of its speed just after the start.
        sheds_for: seconds of each period in which it turns everything away.
        shed_period: seconds from one such spell to the next.
        disguise: what its agent makes of its reports.
    """

    speed: float = 1.0
    starts_at: float | None = None
    cold_seconds: float = 15.0
    cold_speed: float = 0.3
    sheds_for: float = 0.0
    shed_period: float = 10.0
    disguise: Disguise | None = None

    def speed_at(self, now: float) -> float:
        """Return the share of a healthy server's speed at `now`."""
        if self.starts_at is None or not 0.0 <= now - self.starts_at < self.cold_seconds:
            return self.speed
        warmth = (now - self.starts_at) / self.cold_seconds
        return self.speed * (self.cold_speed + (1.0 - self.cold_speed) * warmth)

    def sheds_at(self, now: float) -> bool:
        """Return whether it turns requests away at `now`."""
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
        hop_seconds: one way between failure domains.
        behaviours: one for each target.
    """

    name: str
    slots: int
    hop_seconds: float
    behaviours: tuple[Behaviour, ...]

    def service(self) -> Service:
        """Return the service as it is declared."""
        nowhere = Address("192.0.2.1", 1)
        targets = tuple(
            Target(
                name=f"target-{number}",
                number=number,
                service=self.name,
                failure_domain=f"domain-{number % 3}",
                tunnel=nowhere,
                relay=nowhere,
                gossip=nowhere,
                backend=nowhere,
                slots=self.slots,
            )
            for number in range(1, len(self.behaviours) + 1)
        )
        return Service(self.name, 1, "tenant", "service.example", (), (LISTING, ORDER), targets)

    def capacity(self, target: int, begin: float, end: float) -> float:
        """Return the weight that a target can do between two times."""
        step = 0.1
        behaviour = self.behaviours[target - 1]
        moments = [begin + step * (index + 0.5) for index in range(round((end - begin) / step))]
        speeds = (behaviour.speed_at(t) * (not behaviour.sheds_at(t)) for t in moments)
        return sum(speeds) * step * self.slots / UNIT_SECONDS
