"""Open flows under views that lag: what a process hasn't heard of is no proof that it isn't there.

Nothing here needs a network. Each test names the failure that it guards against.
"""

from __future__ import annotations

import pytest

from ...fleet import PeerReport
from .. import (
    AgentSteering,
    Drop,
    DropReason,
    Forward,
    ForwardReason,
    HandToTarget,
    HomeNotice,
    OwnerNotice,
    PacketKind,
    Refuse,
    RefuseReason,
    TellOwner,
    Undecided,
)
from .._decisions import AgentEffect
from .._flow_table import MAXIMUM_FLOWS
from .._tunnel import MAXIMUM_VISITED
from .._undecided import CONFIRMATION_SLACK_SECONDS, MAXIMUM_UNDECIDED, UNDECIDED_SECONDS
from .scene import (
    AGENTS,
    OTHER_SERVICE,
    RETENTION,
    Scene,
    envelope,
    flow,
    make_agent,
    packet,
    target,
)

SIZES = [pytest.param(count, id=f"{count}-targets") for count in (3, 13, 40)]
AGES = (0.2, 0.5, 0.9, 2.0, 3.0, 5.0, 6.0, 30.0)  # seconds
FIRST = AGENTS[0]


def service_of(count: int) -> list[int]:
    return [FIRST + number for number in range(count)]


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


OWNER = AGENTS[1]
SILENT = PeerReport(OWNER, silence_milliseconds=2_000)


@pytest.mark.parametrize(
    ("reports", "replacement", "is_reset"),
    [
        pytest.param([PeerReport(OWNER)], False, False, id="its VM is heard"),
        pytest.param([], False, False, id="nobody told of its VM"),
        pytest.param([SILENT], False, True, id="its VM is said to be silent"),
        pytest.param([PeerReport(OWNER)], True, True, id="its address has another target"),
    ],
)
def test_owner_whose_entry_vanished_is_gone_only_by_evidence(
    reports: list[PeerReport], replacement: bool, is_reset: bool
) -> None:
    """Guards against resets of flows whose owner's VM is merely not heard of, as at a new hub."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    agent.learn_home(HomeNotice(OWNER, (flow(),)), 0.0)
    scene.remove_target(OWNER, 1.0)
    if replacement:
        scene.targets["next"] = target(OWNER, OTHER_SERVICE, name="next", revision=500)
        scene.publish(1.1)
    scene.peers.receive_reports(reports, 2.4)
    effect = agent.take_from_peer(envelope(), packet(), 2.5)[0]
    if is_reset:
        assert isinstance(effect, Undecided), "its entry may be back in newer content"
        scene.directory.confirm(scene.revision, 0.0, 3.0)
        (effect,) = agent.decide(3.0)
        assert isinstance(effect, Refuse)
        assert effect.reason is RefuseReason.OWNER_GONE
    else:
        assert isinstance(effect, Forward)
        assert (effect.host, effect.reason) == (OWNER, ForwardReason.TOLD_BY_OWNER)


def test_agent_that_is_heard_but_has_no_known_target_is_asked_too() -> None:
    """Guards against resets by an agent that started after the owner's entry had vanished."""
    others = service_of(3)
    newcomer = FIRST + 50
    scene = Scene(others[-1], [target(host) for host in others])
    scene.hear(1.0, (*others, newcomer))
    effect = last_asked(make_agent(scene, others[-1]), others[:-1], 1.0)
    assert isinstance(effect, Forward)
    assert effect.host == newcomer


def undecided_packet(scene: Scene, agent: AgentSteering, now: float) -> None:
    effect = last_asked(agent, list(AGENTS[1:]), now)
    assert isinstance(effect, Undecided)
    assert agent.undecided == 1


def test_undecided_packet_goes_to_a_target_that_newer_content_names() -> None:
    """Guards against resets and losses of flows at targets that were added a moment before."""
    scene = Scene(FIRST)
    scene.hear(1.0)
    agent = make_agent(scene, FIRST)
    undecided_packet(scene, agent, 1.0)
    newcomer = target(FIRST + 50)
    scene.targets[newcomer.name] = newcomer
    scene.publish(1.5)
    (forward,) = agent.decide(1.5)
    assert isinstance(forward, Forward)
    assert (forward.host, forward.datagram) == (newcomer.host, packet().datagram)
    assert agent.undecided == 0


