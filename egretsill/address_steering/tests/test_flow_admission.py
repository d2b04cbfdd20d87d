"""SYN packets that wait at an agent, and capacity that agents ask of each other."""

from __future__ import annotations

from typing import Any

import pytest

from ...directory import TargetPhase
from .. import (
    AgentSteering,
    CapacityOffer,
    CapacityRequest,
    DeliverToTarget,
    Expire,
    Failed,
    FlowKey,
    FlowPlacement,
    Forward,
    ForwardReason,
    NotifyBalancer,
    OfferCapacity,
    OwnerNotice,
    PacketKind,
    RequestCapacity,
    SteeringPolicy,
    Wait,
    service_hash,
)
from .._capacity_exchange import (
    MAXIMUM_ASKERS,
    REQUEST_INTERVAL_SECONDS,
    REQUEST_LIFETIME_SECONDS,
    RESERVATION_SECONDS,
)
from .._request_queue import MAXIMUM_WAITING
from .._service_order import Standing, Urgency
from .._target_capacity import MAXIMUM_HOLD_SHARE, OPENING_SECONDS
from .scene import (
    AGENTS,
    BALANCER,
    OBJECTIVE,
    SERVICE,
    Scene,
    envelope,
    flow,
    make_agent,
    packet,
)

HERE, OTHER = AGENTS[0], AGENTS[1]
MARK = service_hash(SERVICE)
SYN = PacketKind.SYN
LATE = Urgency(Standing.LATE)
LIMIT = 6  # requests at a target with four slots
HOLD_SECONDS = min(SteeringPolicy().hold_seconds, MAXIMUM_HOLD_SHARE * OBJECTIVE)
LATE_HOLD_SECONDS = SteeringPolicy().late_hold_seconds


def make_full_agent(
    scene: Scene,
    policy: SteeringPolicy = SteeringPolicy(),  # noqa: B008, it is immutable
) -> AgentSteering:
    """Return an agent whose target has all the requests that it may get, since 1.0."""
    agent = make_agent(scene, policy=policy)
    for number in range(LIMIT):
        agent.take_from_peer(envelope(), packet(SYN, flow(number)), 0.9)
        agent.take_from_target(packet(PacketKind.SYN_ACK, flow(number)), 0.9)
    for number in range(LIMIT):
        agent.take_from_peer(envelope(), packet(key=flow(number), payload_bytes=50), 1.0)
    return agent


@pytest.fixture
def scene() -> Scene:
    found = Scene(HERE)
    found.receive_heartbeats(0.9)
    return found


def test_syn_waits_while_target_is_full_and_others_are_asked(scene: Scene) -> None:
    agent = make_full_agent(scene)
    effects = agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)
    assert effects[0] == Wait(flow(9), 1, LIMIT, is_open=False)
    assert effects[1] == NotifyBalancer(BALANCER, OwnerNotice(flow(9), HERE))
    requests = [each for each in effects if isinstance(each, RequestCapacity)]
    assert requests
    assert len(requests) + 2 == len(effects)
    assert HERE not in {each.host for each in requests}
    assert {each.request for each in requests} == {CapacityRequest(HERE, MARK, 1)}
    assert agent.is_waiting


def test_flow_that_is_being_opened_takes_capacity(scene: Scene) -> None:
    agent = make_agent(scene)
    for number in range(LIMIT):
        (effect,) = agent.take_from_peer(envelope(), packet(SYN, flow(number)), 1.0)
        assert isinstance(effect, DeliverToTarget)
    assert isinstance(agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)[0], Wait)
    later = 1.0 + 2 * OPENING_SECONDS
    effects = agent.take_from_peer(envelope(), packet(SYN, flow(10)), later)
    delivered = [each for each in effects if isinstance(each, DeliverToTarget)]
    assert len(delivered) == 2, "the callers have gone, so the one that waited is opened, too"
    assert len(agent.queue) == 0


def test_waiting_syn_is_opened_when_target_has_answered(scene: Scene) -> None:
    agent = make_full_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)
    effects = agent.take_from_target(packet(key=flow(0), payload_bytes=9), 1.01)
    assert DeliverToTarget(b"packet") in effects
    assert len(agent.queue) == 0


