"""What a balancer believes about agents, beside the published configuration."""

from __future__ import annotations

from collections.abc import Sequence
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


def avoidance(
    view: SteeringView,
    silent: frozenset[int],
    declared_draining: frozenset[int],
    new: frozenset[int],
) -> Sequence[frozenset[int]]:
    """Return which targets new flows keep away from, the strictest set first.

    If all targets of a service are in a set, the next one counts: a new target is taken before
    one that seems dead, that one before a draining one, and one that is gone never.
    """
    never = view.gone
    leaving = never | view.draining | declared_draining
    dubious = leaving | view.unresponsive | silent
    return dubious | new, dubious, leaving, never