@pytest.mark.parametrize(
    ("confirmed_at", "is_reset"),
    [
        pytest.param(0.9, False, id="before the packet came"),
        pytest.param(1.0 + CONFIRMATION_SLACK_SECONDS / 2, False, id="in an answer on its way"),
        pytest.param(1.0 + CONFIRMATION_SLACK_SECONDS, True, id="after the packet came"),
    ],
)
def test_only_a_view_that_was_confirmed_after_the_packet_came_is_proof(
    confirmed_at: float, is_reset: bool
) -> None:
    scene = Scene(FIRST)
    scene.hear(1.0)
    agent = make_agent(scene, FIRST)
    undecided_packet(scene, agent, 1.0)
    scene.directory.confirm(scene.revision, 0.0, confirmed_at)
    effects = agent.decide(1.6)
    assert [type(each) for each in effects] == ([Refuse] if is_reset else [])
    assert agent.undecided == (0 if is_reset else 1)


def test_packet_that_stays_undecided_is_dropped_without_a_reset() -> None:
    """An agent that is cut off from store and peers never resets what it can't find."""
    scene = Scene(FIRST)
    scene.hear(1.0)
    agent = make_agent(scene, FIRST)
    undecided_packet(scene, agent, 1.0)
    assert agent.decide(1.0 + UNDECIDED_SECONDS) == [Drop(flow(), DropReason.UNDECIDED)]
    assert agent.undecided == 0


def test_undecided_packets_are_bounded_and_kept_once_a_flow() -> None:
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    came = envelope(AGENTS[1:])
    for number in range(2 * MAXIMUM_UNDECIDED):
        agent.take_from_peer(came, packet(key=flow(number)), 1.0)
        again = agent.take_from_peer(came, packet(key=flow(number)), 1.1)
        assert again == (Drop(flow(number), DropReason.UNDECIDED),)
    assert agent.undecided == MAXIMUM_UNDECIDED


@pytest.mark.parametrize("count", SIZES)
def test_search_does_not_end_at_a_vm_that_is_known_to_be_silent(count: int) -> None:
    """Guards against open flows that are never found while a home or candidate is down."""
    hosts = service_of(count)
    scene = Scene(FIRST, [target(host) for host in hosts])
    scene.hear(0.0, hosts)
    agent = make_agent(scene, FIRST)
    (first,) = agent.take_from_peer(envelope(), packet(), 0.1)
    assert isinstance(first, Forward)
    scene.hear(1.0, [host for host in hosts if host != first.host])
    (second,) = agent.take_from_peer(envelope(), packet(), 1.1)
    assert isinstance(second, Forward)
    assert second.host != first.host
    others = [host for host in hosts if host not in (FIRST, first.host)]
    (last,) = agent.take_from_peer(envelope(others[: MAXIMUM_VISITED - 1]), packet(), 1.2)
    assert isinstance(last, Forward), "the silent VM may have it, so nothing is reset"


@pytest.mark.parametrize(
    "started_at", [pytest.param(-RETENTION, id="whole table"), pytest.param(0.0, id="new table")]
)
def test_a_home_neither_asks_its_own_target_nor_lets_the_balancer_ask_again(
    started_at: float,
) -> None:
    """Guards against open flows at other targets while their agent is down and routers change."""
    scene = Scene(FIRST)
    scene.hear(0.0)
    agent = make_agent(scene, FIRST, started_at=started_at)
    agent.learn_home(HomeNotice(OWNER, (flow(),)), 0.0)
    forward, told = agent.take_from_peer(envelope(), packet(), 0.1)
    assert isinstance(forward, Forward)
    assert (forward.host, forward.reason) == (OWNER, ForwardReason.TOLD_BY_OWNER)
    assert told == TellOwner(envelope().balancer, OwnerNotice(flow(), OWNER))


