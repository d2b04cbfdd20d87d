import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...configuration import Address
from .. import (
    ConnectionIdCodec,
    ConnectionIdKey,
    Drop,
    DropReason,
    Forward,
    ForwardKind,
    RetainedTarget,
    SourceLimit,
    Steering,
    SteeringView,
    rank,
)
from .._routes import (
    PLACEMENT_DELAY_SECONDS,
    RETENTION_SECONDS,
    VIEW_LAG_SECONDS,
)
from .builders import (
    CALLER_HOST,
    CODEC,
    LOOKUP,
    SUBMISSION,
    bundle,
    initial_packet,
    short_packet,
)

CLIENT_ID = b"clientid"
RANKED = rank(CLIENT_ID, [1, 2, 3])
OTHER_KEYS = ConnectionIdCodec([ConnectionIdKey(0, b"f" * 16)])


def owned(
    service_number: int = 1, target_number: int = 1, codec: ConnectionIdCodec = CODEC
) -> bytes:
    return codec.encode(service_number, target_number, b"nonce678")


def make_steering(**changes: Any) -> Steering:
    steering = Steering(CODEC)
    steering.apply_bundle(bundle(**changes), 0.0)
    return steering


def outcome_of(
    steering: Steering, datagram: bytes, address: Address = LOOKUP, now: float = 0.0
) -> int | DropReason:
    decision = steering.steer(address, CALLER_HOST, datagram, now)
    return decision.target_number if isinstance(decision, Forward) else decision.reason


@pytest.mark.parametrize(
    "view",
    [
        pytest.param(SteeringView(), id="active"),
        pytest.param(SteeringView(draining=frozenset({1})), id="draining"),
        pytest.param(SteeringView(unresponsive=frozenset({1})), id="unresponsive"),
        pytest.param(SteeringView(gone=frozenset({1})), id="gone"),
    ],
)
@pytest.mark.parametrize(
    "packet",
    [
        pytest.param(short_packet(owned()), id="short header"),
        pytest.param(initial_packet(owned()), id="second Initial"),
    ],
)
def test_owner_id_overrides_view(view: SteeringView, packet: bytes) -> None:
    steering = make_steering()
    steering.update_view(view)
    steering.update_silent(frozenset({1}))
    decision = steering.steer(LOOKUP, CALLER_HOST, packet, 0.0)
    assert decision == Forward(1, Address("10.1.0.1", 4000), 1, ForwardKind.OWNER)


@pytest.mark.parametrize(
    ("avoided", "expected"),
    [
        pytest.param(SteeringView(), RANKED[0], id="nothing avoided"),
        pytest.param(SteeringView(draining=frozenset(RANKED[:1])), RANKED[1], id="draining"),
        pytest.param(SteeringView(gone=frozenset(RANKED[:2])), RANKED[2], id="two gone"),
        pytest.param(
            SteeringView(unresponsive=frozenset(RANKED)), RANKED[0], id="all unresponsive"
        ),
        pytest.param(
            SteeringView(frozenset(RANKED[:1]), frozenset(RANKED[1:])),
            RANKED[1],
            id="silence before draining",
        ),
        pytest.param(
            SteeringView(draining=frozenset(RANKED[1:]), gone=frozenset(RANKED[:1])),
            RANKED[1],
            id="draining before gone",
        ),
        pytest.param(SteeringView(gone=frozenset(RANKED)), DropReason.NO_TARGET, id="all gone"),
    ],
)
def test_first_packet_avoids_targets(avoided: SteeringView, expected: int | DropReason) -> None:
    steering = make_steering()
    steering.update_view(avoided)
    assert outcome_of(steering, initial_packet(CLIENT_ID)) == expected


def test_declared_draining_and_silent_targets_are_avoided() -> None:
    steering = make_steering(draining=RANKED[:1])
    steering.update_silent(frozenset(RANKED[1:2]))
    assert outcome_of(steering, initial_packet(CLIENT_ID)) == RANKED[2]


