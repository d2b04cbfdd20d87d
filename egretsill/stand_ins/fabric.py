"""Stand-in for the fabric: forwards each packet of a caller to a randomly chosen balancer.

A real fabric preserves the caller's address. Loopback sockets can't, so the stand-in opens one
socket per caller, and balancers see the address of that socket as the caller's.
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
    """Distributes packets over the active balancers.

    Args:
        service_addresses: addresses that callers send to.
        balancers: each balancer's listener for each service address, by balancer name.
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
        self._active_balancers = list(self._balancers)
        self._random = random
        self._loss = loss
        self._caller_sockets: OrderedDict[tuple[Address, Address], socket.socket] = OrderedDict()
        self._packets = 0

    @property
    def packets(self) -> int:
        """Return the number of packets received from callers."""
        return self._packets

    @property
    def active_balancers(self) -> Sequence[str]:
        """Return the names of the balancers that packets are forwarded to."""
        return tuple(self._active_balancers)

    def set_active_balancers(self, names: Sequence[str]) -> None:
        """Forward packets only to these balancers from now on; unknown names are ignored."""
        self._active_balancers = [name for name in names if name in self._balancers]

    def add_balancer(self, name: str, listeners: Mapping[Address, Address]) -> None:
        """Add a balancer; it gets packets once `set_active_balancers` names it."""
        self._balancers[name] = listeners

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Forward packets until cancelled."""
        async with trio.open_nursery() as nursery:
            sockets = [
                open_datagram_socket(address, RECEIVE_BUFFER_BYTES)
                for address in self._service_addresses
            ]
            try:
                for address, each in zip(self._service_addresses, sockets, strict=True):
                    nursery.start_soon(self._forward_inbound, address, each, nursery)
                task_status.started()
                await trio.sleep_forever()
            finally:
                for each in [*sockets, *self._caller_sockets.values()]:
                    close_datagram_socket(each)

    async def _forward_inbound(
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
                self._forward_to_balancer(
                    service_address, listener, Address(*caller[:2]), payload, nursery
                )

    def _forward_to_balancer(
        self,
        service_address: Address,
        listener: socket.socket,
        caller: Address,
        payload: bytes,
        nursery: trio.Nursery,
    ) -> None:
        self._packets += 1
        if not self._active_balancers or self._random.random() < self._loss:
            return
        key = (service_address, caller)
        caller_socket = self._caller_sockets.get(key)
        if caller_socket is None:
            caller_socket = self._open_caller_socket(key)
            nursery.start_soon(self._forward_outbound, caller_socket, listener, caller)
        self._caller_sockets.move_to_end(key)
        balancer = self._balancers[self._random.choice(self._active_balancers)].get(service_address)
        if balancer is None:
            return
        with suppress(OSError):
            caller_socket.sendto(payload, tuple(balancer))

    def _open_caller_socket(self, key: tuple[Address, Address]) -> socket.socket:
        if len(self._caller_sockets) >= MAXIMUM_CALLERS:
            _, oldest = self._caller_sockets.popitem(last=False)
            close_datagram_socket(oldest)
        caller_socket = open_datagram_socket(Address(key[0].host, 0), RECEIVE_BUFFER_BYTES)
        self._caller_sockets[key] = caller_socket
        return caller_socket

    async def _forward_outbound(
        self, caller_socket: socket.socket, listener: socket.socket, caller: Address
    ) -> None:
        while True:
            try:
                await trio.lowlevel.wait_readable(caller_socket)
            except (OSError, trio.ClosedResourceError):
                return
            for _ in range(BATCH_DATAGRAMS):
                try:
                    payload = caller_socket.recv(LARGEST_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    continue
                if self._random.random() >= self._loss:
                    with suppress(OSError):
                        listener.sendto(payload, tuple(caller))
