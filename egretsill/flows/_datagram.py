"""Callers' datagrams as an agent gets and gives them, whatever carries them to a balancer."""

from __future__ import annotations

from dataclasses import dataclass

from ..configuration import Address


@dataclass(frozen=True, slots=True)
class IncomingDatagram:
    """One datagram of a caller.

    Attributes:
        service: name of the service whose address it arrived at.
        service_address: where the caller sent it.
        balancer: tunnel endpoint of the balancer that delivered it.
    """

    caller: Address
    service: str
    service_address: Address
    balancer: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """One datagram to a caller, through a balancer."""

    caller: Address
    service_address: Address
    balancer: Address
    payload: bytes
