"""A process's view of agents, in addition to the published configuration."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..configuration import Address


@dataclass(frozen=True, slots=True)
class RetainedTarget:
    """A target that has left the configuration but may still own flows.

    Attributes:
        number: number of the target.
        service_number: service that the target belonged to.
        tunnel: tunnel endpoint of its agent.
        expires_at: time on this process's timer service, in seconds, when it is removed.
    """

    number: int
    service_number: int
    tunnel: Address
    expires_at: float


@dataclass(frozen=True, slots=True)
class SteeringView:
    """Targets that new flows should avoid; established flows are not affected.

    Attributes:
        draining: numbers of targets that take no new flows.
        unresponsive: numbers of targets whose agents are suspected to have failed.
        gone: numbers of targets whose agents have left the fleet permanently.
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
    """Return the sets of targets that new flows avoid, the strictest first.

    If all targets of a service are in a set, the next set is used: a new target is preferred to
    one that seems unreachable, which is preferred to a draining one. Targets that are gone are
    always avoided.
    """
    always_avoided = view.gone
    draining_or_gone = always_avoided | view.draining | declared_draining
    suspected = draining_or_gone | view.unresponsive | silent
    return suspected | new, suspected, draining_or_gone, always_avoided
