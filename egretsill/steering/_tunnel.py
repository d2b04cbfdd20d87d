"""Datagrams between balancers and agents, and between agents that pass packets on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias

import msgpack

from ..wire import Codec, MalformedMessage

TUNNEL_PROTOCOL = "tunnel"
MAXIMUM_PORT = 65_535
MAXIMUM_TARGET_NUMBER = 2**32 - 1
MAXIMUM_HOST_CHARACTERS = 45


def _check_endpoint(host: str, port: int) -> None:
    if not 0 < port <= MAXIMUM_PORT:
        raise MalformedMessage(TUNNEL_PROTOCOL, "port out of range")
    if not 0 < len(host) <= MAXIMUM_HOST_CHARACTERS:
        raise MalformedMessage(TUNNEL_PROTOCOL, "host of the wrong length")


def _is_endpoint(host: Any, port: Any) -> bool:
    """Return whether a decoded host and port have the right types and are in range."""
    if type(host) is not str or type(port) is not int:
        return False
    return 0 < port <= MAXIMUM_PORT and 0 < len(host) <= MAXIMUM_HOST_CHARACTERS


@dataclass(frozen=True, slots=True)
class CallerPacket:
    """A caller's datagram, forwarded to an agent.

    Attributes:
        caller_host: IP number that the caller sent from.
        service_host: IP number of the service address that the caller sent to.
        service_number: service of that address.
        hops: how many agents have passed the packet on.
        balancer_host: tunnel IP number of the balancer that received the packet, set by an agent
            that passes it on; None in packets of the balancer itself, whose endpoint is the
            datagram's source.
        balancer_port: tunnel port of that balancer, or 0.
        payload: the datagram as received.

    Raises:
        MalformedMessage: if a host, port or number is out of range.
    """

    caller_host: str
    caller_port: int
    service_host: str
    service_port: int
    service_number: int
    hops: int
    balancer_host: str | None
    balancer_port: int
    payload: bytes

    def __post_init__(self) -> None:
        _check_endpoint(self.caller_host, self.caller_port)
        _check_endpoint(self.service_host, self.service_port)
        if self.balancer_host is not None:
            _check_endpoint(self.balancer_host, self.balancer_port)
        if self.hops < 0:
            raise MalformedMessage(TUNNEL_PROTOCOL, "hops out of range")


@dataclass(frozen=True, slots=True)
class ReplyPacket:
    """A datagram for a caller, sent to a balancer from the agent's tunnel endpoint.

    Attributes:
        caller_host: IP number to send to.
        service_host: IP number of the service address to send from.
        payload: the datagram to send.

    Raises:
        MalformedMessage: if a host or port is out of range.
    """

    caller_host: str
    caller_port: int
    service_host: str
    service_port: int
    payload: bytes

    def __post_init__(self) -> None:
        _check_endpoint(self.caller_host, self.caller_port)
        _check_endpoint(self.service_host, self.service_port)


@dataclass(frozen=True, slots=True)
class AgentProbe:
    """A balancer's probe, which the agent answers at once."""

    sequence: int


@dataclass(frozen=True, slots=True)
class AgentProbeAnswer:
    """An agent's answer to an `AgentProbe`, sent from its tunnel endpoint.

    Attributes:
        sequence: sequence number of the probe.
        target_number: the agent's target.
        draining: whether the agent takes no new flows.
    """

    sequence: int
    target_number: int
    draining: bool


@dataclass(frozen=True, slots=True)
class OwnerNotice:
    """Reports the endpoint of a target's agent to a balancer or agent that may not know it.

    Attributes:
        tunnel_host: IP number of the tunnel endpoint of the target's agent.

    Raises:
        MalformedMessage: if the host or a number is out of range.
    """

    target_number: int
    service_number: int
    tunnel_host: str
    tunnel_port: int

    def __post_init__(self) -> None:
        _check_endpoint(self.tunnel_host, self.tunnel_port)
        if not 0 < self.target_number <= MAXIMUM_TARGET_NUMBER:
            raise MalformedMessage(TUNNEL_PROTOCOL, "target number out of range")


TunnelMessage: TypeAlias = CallerPacket | ReplyPacket | AgentProbe | AgentProbeAnswer | OwnerNotice


_CALLER_PACKET_TAG = 1
_REPLY_PACKET_TAG = 2
_REPLY_ARRAY_LENGTH = 6


def make_tunnel_codec() -> Codec[TunnelMessage]:
    """Return the codec of the tunnel protocol."""
    return Codec(
        TUNNEL_PROTOCOL,
        {
            _CALLER_PACKET_TAG: CallerPacket,
            _REPLY_PACKET_TAG: ReplyPacket,
            3: AgentProbe,
            4: AgentProbeAnswer,
            5: OwnerNotice,
        },
    )


class ReplyFields(NamedTuple):
    """The fields of a `ReplyPacket` in the form that a balancer uses."""

    caller: tuple[str, int]
    service_address: tuple[str, int]
    payload: bytes


def decode_reply(data: bytes) -> ReplyFields | None:
    """Return the fields of a `ReplyPacket` that the codec would accept, or None for other data.

    This is the balancer's fast path for nearly all datagrams of agents; data for which it returns
    None is decoded by the codec.
    """
    try:
        array = msgpack.unpackb(data, use_list=False, raw=False)
    except Exception:
        return None
    if type(array) is not tuple or len(array) != _REPLY_ARRAY_LENGTH:
        return None
    tag, caller_host, caller_port, service_host, service_port, payload = array
    if tag != _REPLY_PACKET_TAG or type(tag) is not int or type(payload) is not bytes:
        return None
    if not (_is_endpoint(caller_host, caller_port) and _is_endpoint(service_host, service_port)):
        return None
    return ReplyFields((caller_host, caller_port), (service_host, service_port), payload)


class CallerPacketEncoder:
    """Encodes callers' packets at the balancer with the same result as the codec, but faster.

    The codec checks and copies a data class for each message, which takes longer than all of
    steering. Here the fields go to msgpack unchecked: they come from the system's own sockets.
    """

    def __init__(self) -> None:
        self._pack = msgpack.Packer(use_bin_type=True).pack

    def encode(
        self,
        caller: tuple[str, int],
        service_address: tuple[str, int],
        service_number: int,
        payload: bytes,
    ) -> bytes:
        """Return an encoded `CallerPacket` that no agent has passed on."""
        caller_host, caller_port = caller[:2]
        service_host, service_port = service_address
        encoded: bytes = self._pack(
            (
                _CALLER_PACKET_TAG,
                caller_host,
                caller_port,
                service_host,
                service_port,
                service_number,
                0,
                None,
                0,
                payload,
            )
        )
        return encoded
