"""Entries that another writer makes for VMs.

They say nothing of the targets and agents on these VMs.
"""

from __future__ import annotations

import pytest

from ...directory import Target
from ...directory.tests.revisions import rev
from .. import (
    BalancerSteering,
    Forward,
    HomeNotice,
    PacketKind,
    Undecided,
)
from .scene import (
    AGENTS,
    BALANCER,
    DOMAIN,
    OTHER_SERVICE,
    RETENTION,
    Scene,
    envelope,
    flow,
    make_agent,
    packet,
    table,
    target,
    with_route,
)

UNHEARD = 0x0A090009


def foreign(host: int, name: str = "foreign") -> Target:
    """Return an entry of another writer for a service that the scene's route doesn't name."""
    return target(host, "inventory", name=name, failure_domain="elsewhere", revision=rev(90))


# Guards against an open flow that is reset because another writer registers its target's address,
# also if a configuration names the writer's service then or later.
@pytest.mark.parametrize("is_routed", [False, True], ids=["without a route", "with a route"])
def test_entry_of_another_writer_at_the_owners_address_resets_no_flow(is_routed: bool) -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene)
    agent.record_home_notice(HomeNotice(AGENTS[1], (flow(),)), 0.0)
    scene.targets["foreign"] = foreign(AGENTS[1])
    scene.publish(1.0, with_route(table(8), "inventory") if is_routed else None)
    scene.receive_heartbeats(5.0)
    forward = agent.take_from_peer(envelope(), packet(), 5.0)[0]
    assert isinstance(forward, Forward)
    assert forward.host == AGENTS[1]


# Guards against an open flow that is reset while its target's own entry lapses beside another one.
@pytest.mark.parametrize("started", [0, 1, 9], ids=["no start", "equal start", "later start"])
def test_owner_whose_entry_lapses_beside_another_one_is_asked(started: int) -> None:
    scene = Scene(AGENTS[0])
    scene.receive_heartbeats(0.0)
    agent = make_agent(scene)
    agent.record_home_notice(HomeNotice(AGENTS[1], (flow(),)), 0.0)
    scene.targets["foreign"] = target(
        AGENTS[1], OTHER_SERVICE, name="foreign", started_milliseconds=started, revision=rev(90)
    )
    scene.publish(1.0, with_route(table(8), OTHER_SERVICE))
    scene.directory.confirm(rev(scene.revision), 0.0, 3.0)
    scene.targets = {name: each for name, each in scene.targets.items() if name == "foreign"}
    scene.publish(4.0)
    scene.receive_heartbeats(6.0)
    forward, *_ = agent.take_from_peer(envelope(version=8), packet(), 6.0)
    assert isinstance(forward, Forward)
    assert forward.host == AGENTS[1]


# Guards against a target that gets no new flows, and a balancer that forgets the flows it has.
def test_entry_of_another_writer_changes_nothing_for_balancers() -> None:
    scene = Scene(BALANCER)
    scene.receive_heartbeats(0.0)
    balancer = BalancerSteering(
        BALANCER, DOMAIN, scene.directory, scene.peers, scene.placement, RETENTION
    )
    placed = [balancer.steer(packet(PacketKind.SYN, flow(each)), 0.1) for each in range(50)]
    owner = placed[0]
    assert isinstance(owner, Forward)
    scene.targets |= {str(host): foreign(host, str(host)) for host in AGENTS}
    scene.publish(1.0)
    scene.receive_heartbeats(5.0)
    again = balancer.steer(packet(), 5.0)
    assert isinstance(again, Forward)
    assert again.host == owner.host
    placed_later = {
        each.host
        for number in range(100, 200)
        if isinstance(each := balancer.steer(packet(PacketKind.SYN, flow(number)), 5.0), Forward)
    }
    assert placed_later == set(AGENTS)


# Guards against an agent whose own entry lapsed that isn't asked, as another writer's names its VM.
def test_entry_of_another_writer_hides_no_agent() -> None:
    scene = Scene(AGENTS[0], [target(host) for host in AGENTS[:4]])
    scene.targets["foreign"] = foreign(AGENTS[4])
    scene.publish(1.0)
    scene.receive_heartbeats(10.0)
    agent = make_agent(scene)
    (forward,) = agent.take_from_peer(envelope(AGENTS[1:4]), packet(), 10.0)
    assert isinstance(forward, Forward)
    assert forward.host == AGENTS[4]


# Guards against callers that wait because VMs without an agent would have to be asked.
def test_vms_without_an_agent_are_not_asked() -> None:
    scene = Scene(AGENTS[0])
    scene.targets["foreign"] = foreign(UNHEARD)
    scene.publish(1.0)
    scene.receive_heartbeats(10.0)
    agent = make_agent(scene)
    (undecided,) = agent.take_from_peer(envelope(AGENTS[1:]), packet(), 10.0)
    assert isinstance(undecided, Undecided)
