"""A stand-in for the fabric: hands each packet of a caller to any balancer.

On a real network the fabric leaves the caller's address as it is. Over loopback sockets it can't,
so each caller is given a socket of its own here, and balancers see that socket as the caller.
"""

from __future__ import annotations

import socket
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from contextlib import suppress
from random import Random

import trio

from ..configuration import Address
from ..wire import close_datagram_socket, open_datagram_socket

LARGEST_DATAGRAM_BYTES = 65_536
BATCH_DATAGRAMS = 64
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
MAXIMUM_CALLERS = 4096


class Fabric:
    """Sprays packets over the balancers that it feeds.

    Args:
        service_addresses: where callers send to.
        balancers: for each balancer's name, its own listener for each service address.
        random: chooses a balancer for each packet.
        loss: share of packets that are dropped, in each direction.
    """

    def __init__(
        self,
        service_addresses: Sequence[Address],
        balancers: Mapping[str, Mapping[Address, Address]],
        random: Random,
        loss: float = 0.0,
    ) -> None:
        self._service_addresses = tuple(service_addresses)
        self._balancers = dict(balancers)
        self._fed = list(self._balancers)
        self._random = random
        self._loss = loss
        self._callers: OrderedDict[tuple[Address, Address], socket.socket] = OrderedDict()
        self._packets = 0

    @property
    def packets(self) -> int:
        """Return how many packets of callers came in."""
        return self._packets

    @property
    def fed(self) -> Sequence[str]:
        """Return the names of the balancers that get packets."""
        return tuple(self._fed)

    def feed(self, names: Sequence[str]) -> None:
        """Hand packets to these balancers and no others from now on."""
        self._fed = [name for name in names if name in self._balancers]

    def add_balancer(self, name: str, listeners: Mapping[Address, Address]) -> None:
        """Make a new balancer known; it gets packets once it is fed."""
        self._balancers[name] = listeners

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Carry packets until cancelled."""
        async with trio.open_nursery() as nursery:
            sockets = [
                open_datagram_socket(address, RECEIVE_BUFFER_BYTES)
                for address in self._service_addresses
            ]
            try:
                for address, each in zip(self._service_addresses, sockets, strict=True):
                    nursery.start_soon(self._carry_in, address, each, nursery)
                task_status.started()
                await trio.sleep_forever()
            finally:
                for each in [*sockets, *self._callers.values()]:
                    close_datagram_socket(each)

    async def _carry_in(
        self, service_address: Address, listener: socket.socket, nursery: trio.Nursery
    ) -> None:
        while True:
            await trio.lowlevel.wait_readable(listener)
            for _ in range(BATCH_DATAGRAMS):
                try:
                    payload, caller = listener.recvfrom(LARGEST_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                self._hand_over(service_address, listener, Address(*caller[:2]), payload, nursery)

    def _hand_over(
        self,
        service_address: Address,
        listener: socket.socket,
        caller: Address,
        payload: bytes,
        nursery: trio.Nursery,
    ) -> None:
        self._packets += 1
        if not self._fed or self._random.random() < self._loss:
            return
        key = (service_address, caller)
        outside = self._callers.get(key)
        if outside is None:
            outside = self._admit(key)
            nursery.start_soon(self._carry_out, outside, listener, caller)
        self._callers.move_to_end(key)
        balancer = self._balancers[self._random.choice(self._fed)].get(service_address)
        if balancer is None:
            return
        with suppress(OSError):
            outside.sendto(payload, tuple(balancer))

    def _admit(self, key: tuple[Address, Address]) -> socket.socket:
        if len(self._callers) >= MAXIMUM_CALLERS:
            _, oldest = self._callers.popitem(last=False)
            close_datagram_socket(oldest)
        outside = open_datagram_socket(Address(key[0].host, 0), RECEIVE_BUFFER_BYTES)
        self._callers[key] = outside
        return outside

    async def _carry_out(
        self, outside: socket.socket, listener: socket.socket, caller: Address
    ) -> None:
        while True:
            try:
                await trio.lowlevel.wait_readable(outside)
            except (OSError, trio.ClosedResourceError):
                return
            for _ in range(BATCH_DATAGRAMS):
                try:
                    payload = outside.recv(LARGEST_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                if self._random.random() >= self._loss:
                    with suppress(OSError):
                        listener.sendto(payload, tuple(caller))