def test_waiting_syn_is_opened_when_no_target_has_offered_capacity(scene: Scene) -> None:
    """Guards against callers that wait unopened while the order of requests is decided."""
    agent = make_full_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)
    assert not _delivered(agent.release(1.0 + HOLD_SECONDS / 2))
    assert _delivered(agent.release(1.0 + 1.01 * HOLD_SECONDS))
    agent.take_from_target(packet(PacketKind.SYN_ACK, flow(9)), 1.08)
    agent.take_from_peer(envelope(), packet(key=flow(9), payload_bytes=50), 1.09)
    waiting = agent.queue.get(flow(9))
    assert waiting is not None
    assert waiting.arrived_at == pytest.approx(1.09 - 1.01 * HOLD_SECONDS)


def test_offer_transfers_waiting_syn_and_copies_follow(scene: Scene) -> None:
    agent = make_full_agent(scene)
    effects = agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)
    asked = next(each.host for each in effects if isinstance(each, RequestCapacity))
    (transferred,) = agent.take_capacity_offer(CapacityOffer(asked, MARK, 2), 1.01)
    assert isinstance(transferred, Forward)
    assert (transferred.host, transferred.reason) == (asked, ForwardReason.CAPACITY_OFFERED)
    assert transferred.envelope.visited == (HERE,)
    assert agent.take_capacity_offer(CapacityOffer(asked, MARK, 2), 1.02) == []
    (copy,) = agent.take_from_peer(envelope(), packet(SYN, flow(9), copy=1), 1.2)
    assert isinstance(copy, Forward)
    assert copy.host == asked
    (data,) = agent.take_from_peer(envelope(), packet(key=flow(9), payload_bytes=50), 1.2)
    assert isinstance(data, Forward)
    assert data.host == asked


def test_offer_of_agent_that_is_no_candidate_is_not_used(scene: Scene) -> None:
    """Guards against flows at targets where a search for their owner ends too late."""
    agent = make_full_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)
    assert agent.take_capacity_offer(CapacityOffer(0x0A0F0001, MARK, 2), 1.01) == []
    assert len(agent.queue) == 1


def test_free_capacity_is_offered_once(scene: Scene) -> None:
    agent = make_agent(scene)
    assert agent.take_capacity_request(CapacityRequest(OTHER, MARK, 4), 1.0) == [
        OfferCapacity(OTHER, CapacityOffer(HERE, MARK, 4))
    ]
    third = AGENTS[2]
    assert agent.take_capacity_request(CapacityRequest(third, MARK, 4), 1.0) == [
        OfferCapacity(third, CapacityOffer(HERE, MARK, LIMIT - 4))
    ]
    assert agent.take_capacity_request(CapacityRequest(AGENTS[3], MARK, 4), 1.0) == []
    unused = 1.0 + 1.01 * RESERVATION_SECONDS
    assert agent.release(unused) == [OfferCapacity(AGENTS[3], CapacityOffer(HERE, MARK, 4))]


def test_request_in_time_elsewhere_goes_before_late_one_here(scene: Scene) -> None:
    """Guards against late requests that keep capacity from those who can be in time elsewhere."""
    agent = make_full_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN, flow(9), copy=2), 1.0)
    agent.take_capacity_request(CapacityRequest(OTHER, MARK, 1), 1.0)
    effects = agent.take_from_target(packet(key=flow(0), payload_bytes=9), 1.01)
    assert effects[-1] == OfferCapacity(OTHER, CapacityOffer(HERE, MARK, 1))
    assert len(agent.queue) == 1


def test_agents_ask_for_late_requests_only_if_no_others_wait(scene: Scene) -> None:
    agent = make_full_agent(scene)
    late = agent.take_from_peer(envelope(), packet(SYN, flow(9), copy=2), 1.0)
    asked = {each.request for each in late if isinstance(each, RequestCapacity)}
    assert asked == {CapacityRequest(HERE, MARK, 1, LATE)}
    both = agent.take_from_peer(envelope(), packet(SYN, flow(10)), 1.1)
    asked = {each.request for each in both if isinstance(each, RequestCapacity)}
    assert asked == {CapacityRequest(HERE, MARK, 1)}


def test_late_requests_elsewhere_get_no_places_beyond_the_slots(scene: Scene) -> None:
    agent = make_agent(scene)
    for number in range(3):
        agent.take_from_peer(envelope(), packet(SYN, flow(number)), 1.0)
    assert agent.take_capacity_request(CapacityRequest(OTHER, MARK, 4, LATE), 1.0) == [
        OfferCapacity(OTHER, CapacityOffer(HERE, MARK, 1))
    ]


