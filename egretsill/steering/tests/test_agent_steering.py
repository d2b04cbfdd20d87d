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
MATURE = PLACEMENT_DELAY_SECONDS
FLOW_ID = b"flow that is open"


def make(number: int = RANKED[0], is_draining: bool = False) -> AgentSteering:
    agent = AgentSteering(
        number, 1, CODEC, lambda each: each == FLOW_ID, lambda: is_draining, started_at=0.0
    )
    agent.apply_bundle(bundle(), 0.0)
    return agent


def packet(payload: bytes, hops: int = 0, service_number: int = 1) -> CallerPacket:
    return CallerPacket("192.0.2.7", 5000, "10.0.0.1", 443, service_number, hops, None, 0, payload)


def owned(target_number: int, service_number: int = 1) -> bytes:
    return short_packet(CODEC.encode(service_number, target_number, bytes(8)))


def goes_to(decision: AgentDecision) -> str | DropReason:
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
        pytest.param(False, MATURE, 0, "keep", id="active"),
        pytest.param(True, MATURE, 0, f"pass to {RANKED[1]}", id="draining"),
        pytest.param(True, MATURE, 1, f"pass to {RANKED[1]}", id="draining, second hop"),
        pytest.param(True, MATURE, 2, DropReason.NO_TARGET, id="draining, hops used up"),
        pytest.param(False, 0.0, 0, f"pass to {RANKED[1]}", id="new"),
        pytest.param(False, 0.0, 2, "keep", id="new, hops used up"),
    ],
)
def test_first_packets(is_draining: bool, now: float, hops: int, expected: str) -> None:
    agent = make(is_draining=is_draining)
    assert goes_to(agent.decide(packet(FIRST, hops), BALANCER, now)) == expected


@pytest.mark.parametrize(
    ("view", "expected"),
    [
        pytest.param(SteeringView(draining=frozenset(RANKED[1:2])), f"pass to {RANKED[2]}", id="d"),
        pytest.param(SteeringView(unresponsive=frozenset(RANKED)), DropReason.NO_TARGET, id="all"),
    ],
)
def test_draining_agent_passes_to_usable_agents_only(view: SteeringView, expected: str) -> None:
    agent = make(is_draining=True)
    agent.update_view(view)
    assert goes_to(agent.decide(packet(FIRST), BALANCER, MATURE)) == expected


def test_two_draining_agents_do_not_send_a_packet_back_and_forth() -> None:
    first, second = (make(number, is_draining=True) for number in RANKED[:2])
    passed = first.decide(packet(FIRST), BALANCER, MATURE)
    assert isinstance(passed, PassOn)
    again = second.decide(passed.packet, Address("10.1.0.1", 4000), MATURE)
    assert goes_to(again) == f"pass to {RANKED[2]}"


def test_passed_on_packet_keeps_its_balancer() -> None:
    passed = make(is_draining=True).decide(packet(FIRST), BALANCER, MATURE)
    second = RANKED[1]
    tunnel = Address(f"10.1.0.{second}", 4000)
    assert passed == PassOn(
        tunnel,
        replace(packet(FIRST, 1), balancer_host=BALANCER.host, balancer_port=BALANCER.port),
        BALANCER,
        OwnerNotice(second, 1, *tunnel),
    )
    assert isinstance(passed, PassOn)
    again = make(second, is_draining=True).decide(passed.packet, Address("10.1.0.9", 1), MATURE)
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
def test_other_packets(sent: CallerPacket, expected: str, is_draining: bool) -> None:
    agent = make(1, is_draining)
    assert goes_to(agent.decide(sent, BALANCER, MATURE)) == expected


def test_owner_that_left_the_configuration_is_still_found() -> None:
    agent = make(1)
    agent.apply_bundle(bundle(2, lookup=(1, 3)), 10.0)
    assert goes_to(agent.decide(packet(owned(2)), BALANCER, MATURE)) == "pass to 2"


def test_agent_announces_itself_once_its_target_has_left() -> None:
    leaving = make(2)
    assert not leaving.announcements()
    leaving.apply_bundle(bundle(2, lookup=(3, 4)), 10.0)
    announced = {each.tunnel: each.notice for each in leaving.announcements()}
    assert announced.keys() == {Address("10.1.0.3", 4000), Address("10.1.0.4", 4000)}
    later = AgentSteering(3, 1, CODEC, lambda _: False, lambda: False, started_at=0.0)
    later.apply_bundle(bundle(2, lookup=(3, 4)), 10.0)
    assert goes_to(later.decide(packet(owned(2)), BALANCER, MATURE)) == "pass to 4"
    assert later.learn(announced[Address("10.1.0.3", 4000)], 20.0)
    assert goes_to(later.decide(packet(owned(2)), BALANCER, MATURE)) == "pass to 2"


@pytest.mark.parametrize(
    "view",
    [
        pytest.param(SteeringView(draining=frozenset({2, 3})), id="all others drain"),
        pytest.param(SteeringView(unresponsive=frozenset({2, 3})), id="none was heard yet"),
    ],
)
def test_agent_that_takes_no_new_flows_is_asked_for_an_owner(view: SteeringView) -> None:
    """Guards against packets of an open flow dropped, as who knows its owner drains itself."""
    agent = make(1)
    agent.update_view(view)
    assert goes_to(agent.decide(packet(owned(99)), BALANCER, MATURE)) in ("pass to 2", "pass to 3")


def test_notice_of_another_service_is_refused() -> None:
    assert not make(3).learn(OwnerNotice(7, 2, "10.1.0.7", 4000), 0.0)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=1300), st.sampled_from([b"", b"@", b"\xc0\0\0\0\1\x11", b"@\x10"]))
def test_any_bytes_get_a_decision(tail: bytes, head: bytes) -> None:
    assert isinstance(AGENT.decide(packet(head + tail), BALANCER, MATURE), Keep | Drop)


AGENT = make()


def test_random_ids_reach_no_other_owner() -> None:
    chooser = random.Random(8)
    packets = [short_packet(b"\x10" + chooser.randbytes(16)) for _ in range(2000)]
    decisions = {goes_to(AGENT.decide(packet(each), BALANCER, MATURE)) for each in packets}
    assert decisions == {DropReason.UNDECODABLE_ID}
