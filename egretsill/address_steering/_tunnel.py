"""Datagrams between processes that steer by address.

They are packed with `struct` for speed because every packet of a flow is sent in one. A tunneled
packet is preceded by a header with its path so far and the configuration version that steered it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from xxhash import xxh32_intdigest

from ._packet import FlowKey
from ._service_order import Standing, Urgency

MAXIMUM_ROUTE_HOPS = 12  # hops among a route's targets; candidates take five, a search the rest
MAXIMUM_HOPS = 54  # hops of one packet; the datagram still fits in 1,472 bytes, unfragmented
MAXIMUM_NOTICE_FLOWS = 73  # keeps the datagram within a packet of 1,200 bytes

ANY_SERVICE = 0  # in place of a service's hash, if the receiver's target may have the flow anyway

UNSTATED_URGENCY = Urgency(Standing.IN_TIME)  # of requests of earlier versions

# A request's count has its urgency in the upper bits: whether late, whether deferred, and the
# priority. Earlier versions read a larger count, of which they offer what room there is.
_COUNT_BITS, _PRIORITY_BITS = 9, 5
_LARGEST_COUNT, _LOWEST_PRIORITY = 2**_COUNT_BITS - 1, 2**_PRIORITY_BITS - 1
_DEFERRED_MARK, _LATE_MARK = 0x4000, 0x8000
_LARGEST_SHORT = 0xFFFF

_CARRY = 0xE1
_OWNER = 0xE2
_HOME = 0xE3
_CAPACITY_REQUEST = 0xE4
_CAPACITY_OFFER = 0xE5
_CARRY_HEAD = struct.Struct(">BBIQIH")  # type, visited agents, balancer, version, service, domain
_OWNER_NOTICE = struct.Struct(">BIHIHI")  # type, four parts of the flow, owner
_HOME_HEAD = struct.Struct(">BI")  # type, owner
_CAPACITY = struct.Struct(">BIIH")  # type, sender, service, number of flows
_FLOW = struct.Struct(">IHIH")
_SEPARATOR = bytes(_FLOW.size)  # between flows and their sequence numbers


class Envelope(NamedTuple):
    """Path of a packet to this process.

    Attributes:
        balancer: address of the balancer that received it from the fabric.
        version: configuration version by which it was steered.
        service_hash: hash of the name of the service that it was steered to, or `ANY_SERVICE`.
        visited: addresses of the agents that have passed it on.
        domain_hash: hash of the name of the balancer's failure domain.
    """

    balancer: int
    version: int
    service_hash: int
    visited: tuple[int, ...] = ()
    domain_hash: int = 0

    def passed_by(self, agent: int) -> Envelope:
        """Return the envelope after an agent has passed the packet on."""
        return self._replace(visited=(*self.visited, agent))


@dataclass(frozen=True, slots=True)
class TunneledPacket:
    """A caller's packet on its way to an agent."""

    envelope: Envelope
    datagram: bytes


@dataclass(frozen=True, slots=True)
class OwnerNotice:
    """Notice to a balancer that names the agent of a flow.

    Attributes:
        flow: the flow.
        owner: address of the agent.
    """

    flow: FlowKey
    owner: int


@dataclass(frozen=True, slots=True)
class HomeNotice:
    """Notice to a home that names the agent of some flows.

    Attributes:
        owner: address of the agent.
        flows: at most `MAXIMUM_NOTICE_FLOWS` flows that it has.
        sequences: for each flow the number of the caller's next byte, 0 if unknown; empty in a
            notice of an earlier release.
    """

    owner: int
    flows: tuple[FlowKey, ...]
    sequences: tuple[int, ...] = ()

    @property
    def known_sequences(self) -> tuple[int, ...]:
        """Return the number of each flow, 0 where it is unknown."""
        return self.sequences or (0,) * len(self.flows)


@dataclass(frozen=True, slots=True)
class CapacityRequest:
    """Request for capacity for SYN packets that wait at an agent.

    Attributes:
        asker: address of the agent.
        service_hash: hash of the name of its target's service.
        waiting: number of SYN packets that may be transferred to the receiver.
        urgency: of these packets.
    """

    asker: int
    service_hash: int
    waiting: int
    urgency: Urgency = UNSTATED_URGENCY


@dataclass(frozen=True, slots=True)
class CapacityOffer:
    """Offer of a target's capacity, reserved for a round trip.

    Attributes:
        owner: address of the agent that offers it.
        service_hash: hash of the name of its target's service.
        flows: number of flows that it may be sent.
    """

    owner: int
    service_hash: int
    flows: int


TunnelMessage: TypeAlias = (
    TunneledPacket | OwnerNotice | HomeNotice | CapacityRequest | CapacityOffer
)