def test_arrival_of_transferred_syn_uses_its_reservation(scene: Scene) -> None:
    agent = make_agent(scene)
    agent.take_capacity_request(CapacityRequest(OTHER, MARK, LIMIT), 1.0)
    held = agent.take_from_peer(envelope(), packet(SYN, flow(1)), 1.0)
    assert isinstance(held[0], Wait), "all capacity is reserved"
    opened = agent.take_from_peer(envelope([OTHER]), packet(SYN, flow(2)), 1.01)
    assert opened == (
        DeliverToTarget(b"packet"),
        NotifyBalancer(BALANCER, OwnerNotice(flow(2), HERE)),
    )


@pytest.mark.parametrize(
    "request_",
    [
        pytest.param(CapacityRequest(OTHER, MARK + 1, 2), id="other service"),
        pytest.param(CapacityRequest(OTHER, MARK, 0), id="nothing waits"),
    ],
)
def test_request_without_use_gets_no_offer(scene: Scene, request_: CapacityRequest) -> None:
    agent = make_agent(scene)
    assert agent.take_capacity_request(request_, 1.0) == []
    assert not agent.is_waiting


def test_target_that_leaves_offers_nothing_and_its_waiting_syn_moves(scene: Scene) -> None:
    agent = make_full_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)
    scene.change_target(HERE, 1.01, phase=TargetPhase.DRAINING)
    moved = [each for each in agent.release(1.02) if isinstance(each, Forward)]
    assert [each.reason for each in moved] == [ForwardReason.TARGET_LEAVING]
    for number in range(LIMIT):
        agent.take_from_target(packet(key=flow(number), payload_bytes=9), 1.1)
    assert agent.take_capacity_request(CapacityRequest(OTHER, MARK, 2), 1.1) == []


# Guards against waiting flows that are lost since the work for another one fails.
@pytest.mark.parametrize("failing", [20, 22, 24])
def test_failure_of_one_waiting_flow_costs_no_other(
    failing: int, scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail_or_choose(placement: FlowPlacement, chosen: FlowKey, *rest: Any) -> int | None:
        if chosen == flow(failing):
            raise error
        return choose(placement, chosen, *rest)

    error = RuntimeError("one flow")
    agent = make_full_agent(scene)
    for number in range(20, 25):
        agent.take_from_peer(envelope(), packet(SYN, flow(number)), 1.0)
    scene.change_target(HERE, 1.01, phase=TargetPhase.DRAINING)
    choose = FlowPlacement.choose
    monkeypatch.setattr(FlowPlacement, "choose", fail_or_choose)
    effects = agent.release(1.02)
    moved = {each.flow for each in effects if isinstance(each, Forward)}
    assert moved == {flow(number) for number in range(20, 25)} - {flow(failing)}
    assert [each for each in effects if isinstance(each, Failed)] == [Failed(flow(failing), error)]
    assert len(agent.queue) == 0


def test_new_flow_with_ports_of_transferred_one_is_placed_anew(scene: Scene) -> None:
    """Guards against SYN packets that go to a target that was free a minute ago."""
    agent = make_full_agent(scene)
    effects = agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)
    asked = next(each.host for each in effects if isinstance(each, RequestCapacity))
    assert agent.take_capacity_offer(CapacityOffer(asked, MARK, 1), 1.01)
    for number in range(LIMIT):
        agent.take_from_target(packet(key=flow(number), payload_bytes=9), 1.1)
    (effect,) = agent.take_from_peer(envelope(), packet(SYN, flow(9)), 3.0)
    assert isinstance(effect, DeliverToTarget)


def test_old_requests_are_forgotten_by_an_agent_that_leaves(scene: Scene) -> None:
    agent = make_agent(scene)
    scene.change_target(HERE, 1.0, phase=TargetPhase.DRAINING)
    assert agent.take_capacity_request(CapacityRequest(OTHER, MARK, 2), 1.0) == []
    assert agent.is_waiting
    agent.sweep(1.0 + 1.01 * REQUEST_LIFETIME_SECONDS)
    assert not agent.is_waiting


def test_requests_are_repeated_at_intervals(scene: Scene) -> None:
    agent = make_full_agent(scene)
    first = agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)
    asked = {each.host for each in first if isinstance(each, RequestCapacity)}
    soon = agent.take_from_peer(envelope(), packet(SYN, flow(9), copy=1), 1.01)
    assert not any(isinstance(each, RequestCapacity) for each in soon)
    later = agent.take_from_peer(
        envelope(), packet(SYN, flow(9), copy=2), 1.0 + 1.01 * REQUEST_INTERVAL_SECONDS
    )
    assert {each.host for each in later if isinstance(each, RequestCapacity)} == asked


