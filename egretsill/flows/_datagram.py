"""Callers' datagrams as an agent receives and sends them, independent of the transport."""

from __future__ import annotations

from dataclasses import dataclass

from ..configuration import Address


@dataclass(frozen=True, slots=True)
class IncomingDatagram:
    """A datagram from a caller.

    Attributes:
        service: name of the service whose address it arrived at.
        service_address: address that the caller sent it to.
        balancer: tunnel endpoint of the balancer that delivered it.
    """

    caller: Address
    service: str
    service_address: Address
    balancer: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """A datagram to a caller, sent through a balancer."""

    caller: Address
    service_address: Address
    balancer: Address
    payload: bytes
