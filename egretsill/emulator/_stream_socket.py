"""Emulated TCP sockets that trio's functions for connections and listeners can use."""

from __future__ import annotations

import contextvars
import errno
import socket
from collections import deque
from typing import Any

import trio
from trio.socket import SocketType

from ..endpoints import Address
from ._network import Network

CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host")
FIRST_FREE_PORT = 50_000


class StreamSocketFactory(trio.abc.SocketFactory):
    """Creates sockets for the host of the calling task, and keeps the listening sockets."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.listening: dict[Address, EmulatedStreamSocket] = {}
        self._next_port = FIRST_FREE_PORT

    def socket(
        self,
        family: socket.AddressFamily | int = socket.AF_INET,
        type: socket.SocketKind | int = socket.SOCK_STREAM,
        proto: int = 0,
    ) -> SocketType:
        """Return an unbound, unconnected socket.

        Raises:
            OSError: if another socket type than TCP over IPv4 is requested.
        """
        if family != socket.AF_INET or type != socket.SOCK_STREAM:
            raise OSError(errno.EAFNOSUPPORT, "only TCP over IPv4 is emulated")
        return EmulatedStreamSocket(self, CURRENT_HOST.get())

    def next_address(self, host: str) -> Address:
        """Return a free address of a host."""
        self._next_port += 1
        return Address(host, self._next_port)


class EmulatedStreamSocket(SocketType):
    """One end of a connection, or a listener."""

    type = socket.SOCK_STREAM
    family = socket.AF_INET
    proto = 0

    def __init__(self, fabric: StreamSocketFactory, host: str) -> None:
        self._fabric = fabric
        self._address = Address(host, 0)
        self._peer: EmulatedStreamSocket | None = None
        self._received: deque[bytes] = deque()
        self._backlog: deque[EmulatedStreamSocket] = deque()
        self._changed = trio.Event()
        self._is_closed = False
        self._is_write_shut_down = False
        self._is_at_eof = False
        self._is_reset = False

    @property
    def did_shutdown_SHUT_WR(self) -> bool:  # noqa: N802 - trio's name
        """Return whether the sending direction is shut down."""
        return self._is_write_shut_down

    def setsockopt(self, *_: Any) -> None:
        """Do nothing: socket options have no effect in the emulation."""

    def getsockopt(self, level: int, option: int, *_: Any) -> Any:
        """Return whether the socket is listening, the only option that trio reads."""
        return int(self._fabric.listening.get(self._address) is self)

    def getsockname(self) -> Address:
        """Return its own address."""
        return self._address

    def getpeername(self) -> Address:
        """Return the other end's address.

        Raises:
            OSError: if the socket isn't connected.
        """
        if self._peer is None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self._peer._address

    async def bind(self, address: Any) -> None:
        """Bind to an address.

        Raises:
            OSError: if another socket listens there.
        """
        await trio.lowlevel.checkpoint()
        self._address = Address(address[0], address[1])
        if self._address in self._fabric.listening:
            raise OSError(errno.EADDRINUSE, str(self._address))

    def listen(self, backlog: int = 0) -> None:
        """Start to accept connections."""
        self._fabric.listening[self._address] = self

    async def accept(self) -> tuple[SocketType, Address]:
        """Return the next connection.

        Raises:
            OSError: if the listener is closed.
        """
        await trio.lowlevel.checkpoint()
        while not self._backlog:
            if self._is_closed:
                raise OSError(errno.EBADF, "closed")
            await self._wait()
        accepted = self._backlog.popleft()
        return accepted, accepted.getpeername()

    async def connect(self, address: Any) -> None:
        """Connect to a listener; wait forever if the host is unreachable.

        Raises:
            OSError: if no socket listens there.
        """
        network, target = self._fabric.network, Address(address[0], address[1])
        if self._address.port == 0:
            self._address = self._fabric.next_address(self._address.host)
        await trio.sleep(network.delay(self._address.host, target.host))
        if not network.is_connected(self._address.host, target.host):
            await trio.sleep_forever()
        listener = self._fabric.listening.get(target)
        if listener is None:
            await trio.sleep(network.delay(target.host, self._address.host))
            raise OSError(errno.ECONNREFUSED, str(target))
        other = EmulatedStreamSocket(self._fabric, target.host)
        other._address, other._peer, self._peer = target, self, other
        listener._backlog.append(other)
        listener._notify_waiters()
        await trio.sleep(network.delay(target.host, self._address.host))

    async def send(self, data: Any, flags: int = 0) -> int:
        """Send all data; if the peer is unreachable, the data is lost without an error.

        Raises:
            OSError: if the connection is closed or reset.
        """
        await trio.lowlevel.checkpoint()
        if self._is_closed:
            raise OSError(errno.EBADF, "closed")
        if self._is_reset or self._peer is None:
            raise OSError(errno.EPIPE, "the other end is gone")
        self._transmit(bytes(data))
        return len(data)

    async def recv(self, maximum_bytes: int, flags: int = 0) -> bytes:
        """Return received data, or empty bytes at the end of the stream.

        Raises:
            OSError: if the socket is closed or the peer reset the connection.
        """
        await trio.lowlevel.checkpoint()
        while not self._received:
            if self._is_closed:
                raise OSError(errno.EBADF, "closed")
            if self._is_reset:
                raise OSError(errno.ECONNRESET, "reset")
            if self._is_at_eof:
                return b""
            await self._wait()
        data = self._received.popleft()
        if len(data) > maximum_bytes:
            self._received.appendleft(data[maximum_bytes:])
        return data[:maximum_bytes]

    def shutdown(self, how: int) -> None:
        """Shut down the sending direction."""
        self._is_write_shut_down = True
        self._transmit(b"")

    def close(self) -> None:
        """Close the socket, which the peer sees as the end of the stream if it is reachable."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._fabric.listening.get(self._address) is self:
            del self._fabric.listening[self._address]
        self._transmit(b"")
        self._notify_waiters()

    def fileno(self) -> int:
        """Return -1: there is no file descriptor."""
        return -1

    def _transmit(self, data: bytes) -> None:
        peer, network = self._peer, self._fabric.network
        if peer is not None and network.is_connected(self._address.host, peer._address.host):
            network.call_on_arrival(
                self._address.host, peer._address.host, lambda: peer._receive(data)
            )

    def _receive(self, data: bytes) -> None:
        if self._is_closed:
            if data and self._peer is not None:
                self._peer._is_reset = True
                self._peer._notify_waiters()
            return
        if data:
            self._received.append(data)
        else:
            self._is_at_eof = True
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _wait(self) -> None:
        await self._changed.wait()