class MalformedTunnelMessage(Exception):
    """Raised when a datagram is not a valid message of the tunnel.

    Attributes:
        reason: what was wrong, in a few words.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed tunnel message: {reason}")
        self.reason = reason


def service_hash(service: str) -> int:
    """Return the hash by which processes identify a service."""
    return xxh32_intdigest(service.encode())


def domain_hash(domain: str) -> int:
    """Return the 16-bit hash by which processes identify a failure domain."""
    return xxh32_intdigest(domain.encode()) & 0xFFFF


def encode_tunneled_packet(envelope: Envelope, datagram: bytes) -> bytes:
    """Encode a tunneled packet."""
    visited = envelope.visited
    head = _CARRY_HEAD.pack(
        _CARRY,
        len(visited),
        envelope.balancer,
        envelope.version,
        envelope.service_hash,
        envelope.domain_hash,
    )
    if not visited:
        return head + datagram
    return head + struct.pack(f">{len(visited)}I", *visited) + datagram


def encode_owner_notice(notice: OwnerNotice) -> bytes:
    """Encode a notice to a balancer."""
    return _OWNER_NOTICE.pack(_OWNER, *notice.flow, notice.owner)


def encode_home_notice(notice: HomeNotice) -> bytes:
    """Encode a notice to a home.

    The sequence numbers follow the flows after a separator, which is no flow. Earlier releases read
    all of it as flows; what isn't one is never asked for and expires.
    """
    flows = b"".join(_FLOW.pack(*flow) for flow in notice.flows)
    data = _HOME_HEAD.pack(_HOME, notice.owner) + flows
    if not notice.sequences:
        return data
    numbers = struct.pack(f">{len(notice.sequences)}I", *notice.sequences)
    return data + _SEPARATOR + numbers + bytes(-len(numbers) % _FLOW.size)


def encode_capacity_request(request: CapacityRequest) -> bytes:
    """Encode a request for capacity."""
    standing, priority, is_deferred = request.urgency
    waiting = min(request.waiting, _LARGEST_COUNT)
    waiting |= min(priority, _LOWEST_PRIORITY) << _COUNT_BITS
    waiting |= _DEFERRED_MARK if is_deferred else 0
    waiting |= 0 if standing is Standing.IN_TIME else _LATE_MARK
    return _CAPACITY.pack(_CAPACITY_REQUEST, request.asker, request.service_hash, waiting)


def encode_capacity_offer(offer: CapacityOffer) -> bytes:
    """Encode an offer of capacity."""
    flows = min(offer.flows, _LARGEST_SHORT)
    return _CAPACITY.pack(_CAPACITY_OFFER, offer.owner, offer.service_hash, flows)


def decode_tunnel(data: bytes) -> TunnelMessage:
    """Decode a datagram.

    Raises:
        MalformedTunnelMessage: if the datagram is not a valid message.
    """
    if not data:
        raise MalformedTunnelMessage("empty")
    mark = data[0]
    if mark == _CARRY:
        if len(data) < _CARRY_HEAD.size:
            raise MalformedTunnelMessage("short head")
        _, count, balancer, version, service, domain = _CARRY_HEAD.unpack_from(data)
        start = _CARRY_HEAD.size + 4 * count
        if count > MAXIMUM_HOPS or len(data) < start:
            raise MalformedTunnelMessage("visited agents")
        visited: tuple[int, ...] = ()
        if count:
            visited = struct.unpack_from(f">{count}I", data, _CARRY_HEAD.size)
        return TunneledPacket(Envelope(balancer, version, service, visited, domain), data[start:])
    if mark == _OWNER:
        if len(data) != _OWNER_NOTICE.size:
            raise MalformedTunnelMessage("notice length")
        _, caller, caller_port, service_host, service_port, owner = _OWNER_NOTICE.unpack(data)
        return OwnerNotice(FlowKey(caller, caller_port, service_host, service_port), owner)
    if mark == _HOME:
        flows_bytes = len(data) - _HOME_HEAD.size
        if flows_bytes <= 0 or flows_bytes % _FLOW.size:
            raise MalformedTunnelMessage("home notice length")
        return _decode_home_notice(data)
    if mark in (_CAPACITY_REQUEST, _CAPACITY_OFFER):
        if len(data) != _CAPACITY.size:
            raise MalformedTunnelMessage("capacity message length")
        _, host, service, count = _CAPACITY.unpack(data)
        if mark == _CAPACITY_OFFER:
            return CapacityOffer(host, service, count)
        standing = Standing.LATE if count & _LATE_MARK else Standing.IN_TIME
        priority = count >> _COUNT_BITS & _LOWEST_PRIORITY
        urgency = Urgency(standing, priority, bool(count & _DEFERRED_MARK))
        return CapacityRequest(host, service, count & _LARGEST_COUNT, urgency)
    raise MalformedTunnelMessage("unknown mark")


def _decode_home_notice(data: bytes) -> HomeNotice:
    owner = _HOME_HEAD.unpack_from(data)[1]
    flows = [FlowKey(*parts) for parts in _FLOW.iter_unpack(data[_HOME_HEAD.size :])]
    separator = FlowKey(*_FLOW.unpack(_SEPARATOR))
    if separator not in flows:
        return HomeNotice(owner, tuple(flows))
    count = flows.index(separator)
    start = _HOME_HEAD.size + (count + 1) * _FLOW.size
    if not count or len(data) - start < 4 * count:
        raise MalformedTunnelMessage("home notice sequence numbers")
    return HomeNotice(owner, tuple(flows[:count]), struct.unpack_from(f">{count}I", data, start))
