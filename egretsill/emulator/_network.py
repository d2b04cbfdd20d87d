"""Links between VMs: delay, loss and cuts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from ..endpoints import Address
from ._scheduler import Scheduler

NEAR_SECONDS = 0.0005  # one way within a failure domain
FAR_SECONDS = 0.005  # one way between failure domains


class DatagramReceiver(Protocol):
    """What takes datagrams at an address."""

    def deliver(self, data: bytes, source: Address) -> None:
        """Take a datagram."""


class Network:
    """Delivers between hosts.

    Args:
        random: decides which datagrams are lost.
    """

    def __init__(self, scheduler: Scheduler, random: Random) -> None:
        self._scheduler = scheduler
        self._random = random
        self._domains: dict[str, str] = {}
        self._receivers: dict[Address, DatagramReceiver] = {}
        self._cut: set[str] = set()
        self._dark: set[str] = set()
        self._deaf: set[Address] = set()
        self._loss: dict[str, float] = {}
        self._counted: dict[Address, int] = {}
        self.carried = 0

    def place(self, host: str, domain: str) -> None:
        """Put a host into a failure domain."""
        self._domains[host] = domain

    def bind(self, address: Address, receiver: DatagramReceiver) -> None:
        """Let datagrams for an address go to a receiver."""
        self._receivers[address] = receiver

    def unbind(self, address: Address, receiver: DatagramReceiver) -> None:
        """Stop that, unless the address has another receiver by now."""
        if self._receivers.get(address) is receiver:
            del self._receivers[address]

    def cut(self, host: str) -> None:
        """Let nothing pass between a host and any other."""
        self._cut.add(host)

    def mend(self, host: str) -> None:
        """End a cut."""
        self._cut.discard(host)

    def darken(self, host: str) -> None:
        """Take the power from a host."""
        self._dark.add(host)

    def light(self, host: str) -> None:
        """Give it back."""
        self._dark.discard(host)

    def lose(self, host: str, share: float) -> None:
        """Lose a share of the datagrams to and from a host; 0 ends that."""
        self._loss[host] = share

    def deafen(self, address: Address) -> None:
        """Lose every datagram to an address."""
        self._deaf.add(address)

    def undeafen(self, address: Address) -> None:
        """End that."""
        self._deaf.discard(address)

    def is_dark(self, host: str) -> bool:
        """Return whether a host has no power."""
        return host in self._dark

    def passes(self, source: str, destination: str) -> bool:
        """Return whether anything passes between two hosts now."""
        if source in self._dark or destination in self._dark:
            return False
        return source == destination or not {source, destination} & self._cut

    def delay(self, source: str, destination: str) -> float:
        """Return how long something takes from one host to another."""
        if source == destination:
            return 0.0
        is_near = self._domains.get(source) == self._domains.get(destination)
        return NEAR_SECONDS if is_near else FAR_SECONDS

    def count_between(self, addresses: Iterable[Address]) -> None:
        """Count the datagrams from any of these addresses to any other of them."""
        for each in addresses:
            self._counted.setdefault(each, 0)

    @property
    def counted(self) -> int:
        """Return how many of those there were."""
        return sum(self._counted.values())

    def send(self, data: bytes, source: Address, destination: Address) -> None:
        """Carry a datagram, unless it is lost."""
        self.carried += 1
        if source in self._counted and destination in self._counted:
            self._counted[source] += 1
        if not self.passes(source.host, destination.host) or self._is_lost(source, destination):
            return
        self.later(source.host, destination.host, lambda: self._arrive(data, source, destination))

    def later(self, source: str, destination: str, call: Callable[[], None]) -> None:
        """Call something when what one host sends now reaches another."""
        self._scheduler.call_later(self.delay(source, destination), call)

    def _arrive(self, data: bytes, source: Address, destination: Address) -> None:
        receiver = self._receivers.get(destination)
        if receiver is not None and self.passes(source.host, destination.host):
            receiver.deliver(data, source)

    def _is_lost(self, source: Address, destination: Address) -> bool:
        if destination in self._deaf:
            return True
        share = max(self._loss.get(source.host, 0.0), self._loss.get(destination.host, 0.0))
        return share > 0.0 and source.host != destination.host and self._random.random() < share