@pytest.mark.parametrize(
    ("packet", "reason"),
    [
        pytest.param(short_packet(owned(2, 11)), DropReason.FOREIGN_OWNER, id="other service"),
        pytest.param(initial_packet(owned(2, 11)), DropReason.FOREIGN_OWNER, id="long, other"),
        pytest.param(
            short_packet(owned(codec=OTHER_KEYS)), DropReason.UNDECODABLE_ID, id="wrong key"
        ),
        pytest.param(short_packet(bytes(17)), DropReason.UNDECODABLE_ID, id="no key fits"),
        pytest.param(
            b"\xe0" + initial_packet(CLIENT_ID)[1:], DropReason.UNDECODABLE_ID, id="Handshake"
        ),
        pytest.param(b"", DropReason.TRUNCATED, id="empty"),
        pytest.param(
            initial_packet(CLIENT_ID, 9), DropReason.UNSUPPORTED_VERSION, id="wrong version"
        ),
    ],
)
def test_invalid_packet_is_dropped(packet: bytes, reason: DropReason) -> None:
    assert outcome_of(make_steering(), packet) is reason


@pytest.mark.parametrize(
    ("packet", "address", "asked"),
    [
        pytest.param(short_packet(owned(1, 99)), LOOKUP, {1, 2, 3}, id="short header"),
        pytest.param(initial_packet(owned(1, 99)), LOOKUP, {1, 2, 3}, id="second Initial"),
        pytest.param(short_packet(owned(1, 11)), LOOKUP, {1, 2, 3}, id="crossed numbers"),
        pytest.param(short_packet(owned(2, 1)), SUBMISSION, {11, 12}, id="other service"),
    ],
)
def test_unknown_owner_goes_to_agent_of_same_service(
    packet: bytes, address: Address, asked: set[int]
) -> None:
    steering = make_steering()
    decision = steering.steer(address, CALLER_HOST, packet, 0.0)
    assert isinstance(decision, Forward)
    assert decision.kind is ForwardKind.UNKNOWN_OWNER
    assert decision.target_number in asked
    steering.update_view(SteeringView(gone=frozenset(range(20))))
    assert outcome_of(steering, packet, address) is DropReason.UNKNOWN_OWNER


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        pytest.param(10.0, False, id="new target gets no first packets"),
        pytest.param(10.0 + VIEW_LAG_SECONDS, False, id="nor while views may lag"),
        pytest.param(10.0 + PLACEMENT_DELAY_SECONDS, True, id="all views know it"),
    ],
)
def test_new_target_gets_first_packets_after_placement_delay(now: float, expected: bool) -> None:
    steering = make_steering(lookup=(1, 2))
    steering.apply_bundle(bundle(2, lookup=(1, 2, 3)), 10.0)
    packets = [initial_packet(bytes([each] * 8)) for each in range(40)]
    assert (3 in {outcome_of(steering, packet, now=now) for packet in packets}) is expected
    assert outcome_of(steering, short_packet(owned(target_number=3)), now=now) == 3


def test_new_target_is_used_when_no_other_exists() -> None:
    steering = make_steering(lookup=(1, 2))
    steering.apply_bundle(bundle(2, lookup=(3,)), 10.0)
    assert outcome_of(steering, initial_packet(CLIENT_ID), now=10.0) == 3


def test_unknown_address_is_dropped() -> None:
    assert outcome_of(make_steering(), short_packet(owned()), Address("10.9.9.9", 1)) is (
        DropReason.UNKNOWN_ADDRESS
    )


def test_removed_target_keeps_its_flows_until_retention_ends() -> None:
    steering = make_steering()
    steering.apply_bundle(bundle(2, lookup=(2, 3)), 10.0)
    assert outcome_of(steering, short_packet(owned())) == 1
    steering.apply_bundle(bundle(3, lookup=(2, 3, 4)), 10.0 + RETENTION_SECONDS)
    assert outcome_of(steering, short_packet(owned())) in (2, 3)


def test_removed_target_is_dropped_when_endpoint_is_reused() -> None:
    steering = make_steering()
    steering.apply_bundle(bundle(2, lookup=(2, 3), submission=(1, 12)), 10.0)
    assert outcome_of(steering, short_packet(owned())) in (2, 3)


