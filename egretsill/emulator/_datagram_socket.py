"""Emulated UDP socket with the socket methods that processes use."""

from __future__ import annotations

import os
from collections import deque

from ..endpoints import Address
from ._network import Network

MAXIMUM_WAITING = 4_000  # datagrams; the kernel's buffer holds about 3,000 of full size


class EmulatedDatagramSocket:
    """Bound non-blocking socket; trio waits for it through an event file descriptor."""

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self._address = address
        self._waiting: deque[tuple[bytes, Address]] = deque()
        self._descriptor = os.eventfd(0, os.EFD_NONBLOCK)
        network.bind(address, self)

    def fileno(self) -> int:
        """Return a descriptor that is readable while datagrams are queued, or -1 once closed."""
        return self._descriptor

    def getsockname(self) -> tuple[str, int]:
        """Return the address."""
        return self._address

    def recv(self, maximum_bytes: int) -> bytes:
        """Return the next datagram.

        Raises:
            BlockingIOError: if no datagram is queued.
        """
        return self.recvfrom(maximum_bytes)[0]

    def recvfrom(self, maximum_bytes: int) -> tuple[bytes, Address]:
        """Return the next datagram and its sender.

        Raises:
            BlockingIOError: if no datagram is queued.
        """
        if not self._waiting:
            raise BlockingIOError
        data, source = self._waiting.popleft()
        if not self._waiting:
            os.eventfd_read(self._descriptor)
        return data[:maximum_bytes], source

    def sendto(self, data: bytes, destination: tuple[str, int]) -> int:
        """Send a datagram."""
        self._network.send(data, self._address, Address(*destination))
        return len(data)

    def deliver(self, data: bytes, source: Address) -> None:
        """Queue a datagram, or drop it if the socket is closed or the queue full."""
        if self._descriptor < 0 or len(self._waiting) >= MAXIMUM_WAITING:
            return
        if not self._waiting:
            os.eventfd_write(self._descriptor, 1)
        self._waiting.append((data, source))

    def close(self) -> None:
        """Close the socket and drop queued datagrams."""
        if self._descriptor >= 0:
            self._network.unbind(self._address, self)
            os.close(self._descriptor)
            self._descriptor = -1
