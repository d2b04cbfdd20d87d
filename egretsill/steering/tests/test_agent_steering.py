import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Address
from .. import (
    AgentDecision,
    AgentSteering,
    CallerPacket,
    Drop,
    DropReason,
    Keep,
    OwnerNotice,
    PassOn,
    SteeringView,
    rank,
)
from .._routes import PLACEMENT_DELAY_SECONDS
from .builders import CODEC, bundle, initial_packet, short_packet

BALANCER = Address("10.7.0.1", 4000)
CLIENT_ID = b"clientid"
RANKED = rank(CLIENT_ID, [1, 2, 3])
PAST_PLACEMENT_DELAY = PLACEMENT_DELAY_SECONDS
FLOW_ID = b"flow that is open"


def make_agent(number: int = RANKED[0], is_draining: bool = False) -> AgentSteering:
    agent = AgentSteering(
        number, 1, CODEC, lambda each: each == FLOW_ID, lambda: is_draining, started_at=0.0
    )
    agent.apply_bundle(bundle(), 0.0)
    return agent


def packet(payload: bytes, hops: int = 0, service_number: int = 1) -> CallerPacket:
    return CallerPacket("192.0.2.7", 5000, "10.0.0.1", 443, service_number, hops, None, 0, payload)


def owned(target_number: int, service_number: int = 1) -> bytes:
    return short_packet(CODEC.encode(service_number, target_number, bytes(8)))


def outcome_of(decision: AgentDecision) -> str | DropReason:
    match decision:
        case Keep():
            return "keep"
        case PassOn():
            return f"pass to {decision.notice.target_number}"
        case Drop():
            return decision.reason


FIRST = initial_packet(CLIENT_ID)


@pytest.mark.parametrize(
    ("is_draining", "now", "hops", "expected"),
    [
        pytest.param(False, PAST_PLACEMENT_DELAY, 0, "keep", id="active"),
        pytest.param(True, PAST_PLACEMENT_DELAY, 0, f"pass to {RANKED[1]}", id="draining"),
        pytest.param(
            True, PAST_PLACEMENT_DELAY, 1, f"pass to {RANKED[1]}", id="draining, second hop"
        ),
        pytest.param(
            True, PAST_PLACEMENT_DELAY, 2, DropReason.NO_TARGET, id="draining, hops used up"
        ),
        pytest.param(False, 0.0, 0, f"pass to {RANKED[1]}", id="new"),
        pytest.param(False, 0.0, 2, "keep", id="new, hops used up"),
    ],
)
def test_first_packet_decision(is_draining: bool, now: float, hops: int, expected: str) -> None:
    agent = make_agent(is_draining=is_draining)
    assert outcome_of(agent.decide(packet(FIRST, hops), BALANCER, now)) == expected


@pytest.mark.parametrize(
    ("view", "expected"),
    [
        pytest.param(SteeringView(draining=frozenset(RANKED[1:2])), f"pass to {RANKED[2]}", id="d"),
        pytest.param(SteeringView(unresponsive=frozenset(RANKED)), DropReason.NO_TARGET, id="all"),
    ],
)
def test_draining_agent_passes_to_usable_agents_only(view: SteeringView, expected: str) -> None:
    agent = make_agent(is_draining=True)
    agent.update_view(view)
    assert outcome_of(agent.decide(packet(FIRST), BALANCER, PAST_PLACEMENT_DELAY)) == expected


def test_draining_agents_do_not_loop_a_packet() -> None:
    first, second = (make_agent(number, is_draining=True) for number in RANKED[:2])
    passed = first.decide(packet(FIRST), BALANCER, PAST_PLACEMENT_DELAY)
    assert isinstance(passed, PassOn)
    again = second.decide(passed.packet, Address("10.1.0.1", 4000), PAST_PLACEMENT_DELAY)
    assert outcome_of(again) == f"pass to {RANKED[2]}"


def test_passed_on_packet_keeps_its_balancer() -> None:
    passed = make_agent(is_draining=True).decide(packet(FIRST), BALANCER, PAST_PLACEMENT_DELAY)
    second = RANKED[1]
    tunnel = Address(f"10.1.0.{second}", 4000)
    assert passed == PassOn(
        tunnel,
        replace(packet(FIRST, 1), balancer_host=BALANCER.host, balancer_port=BALANCER.port),
        BALANCER,
        OwnerNotice(second, 1, *tunnel),
    )
    assert isinstance(passed, PassOn)
    again = make_agent(second, is_draining=True).decide(
        passed.packet, Address("10.1.0.9", 1), PAST_PLACEMENT_DELAY
    )
    assert isinstance(again, PassOn)
    assert again.balancer == BALANCER