def test_a_home_that_the_owner_denied_asks_its_own_target() -> None:
    """The notice may be of an earlier flow with the same addresses and ports."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST, started_at=0.0)
    agent.learn_home(HomeNotice(OWNER, (flow(),)), 0.0)
    (handed,) = agent.take_from_peer(envelope([OWNER]), packet(), 0.1)
    assert isinstance(handed, HandToTarget)


def open_flow(agent: AgentSteering, sequence: int) -> None:
    agent.take_from_peer(envelope(), packet(PacketKind.OPENING), 0.0)
    agent.take_from_target(packet(PacketKind.OPENING_ANSWER), 0.0)
    request = packet(payload_bytes=100, sequence=sequence)
    agent.take_from_peer(envelope(), request, 0.1)
    agent.take_from_target(packet(payload_bytes=100), 0.2)


def end_flow(agent: AgentSteering, sequence: int) -> None:
    agent.take_from_target(packet(PacketKind.CLOSING), 0.3)
    agent.take_from_peer(envelope(), packet(PacketKind.CLOSING, sequence=sequence), 0.3)


@pytest.mark.parametrize(
    ("sequence", "is_passed_on"),
    [
        pytest.param(101, False, id="late packet of the flow that ended"),
        pytest.param(0x80000000, True, id="packet of a later flow"),
        pytest.param(2**32 - 1_000, False, id="late packet from before the numbers wrapped"),
    ],
)
def test_target_of_an_ended_flow_gets_no_packets_of_a_later_one_with_its_addresses(
    sequence: int, is_passed_on: bool
) -> None:
    """Guards against resets by a target that had an earlier flow with the same addresses."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    open_flow(agent, sequence=1)
    end_flow(agent, sequence=101)
    stray = packet(payload_bytes=100, sequence=sequence)
    (effect,) = agent.take_from_peer(envelope(), stray, 1.0)
    assert isinstance(effect, Forward if is_passed_on else HandToTarget)


def test_packet_of_a_later_flow_that_the_target_gives_back_is_no_proof_of_a_crash() -> None:
    """Guards against resets of flows whose caller used the ports of a vanished flow again."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    open_flow(agent, sequence=1)
    given_back = packet(payload_bytes=100, sequence=0x80000000, is_bounced=True)
    (effect,) = agent.take_from_target(given_back, 1.0)
    assert isinstance(effect, Forward)
    assert effect.reason is ForwardReason.NOT_HERE


def test_late_copy_of_an_opening_packet_that_the_target_gives_back_moves_no_open_flow() -> None:
    """Guards against packets of an open flow at other targets after its agent forgot it."""
    scene = Scene(FIRST)
    scene.hear(0.0)
    agent = make_agent(scene, FIRST)
    open_flow(agent, sequence=1)
    agent.take_from_peer(envelope(), packet(PacketKind.OPENING, copy=1), 0.3)
    dropped = agent.take_from_target(packet(PacketKind.OPENING, copy=1, is_bounced=True), 0.3)
    assert dropped == (Drop(flow(), DropReason.UNEXPECTED),)
    later = agent.take_from_peer(envelope(), packet(payload_bytes=9, sequence=101), 0.4)
    assert [type(each) for each in later] == [HandToTarget]


def test_agent_whose_table_overflowed_asks_its_target_before_it_denies_a_flow() -> None:
    """Guards against resets of open flows that an agent had to forget."""
    scene = Scene(FIRST)
    agent = make_agent(scene, FIRST)
    for number in range(MAXIMUM_FLOWS + 1):
        agent.take_from_peer(envelope(), packet(PacketKind.OPENING, flow(number)), 0.0)
        agent.take_from_target(packet(PacketKind.OPENING_ANSWER, flow(number)), 0.0)
    (handed,) = agent.take_from_peer(envelope(AGENTS[1:]), packet(key=flow(0)), 1.0)
    assert isinstance(handed, HandToTarget)


@pytest.mark.parametrize(
    ("told_at", "is_believed"),
    [
        pytest.param(1.0, True, id="owner told after the opening packet was passed on"),
        pytest.param(-1.0, False, id="owner of an earlier flow told before"),
    ],
)
def test_flow_that_opened_elsewhere_than_where_it_was_passed_on_is_found(
    told_at: float, is_believed: bool
) -> None:
    """Guards against open flows that are never found behind an agent that is down."""
    scene = Scene(FIRST)
    scene.hear(0.0)
    agent = make_agent(scene, FIRST)
    agent.take_from_peer(envelope(), packet(PacketKind.OPENING), 0.0)
    (passed,) = agent.take_from_target(packet(PacketKind.OPENING, is_bounced=True), 0.0)
    assert isinstance(passed, Forward)
    owner = next(host for host in AGENTS[1:] if host != passed.host)
    agent.learn_home(HomeNotice(owner, (flow(),)), told_at)
    effect = agent.take_from_peer(envelope(), packet(), 1.1)[0]
    assert isinstance(effect, Forward)
    assert effect.host == (owner if is_believed else passed.host)