def test_new_balancer_retains_targets_reported_by_peer() -> None:
    old, new = make_steering(), make_steering(lookup=(2, 3))
    old.apply_bundle(bundle(2, lookup=(2, 3)), 10.0)
    new.retain(old.retained_targets, 20.0)
    assert outcome_of(new, short_packet(owned())) == 1
    assert outcome_of(new, initial_packet(CLIENT_ID)) != 1


def test_retained_target_never_overrides_the_configuration() -> None:
    steering = make_steering()
    steering.retain([RetainedTarget(1, 2, Address("10.6.6.6", 1), 100.0)], 0.0)
    assert outcome_of(steering, short_packet(owned())) == 1
    assert outcome_of(steering, short_packet(owned(2, 1)), SUBMISSION) in (11, 12)


def test_removed_address_serves_established_flows_only() -> None:
    steering = make_steering(lookup_at=(LOOKUP, Address("10.0.0.3", 443)))
    steering.apply_bundle(bundle(2), 10.0)
    old = Address("10.0.0.3", 443)
    assert old in steering.listening_addresses
    assert outcome_of(steering, short_packet(owned()), old) == 1
    assert outcome_of(steering, initial_packet(CLIENT_ID), old) is DropReason.RETIRED_ADDRESS


def test_balancer_that_started_later_serves_flows_at_a_removed_address() -> None:
    """Guards against a balancer dropping packets of open flows at a removed service address.

    A balancer that started after the removal does not listen there, so for hours the flows lose
    every packet that arrives at it.
    """
    old = Address("10.0.0.3", 443)
    before, later = make_steering(lookup_at=(LOOKUP, old)), make_steering()
    before.apply_bundle(bundle(2), 10.0)
    later.retain(before.retained_targets, 20.0)
    assert outcome_of(before, short_packet(owned()), old) == 1
    assert old in later.listening_addresses
    assert outcome_of(later, short_packet(owned()), old) == 1


def test_first_packets_are_dropped_while_view_is_stale() -> None:
    fresh = False
    steering = Steering(CODEC, may_place=lambda: fresh)
    steering.apply_bundle(bundle(), 0.0)
    assert outcome_of(steering, initial_packet(CLIENT_ID)) is DropReason.STALE_VIEW
    assert outcome_of(steering, short_packet(owned())) == 1
    fresh = True
    assert outcome_of(steering, initial_packet(CLIENT_ID)) == RANKED[0]


def test_flood_from_one_source_is_limited() -> None:
    steering = Steering(CODEC, SourceLimit(5))
    steering.apply_bundle(bundle(), 0.0)
    seen = [outcome_of(steering, initial_packet(bytes([each] * 8))) for each in range(8)]
    assert seen.count(DropReason.SOURCE_LIMIT) == 3
    assert outcome_of(steering, short_packet(owned())) == 1


@settings(derandomize=True, max_examples=500)
@given(st.binary(max_size=1300), st.sampled_from([b"", b"@", b"\xc0\0\0\0\1\x11", b"@\x10"]))
def test_any_bytes_get_a_decision(tail: bytes, head: bytes) -> None:
    decision = STEERING.steer(LOOKUP, CALLER_HOST, head + tail, 0.0)
    if isinstance(decision, Forward):
        assert decision.kind is ForwardKind.FIRST_PACKET
        assert decision.target_number in (1, 2, 3)
    else:
        assert isinstance(decision, Drop)


STEERING = make_steering()


def test_different_views_steer_established_flows_alike() -> None:
    rng = random.Random(3)
    views = [
        SteeringView(*(frozenset(rng.sample(range(1, 4), 1)) for _ in range(3))) for _ in range(20)
    ]
    balancers = [make_steering() for _ in views]
    for balancer, view in zip(balancers, views, strict=True):
        balancer.update_view(view)
    packets = [short_packet(owned(target_number=each)) for each in (1, 2, 3)]
    assert {tuple(outcome_of(each, packet) for packet in packets) for each in balancers} == {
        (1, 2, 3)
    }
