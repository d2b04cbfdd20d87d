"""Measures how many random and crafted packets reach a target of the wrong service.

Two services share balancers. One target of each has left the configuration, and its endpoint now
belongs to a target of the other service; one balancer and one agent of each service don't
have that configuration yet. A packet is delivered where an agent keeps it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random

from ..configuration import Address, Bundle
from ..steering import (
    AgentSteering,
    CallerPacket,
    ConnectionIdCodec,
    ConnectionIdKey,
    Forward,
    Keep,
    PassOn,
    SourceLimit,
    Steering,
)
from ._measurement import Measurement
from ._steering_fleet import (
    CALLER,
    MAXIMUM_TUNNEL_STEPS,
    NO_LIMIT,
    NONCE_BYTES,
    initial_packet,
    make_service,
    make_target,
    short_packet,
)

MEASURE = "isolation"
SEED = 5
PACKETS = 100_000
CONNECTION_ID_BYTES = 17
SERVICES = {1: ("lookup", Address("10.0.0.1", 443)), 2: ("submission", Address("10.0.0.2", 443))}
TARGETS_BEFORE = {1: (1, 2, 3, 4, 5, 6, 7), 2: (11, 12, 13)}
REPLACED = {7: (27, 13), 13: (33, 7)}
KEY_IN_USE = ConnectionIdKey(1, b"key that is used")
KEY_RETIRED = ConnectionIdKey(2, b"key of last year")
CODEC = ConnectionIdCodec([KEY_IN_USE])
RETIRED_CODEC = ConnectionIdCodec([KEY_RETIRED])
UPTIME_SECONDS = 3600.0
Craft = Callable[[Random], bytes]


def measure() -> Sequence[Measurement]:
    """Return how many packets were misdelivered, by kind of packet."""
    fleet = SharedFleet(Random(SEED))
    each_kind = PACKETS // len(KINDS) + 1
    lines = []
    for name, craft in KINDS.items():
        misdelivered, baseline = fleet.send_many(craft, each_kind)
        case = f"{each_kind} {name} delivered to another service, against owner IDs unchecked"
        lines.append(Measurement(MEASURE, case, misdelivered, 0, baseline, holds=misdelivered == 0))
    return lines


class SharedFleet:
    """Balancers and agents of two services, some with the previous configuration."""

    def __init__(self, random: Random) -> None:
        self._random = random
        bundles = [_bundle_before(), _bundle_after()]
        self._balancers = [_balancer(bundles), _balancer(bundles[1:]), _balancer(bundles[:1])]
        self._services: dict[int, int] = {}
        self._agents: dict[Address, AgentSteering] = {}
        for service in bundles[1].services.values():
            for place, target in enumerate(service.targets):
                known = bundles[:1] if place == 0 else bundles
                self._agents[target.tunnel] = _agent(target.number, service.number, known)
                self._services[target.number] = service.number
        self._numbers = {
            target.tunnel: target.number
            for service in bundles[1].services.values()
            for target in service.targets
        }

    def send_many(self, craft: Craft, count: int) -> tuple[int, int]:
        """Return how many packets reach another service, and how many if no service is checked."""
        misdelivered = baseline = 0
        for _ in range(count):
            datagram = craft(self._random)
            service_number = self._random.choice(list(SERVICES))
            reached = self.deliver(service_number, datagram)
            misdelivered += reached not in (None, service_number)
            unchecked = self._deliver_unchecked(datagram)
            baseline += unchecked not in (None, service_number)
        return misdelivered, baseline

    def deliver(self, service_number: int, datagram: bytes) -> int | None:
        """Return the service of the target that a packet reaches, or None."""
        address = SERVICES[service_number][1]
        steering = self._random.choice(self._balancers)
        decision = steering.steer(address, CALLER.host, datagram, UPTIME_SECONDS)
        if not isinstance(decision, Forward):
            return None
        packet = CallerPacket(*CALLER, *address, decision.service_number, 0, None, 0, datagram)
        return self._follow_tunnel(packet, decision.tunnel)

    def _follow_tunnel(self, packet: CallerPacket, tunnel: Address) -> int | None:
        sender = Address("10.2.0.1", 4000)
        for _ in range(MAXIMUM_TUNNEL_STEPS):
            agent = self._agents.get(tunnel)
            if agent is None:
                return None
            decision = agent.decide(packet, sender, UPTIME_SECONDS)
            if isinstance(decision, Keep):
                return self._services[self._numbers[tunnel]]
            if not isinstance(decision, PassOn):
                return None
            sender, packet, tunnel = tunnel, decision.packet, decision.tunnel
        return None

    def _deliver_unchecked(self, datagram: bytes) -> int | None:
        """Return the service that a packet reaches if its owner ID alone decides."""
        is_long = bool(datagram) and datagram[0] >= 0x80
        start = 6 if is_long else 1
        owner = CODEC.decode(datagram[start : start + CONNECTION_ID_BYTES])
        return None if owner is None else self._services.get(owner.target_number)


def _bundle(revision: int, numbers: Mapping[int, Sequence[int]]) -> Bundle:
    services = {}
    for service_number, (name, address) in SERVICES.items():
        targets = [make_target(number, name) for number in numbers[service_number]]
        services[name] = make_service(name, service_number, address, targets)
    return Bundle(revision, str(revision), services)


def _bundle_before() -> Bundle:
    return _bundle(1, TARGETS_BEFORE)


def _bundle_after() -> Bundle:
    """Return the configuration in which two endpoints have changed their service."""
    services = {}
    for service_number, (name, address) in SERVICES.items():
        targets = []
        for number in TARGETS_BEFORE[service_number]:
            new_number, endpoint_of = REPLACED.get(number, (number, number))
            targets.append(make_target(new_number, name, endpoints_of=endpoint_of))
        services[name] = make_service(name, service_number, address, targets)
    return Bundle(2, "2", services)


def _balancer(bundles: Sequence[Bundle]) -> Steering:
    steering = Steering(CODEC, SourceLimit(NO_LIMIT))
    for bundle in bundles:
        steering.apply_bundle(bundle, 0.0)
    return steering


def _agent(number: int, service_number: int, bundles: Sequence[Bundle]) -> AgentSteering:
    agent = AgentSteering(
        number, service_number, CODEC, lambda _: False, lambda: number % 3 == 0, started_at=0.0
    )
    for bundle in bundles:
        agent.apply_bundle(bundle, 0.0)
    return agent


def _any_header(random: Random, connection_id: bytes) -> bytes:
    """Return a packet with this connection ID and either header."""
    make = random.choice((short_packet, initial_packet))
    return make(connection_id)


def _random_bytes(random: Random) -> bytes:
    return random.randbytes(random.randrange(1400))


def _random_ids(random: Random) -> bytes:
    return _any_header(random, random.randbytes(CONNECTION_ID_BYTES))


def _random_blocks(random: Random) -> bytes:
    first_octet = bytes((KEY_IN_USE.first_octet,))
    return _any_header(random, first_octet + random.randbytes(CONNECTION_ID_BYTES - 1))


def _valid_id(random: Random, codec: ConnectionIdCodec = CODEC) -> bytes:
    service_number = random.choice(list(SERVICES))
    number = random.choice(
        [*TARGETS_BEFORE[service_number], *(new for new, _ in REPLACED.values())]
    )
    return codec.encode(service_number, number, random.randbytes(NONCE_BYTES))


def _valid_ids(random: Random) -> bytes:
    return _any_header(random, _valid_id(random))


def _crossed_ids(random: Random) -> bytes:
    """Return an ID with the key in use that pairs a service with a target of the other."""
    service_number = random.choice(list(SERVICES))
    number = random.choice(TARGETS_BEFORE[3 - service_number])
    return _any_header(random, CODEC.encode(service_number, number, random.randbytes(NONCE_BYTES)))


def _flipped_ids(random: Random) -> bytes:
    connection_id = bytearray(_valid_id(random))
    connection_id[random.randrange(CONNECTION_ID_BYTES)] ^= 1 << random.randrange(8)
    return _any_header(random, bytes(connection_id))


def _retired_ids(random: Random) -> bytes:
    return _any_header(random, _valid_id(random, RETIRED_CODEC))


def _truncated(random: Random) -> bytes:
    datagram = _valid_ids(random)
    return datagram[: random.randrange(60)]


def _first_packets(random: Random) -> bytes:
    return initial_packet(random.randbytes(random.randrange(21)))


KINDS: Mapping[str, Craft] = {
    "random datagrams": _random_bytes,
    "random IDs": _random_ids,
    "random IDs with the first octet in use": _random_blocks,
    "valid IDs of either service at either address": _valid_ids,
    "IDs that cross service and target": _crossed_ids,
    "valid IDs with one bit flipped": _flipped_ids,
    "IDs made with a retired key": _retired_ids,
    "truncated packets with valid IDs": _truncated,
    "first packets": _first_packets,
}
