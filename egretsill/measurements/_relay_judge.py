"""Checks the guarantees of the relay in a relay world."""

from __future__ import annotations

from ..outcomes import Refused
from ._relay_world import RelayWorld

SETTLING_ROUNDS = 80
SETTLING_STEPS = 2_000
SETTLING_SECONDS = 1.0


def check(world: RelayWorld) -> None:
    """Count each guarantee that is violated in the current state."""
    for caller in world.callers:
        if not caller.request_class.idempotent and caller.most_starts > 1:
            world.violations["starts over one"] += 1
            caller.most_starts = 1
        if isinstance(caller.outcome, Refused) and caller.starts > 0:
            world.violations["false refusals"] += 1
            caller.starts = 0
        if caller.conclusions > 1:
            world.violations["concluded twice"] += 1
            caller.conclusions = 1


def settle(world: RelayWorld) -> None:
    """Run until all requests have ended, without further faults, and check the final state."""
    for _ in range(SETTLING_ROUNDS):
        for _ in range(SETTLING_STEPS):
            if not world.take_first_step():
                break
            check(world)
        if _is_idle(world):
            break
        world.advance(SETTLING_SECONDS)
        check(world)
    _check_settled(world)


def _is_idle(world: RelayWorld) -> bool:
    """Return whether no request, message or call is pending."""
    waiting = any(each.outcome is None and not each.lost for each in world.callers)
    in_flight = any(each.to_gate or each.to_requester for each in world.links)
    running = any(each.calls or each.gate.running for each in world.nodes.values())
    return not (waiting or in_flight or running)


def _check_settled(world: RelayWorld) -> None:
    for caller in world.callers:
        if caller.lost:
            continue
        if caller.outcome is None:
            world.violations["never concluded"] += 1
        if caller.placement.outstanding:
            world.violations["placement not given back"] += 1
    for node in world.nodes.values():
        if node.calls or node.gate.running:
            world.violations["slot not freed"] += 1