@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        pytest.param(packet(owned(1)), "keep", id="own ID"),
        pytest.param(packet(short_packet(FLOW_ID)), "keep", id="ID of an open flow"),
        pytest.param(packet(owned(2)), "pass to 2", id="another owner"),
        pytest.param(packet(owned(2), 2), DropReason.UNKNOWN_OWNER, id="hops used up"),
        pytest.param(packet(owned(99), 2), DropReason.UNKNOWN_OWNER, id="unknown owner, no hop"),
        pytest.param(packet(owned(11, 2)), DropReason.FOREIGN_OWNER, id="owner of other service"),
        pytest.param(
            packet(owned(1), service_number=2), DropReason.FOREIGN_OWNER, id="address of other"
        ),
        pytest.param(packet(short_packet(bytes(17))), DropReason.UNDECODABLE_ID, id="no key"),
        pytest.param(packet(b""), DropReason.TRUNCATED, id="empty"),
    ],
)
@pytest.mark.parametrize("is_draining", [False, True])
def test_non_first_packet_decision(sent: CallerPacket, expected: str, is_draining: bool) -> None:
    agent = make_agent(1, is_draining)
    assert outcome_of(agent.decide(sent, BALANCER, PAST_PLACEMENT_DELAY)) == expected


def test_owner_is_retained_after_leaving_configuration() -> None:
    agent = make_agent(1)
    agent.apply_bundle(bundle(2, lookup=(1, 3)), 10.0)
    assert outcome_of(agent.decide(packet(owned(2)), BALANCER, PAST_PLACEMENT_DELAY)) == "pass to 2"


def test_agent_announces_itself_after_target_removal() -> None:
    leaving = make_agent(2)
    assert not leaving.announcements()
    leaving.apply_bundle(bundle(2, lookup=(3, 4)), 10.0)
    announced = {each.tunnel: each.notice for each in leaving.announcements()}
    assert announced.keys() == {Address("10.1.0.3", 4000), Address("10.1.0.4", 4000)}
    later = AgentSteering(3, 1, CODEC, lambda _: False, lambda: False, started_at=0.0)
    later.apply_bundle(bundle(2, lookup=(3, 4)), 10.0)
    assert outcome_of(later.decide(packet(owned(2)), BALANCER, PAST_PLACEMENT_DELAY)) == "pass to 4"
    assert later.retain_owner(announced[Address("10.1.0.3", 4000)], 20.0)
    assert outcome_of(later.decide(packet(owned(2)), BALANCER, PAST_PLACEMENT_DELAY)) == "pass to 2"


@pytest.mark.parametrize(
    "view",
    [
        pytest.param(SteeringView(draining=frozenset({2, 3})), id="all others drain"),
        pytest.param(
            SteeringView(unresponsive=frozenset({2, 3})), id="no message of the others yet"
        ),
    ],
)
def test_unknown_owner_is_passed_to_avoided_agent(view: SteeringView) -> None:
    """Guards against dropping packets of an open flow whose owner only draining agents know."""
    agent = make_agent(1)
    agent.update_view(view)
    assert outcome_of(agent.decide(packet(owned(99)), BALANCER, PAST_PLACEMENT_DELAY)) in (
        "pass to 2",
        "pass to 3",
    )


def test_notice_of_another_service_is_refused() -> None:
    assert not make_agent(3).retain_owner(OwnerNotice(7, 2, "10.1.0.7", 4000), 0.0)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=1300), st.sampled_from([b"", b"@", b"\xc0\0\0\0\1\x11", b"@\x10"]))
def test_any_bytes_get_a_decision(tail: bytes, head: bytes) -> None:
    assert isinstance(
        AGENT.decide(packet(head + tail), BALANCER, PAST_PLACEMENT_DELAY), Keep | Drop
    )


AGENT = make_agent()


def test_random_ids_reach_no_other_owner() -> None:
    rng = random.Random(8)
    packets = [short_packet(b"\x10" + rng.randbytes(16)) for _ in range(2000)]
    decisions = {
        outcome_of(AGENT.decide(packet(each), BALANCER, PAST_PLACEMENT_DELAY)) for each in packets
    }
    assert decisions == {DropReason.UNDECODABLE_ID}
