"""What a balancer believes about agents, beside the published configuration."""

from __future__ import annotations

from dataclasses import dataclass

from ..configuration import Address


@dataclass(frozen=True, slots=True)
class RetainedTarget:
    """A target that left the configuration while its flows may go on.

    Attributes:
        number: of the target.
        service_number: service that the target belonged to.
        tunnel: where its agent takes packets.
        expires_at: seconds on this process's timer service after which it is forgotten.
    """

    number: int
    service_number: int
    tunnel: Address
    expires_at: float


@dataclass(frozen=True, slots=True)
class SteeringView:
    """Targets that new flows should keep away from; established flows are not affected.

    Attributes:
        draining: numbers of targets that take no new flows.
        unresponsive: numbers of targets whose agents are suspected to be dead.
        gone: numbers of targets whose agents have left for good.
    """

    draining: frozenset[int] = frozenset()
    unresponsive: frozenset[int] = frozenset()
    gone: frozenset[int] = frozenset()

    @property
    def avoided(self) -> frozenset[int]:
        """Return the numbers of all targets that new flows keep away from."""
        return self.draining | self.unresponsive | self.gone
