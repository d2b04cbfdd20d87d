"""Open flows under views that lag: what a process hasn't heard of is no proof that it isn't there.

Nothing here needs a network. Each test names the failure that it guards against.
"""

from __future__ import annotations

import pytest

from .. import AgentSteering, Forward, Refuse
from .._decisions import AgentEffect
from .._tunnel import MAXIMUM_VISITED
from .scene import AGENTS, RETENTION, SERVICE, Scene, envelope, packet, target

SIZES = [pytest.param(count, id=f"{count}-targets") for count in (3, 13, 40)]
AGES = (0.2, 0.5, 0.9, 2.0, 3.0, 5.0, 6.0, 30.0)  # seconds
FIRST = AGENTS[0]


def service_of(count: int) -> list[int]:
    return [FIRST + number for number in range(count)]


def make_agent(scene: Scene, host: int) -> AgentSteering:
    return AgentSteering(
        host, SERVICE, scene.directory, scene.peers, scene.placement, RETENTION, -RETENTION
    )


def last_asked(agent: AgentSteering, others: list[int], now: float) -> AgentEffect:
    """Return what an agent decides about a packet that as many others as possible have denied."""
    came = envelope(others[:MAXIMUM_VISITED])
    (effect,) = agent.take_from_peer(came, packet(), now)
    return effect


@pytest.mark.parametrize("count", SIZES)
def test_open_flow_at_a_target_that_the_last_agent_does_not_know_yet_is_not_reset(
    count: int,
) -> None:
    """Guards against resets of flows at targets that were added after an agent's last news."""
    hosts = service_of(count)
    for age in AGES:
        scene = Scene(hosts[-1], [target(host) for host in hosts])
        scene.hear(age, hosts)
        effect = last_asked(make_agent(scene, hosts[-1]), hosts[:-1], age)
        assert not isinstance(effect, Refuse), f"content confirmed {age} s ago"


@pytest.mark.parametrize("count", SIZES)
def test_open_flow_at_a_target_whose_entry_vanished_is_not_reset(count: int) -> None:
    """Guards against resets of flows at targets that serve on after their entries vanished."""
    *others, last, owner = service_of(count)
    for age in AGES:
        scene = Scene(last, [target(host) for host in (*others, last, owner)])
        scene.hear(0.0, (*others, last, owner))
        scene.remove_target(owner, 1.0)
        now = 1.0 + age
        scene.hear(now, (*others, last, owner))
        effect = last_asked(make_agent(scene, last), others, now)
        assert not isinstance(effect, Refuse), f"entry vanished {age} s ago"
        if len(others) < MAXIMUM_VISITED:
            assert isinstance(effect, Forward)
            assert effect.host == owner
