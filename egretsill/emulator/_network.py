"""Emulated links between VMs, with delay, loss and partitions."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from ..endpoints import Address
from ._scheduler import Scheduler

NEAR_SECONDS = 0.0005  # one way within a failure domain
FAR_SECONDS = 0.005  # one way between failure domains


class DatagramReceiver(Protocol):
    """Receiver of the datagrams for an address."""

    def deliver(self, data: bytes, source: Address) -> None:
        """Process a received datagram."""


class Network:
    """Delivers datagrams between hosts.

    Args:
        random: source of randomness for datagram loss.
    """

    def __init__(self, scheduler: Scheduler, random: Random) -> None:
        self._scheduler = scheduler
        self._random = random
        self._domains: dict[str, str] = {}
        self._receivers: dict[Address, DatagramReceiver] = {}
        self._cut: set[str] = set()
        self._powered_off: set[str] = set()
        self._inbound_blocked: set[Address] = set()
        self._loss: dict[str, float] = {}
        self._counted: dict[Address, int] = {}
        self.datagrams_sent = 0

    def add_host(self, host: str, domain: str) -> None:
        """Add a host to a failure domain."""
        self._domains[host] = domain

    def bind(self, address: Address, receiver: DatagramReceiver) -> None:
        """Deliver the datagrams for an address to a receiver."""
        self._receivers[address] = receiver

    def unbind(self, address: Address, receiver: DatagramReceiver) -> None:
        """Remove the receiver of an address, unless another one is bound there by now."""
        if self._receivers.get(address) is receiver:
            del self._receivers[address]

    def cut(self, host: str) -> None:
        """Isolate a host from all others."""
        self._cut.add(host)

    def reconnect(self, host: str) -> None:
        """End the isolation of a host."""
        self._cut.discard(host)

    def power_off(self, host: str) -> None:
        """Cut the power of a host."""
        self._powered_off.add(host)

    def power_on(self, host: str) -> None:
        """Restore the power of a host."""
        self._powered_off.discard(host)

    def set_loss(self, host: str, share: float) -> None:
        """Lose a share of the datagrams to and from a host; 0 ends that."""
        self._loss[host] = share

    def block_inbound(self, address: Address) -> None:
        """Lose every datagram to an address."""
        self._inbound_blocked.add(address)

    def unblock_inbound(self, address: Address) -> None:
        """Stop dropping the datagrams for an address."""
        self._inbound_blocked.discard(address)

    def is_powered_off(self, host: str) -> bool:
        """Return whether a host is without power."""
        return host in self._powered_off

    def is_connected(self, source: str, destination: str) -> bool:
        """Return whether two hosts can reach each other now."""
        if source in self._powered_off or destination in self._powered_off:
            return False
        return source == destination or not {source, destination} & self._cut

    def delay(self, source: str, destination: str) -> float:
        """Return the one-way delay between two hosts."""
        if source == destination:
            return 0.0
        is_near = self._domains.get(source) == self._domains.get(destination)
        return NEAR_SECONDS if is_near else FAR_SECONDS

    def count_datagrams_between(self, addresses: Iterable[Address]) -> None:
        """Count the datagrams among these addresses."""
        for each in addresses:
            self._counted.setdefault(each, 0)

    @property
    def counted_datagrams(self) -> int:
        """Return the number of datagrams among the addresses to count."""
        return sum(self._counted.values())

    def send(self, data: bytes, source: Address, destination: Address) -> None:
        """Send a datagram, unless it is lost."""
        self.datagrams_sent += 1
        if source in self._counted and destination in self._counted:
            self._counted[source] += 1
        if not self.is_connected(source.host, destination.host) or self._is_lost(
            source, destination
        ):
            return
        self.call_on_arrival(
            source.host, destination.host, lambda: self._arrive(data, source, destination)
        )

    def call_on_arrival(self, source: str, destination: str, call: Callable[[], None]) -> None:
        """Schedule a call for the time when data sent now arrives."""
        self._scheduler.call_later(self.delay(source, destination), call)

    def _arrive(self, data: bytes, source: Address, destination: Address) -> None:
        receiver = self._receivers.get(destination)
        if receiver is not None and self.is_connected(source.host, destination.host):
            receiver.deliver(data, source)

    def _is_lost(self, source: Address, destination: Address) -> bool:
        if destination in self._inbound_blocked:
            return True
        share = max(self._loss.get(source.host, 0.0), self._loss.get(destination.host, 0.0))
        return share > 0.0 and source.host != destination.host and self._random.random() < share