def test_what_waits_is_bounded(scene: Scene) -> None:
    agent = make_full_agent(scene)
    for number in range(10, MAXIMUM_WAITING + 20):
        agent.take_from_peer(envelope(), packet(SYN, flow(number)), 1.0)
    assert len(agent.queue) == MAXIMUM_WAITING
    for number in range(2 * MAXIMUM_ASKERS):
        agent.take_capacity_request(CapacityRequest(0x0A0F0001 + number, MARK, 1), 1.0)
    offered = [
        each
        for number in range(LIMIT)
        for each in agent.take_from_target(packet(key=flow(number), payload_bytes=9), 1.01)
        if isinstance(each, OfferCapacity)
    ]
    assert not offered, "what waits here goes first"


def test_syn_whose_caller_has_given_up_expires(scene: Scene) -> None:
    agent = make_full_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN, flow(9), copy=2), 1.0)
    (expired,) = [each for each in agent.release(1.9) if isinstance(each, Expire)]
    assert expired.flow == flow(9)
    assert expired.waited_seconds == pytest.approx(1.5)


def test_flow_is_opened_at_slow_target_if_no_other_offers_capacity(scene: Scene) -> None:
    """Guards against callers that find no target because the answers of theirs take long."""
    agent = make_full_agent(scene)
    for number in range(LIMIT):
        agent.take_from_target(packet(key=flow(number), payload_bytes=9), 3.0)
        agent.take_from_peer(
            envelope(), packet(key=flow(number), payload_bytes=9, sequence=51), 3.0
        )
    assert agent.flows.service_seconds > 1.4
    agent.take_from_peer(envelope(), packet(SYN, flow(9)), 3.1)
    assert not _delivered(agent.release(3.1 + 0.99 * LATE_HOLD_SECONDS))
    assert _delivered(agent.release(3.1 + 1.01 * LATE_HOLD_SECONDS))


def test_flow_opened_elsewhere_no_longer_waits(scene: Scene) -> None:
    agent = make_full_agent(scene)
    agent.take_from_peer(envelope(), packet(SYN, flow(9)), 1.0)
    agent.take_from_peer(envelope(), packet(key=flow(9), payload_bytes=50), 1.02)
    assert len(agent.queue) == 0


def test_request_of_caller_that_closed_goes_last(scene: Scene) -> None:
    """Guards against work for callers that gave up while others wait."""
    agent = make_full_agent(scene)
    for number in (LIMIT, LIMIT + 1):
        agent.take_from_peer(envelope(), packet(SYN, flow(number)), 1.0)
        agent.release(1.0 + 2 * HOLD_SECONDS)
        agent.take_from_target(packet(PacketKind.SYN_ACK, flow(number)), 1.16)
        agent.take_from_peer(envelope(), packet(key=flow(number), payload_bytes=50), 1.16)
    agent.take_from_peer(envelope(), packet(PacketKind.FIN, flow(LIMIT), sequence=51), 1.17)
    for number in range(3):  # late requests get idle slots, of which there are four
        agent.take_from_target(packet(key=flow(number), payload_bytes=9), 1.18)
    assert agent.queue.get(flow(LIMIT)) is not None
    assert agent.queue.get(flow(LIMIT + 1)) is None
    agent.take_from_target(packet(key=flow(3), payload_bytes=9), 1.19)
    assert len(agent.queue) == 0, "it is served when no other waits"


def test_own_late_request_goes_first_if_switched_off(scene: Scene) -> None:
    policy = SteeringPolicy(has_urgent_first=False)
    agent = make_full_agent(scene, policy)
    agent.take_from_peer(envelope(), packet(SYN, flow(9), copy=2), 1.0)
    agent.take_capacity_request(CapacityRequest(OTHER, MARK, 1), 1.0)
    effects = agent.take_from_target(packet(key=flow(0), payload_bytes=9), 1.01)
    assert DeliverToTarget(b"packet") in effects
    assert not any(isinstance(each, OfferCapacity) for each in effects)


def test_nothing_is_held_if_switched_off(scene: Scene) -> None:
    agent = AgentSteering(
        HERE,
        SERVICE,
        scene.directory,
        scene.peers,
        scene.placement,
        60.0,
        -60.0,
        SteeringPolicy(hold_seconds=0.0),
    )
    for number in range(2 * LIMIT):
        effects = agent.take_from_peer(envelope(), packet(SYN, flow(number)), 1.0)
        assert effects == (DeliverToTarget(b"packet"),)


def _delivered(effects: object) -> bool:
    assert isinstance(effects, list)
    return any(isinstance(each, DeliverToTarget) for each in effects)
