"""A process starts with an old revision that still lists a removed target as active.

The target must get no work: its agent is unreachable, whatever the revision says.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from ...configuration import Address, Bundle, RequestClass, Service, Target
from ...membership import NO_TARGET, Member, Membership, MembershipView, Role
from ...placement import Placement
from ...steering import ConnectionIdCodec, ConnectionIdKey, Forward, Steering, SteeringView
from .._members import agents_of

SERVICE_ADDRESS = Address("10.0.0.1", 443)
LISTING = RequestClass("listing", ("GET",), "/", idempotent=True)
REMOVED = 1
SERVING = frozenset({2, 3})


def make_target(number: int) -> Target:
    host = f"10.1.0.{number}"
    tunnel, relay, gossip, backend = (Address(host, 4000 + each) for each in range(4))
    return Target(f"t{number}", number, "a", "zone", tunnel, relay, gossip, backend, slots=4)


def old_bundle() -> Bundle:
    targets = tuple(make_target(each) for each in (REMOVED, *sorted(SERVING)))
    service = Service("a", 1, "tenant", "a.example", (SERVICE_ADDRESS,), (LISTING,), targets)
    return Bundle(1, "", {"a": service})


def view_after_start(bundle: Bundle) -> MembershipView:
    """Return the membership view once the agents of `SERVING` were reachable."""
    endpoint = Address("10.9.0.1", 1)
    own = Member("entry", Role.BALANCER, NO_TARGET, endpoint, endpoint, endpoint, "zone")
    membership = Membership(own, 1, Random(1), 0.0)
    membership.on_targets(agents_of(bundle), 0.0)
    view = membership.view
    return replace(view, available=SERVING, never_seen=view.never_seen - SERVING)


def test_balancer_places_no_flow_on_removed_target() -> None:
    """Guards against new flows that are sent to a stopped agent and time out."""
    bundle = old_bundle()
    view = view_after_start(bundle)
    steering = Steering(ConnectionIdCodec([ConnectionIdKey(0, bytes(16))]))
    steering.apply_bundle(bundle, 0.0)
    steering.update_view(SteeringView(draining=view.leaving, unresponsive=view.unresponsive))
    chosen = set()
    for number in range(200):
        initial = b"\xc0\0\0\0\1\x08" + number.to_bytes(8, "big")
        decision = steering.steer(SERVICE_ADDRESS, "192.0.2.7", initial.ljust(1200, b"\0"), 1.0)
        chosen.add(decision.target_number if isinstance(decision, Forward) else decision.reason)
    assert chosen == SERVING


@pytest.mark.parametrize("own", sorted(SERVING))
def test_agent_places_no_request_on_removed_target(own: int) -> None:
    """Guards against requests that wait for a stopped agent."""
    bundle = old_bundle()
    view = view_after_start(bundle)
    placement = Placement(own, bundle.services["a"], Random(1))
    placement.set_unavailable((view.leaving | view.dead | view.never_seen) - {own})
    assert {placement.choose(LISTING, (), 1.0) for _ in range(100)} <= SERVING
