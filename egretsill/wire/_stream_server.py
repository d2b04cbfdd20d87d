"""A TCP endpoint that is opened again for as long as it can't be used."""

from __future__ import annotations

import errno
import math
import socket
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

from ..endpoints import Address

RETRY_SECONDS = 0.25
CALM_SECONDS = 5.0  # without an error after one for lack of capacity, since these come in bursts
MAXIMUM_BACKLOG = 65_535  # connections; the operating system lowers it to its own limit

StreamHandler: TypeAlias = Callable[[trio.SocketStream], Awaitable[object]]
EndpointObserver: TypeAlias = Callable[[OSError | None], None]

# The process has no capacity for another connection now; the listener itself is intact.
_CAPACITY_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class StreamServer:
    """Serves a TCP endpoint, and keeps trying to open it while it is unavailable.

    Args:
        address: the endpoint; port 0 selects any free port.
        observe: called with None when connections can be accepted, and with the error when the
            endpoint can't be opened or fails; repeatedly while that lasts.
        reserved: socket bound to the endpoint that doesn't listen yet, used for the first attempt.
    """

    def __init__(
        self,
        address: Address,
        observe: EndpointObserver,
        reserved: socket.socket | None = None,
    ) -> None:
        self._address = address
        self._observe = observe
        self._reserved = reserved

    @property
    def address(self) -> Address:
        """Return the endpoint as configured."""
        return self._address

    async def run(
        self,
        handle: StreamHandler,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled.

        Args:
            handle: called in a task of its own with each connection, which is closed after it.
            task_status: reports the endpoint after the first attempt to open it, as it is bound,
                or as configured if that failed.
        """
        async with trio.open_nursery() as connections:
            listener = await self._open()
            task_status.started(self._address if listener is None else _bound_address(listener))
            while True:
                if listener is not None:
                    await self._accept_all(listener, handle, connections)
                await trio.sleep(RETRY_SECONDS)
                listener = await self._open()

    async def _open(self) -> trio.SocketListener | None:
        try:
            listener = await self._listen()
        except OSError as error:
            self._observe(error)
            return None
        self._observe(None)
        return listener

    async def _listen(self) -> trio.SocketListener:
        reserved, self._reserved = self._reserved, None
        if reserved is None:
            (listener,) = await trio.open_tcp_listeners(
                self._address.port, host=self._address.host, backlog=MAXIMUM_BACKLOG
            )
            return listener
        try:
            reserved.listen(MAXIMUM_BACKLOG)
        except BaseException:
            reserved.close()
            raise
        return trio.SocketListener(trio.socket.from_stdlib_socket(reserved))

    async def _accept_all(
        self, listener: trio.SocketListener, handle: StreamHandler, connections: trio.Nursery
    ) -> None:
        """Accept connections until the listener fails, and close it."""
        patient = _PatientListener(listener, self._observe)
        try:
            await trio.serve_listeners(handle, [patient], handler_nursery=connections)
        except* OSError as group:
            self._observe(next(leaf for leaf in group.exceptions if isinstance(leaf, OSError)))
        except* trio.ClosedResourceError:
            self._observe(OSError(errno.EBADF, "listener closed"))


class _PatientListener(trio.abc.Listener[trio.SocketStream]):
    """Waits while the process has no capacity for another connection.

    trio would write a traceback to standard error for each attempt, which blocks the process if
    nobody reads that.
    """

    def __init__(self, listener: trio.SocketListener, observe: EndpointObserver) -> None:
        self._listener = listener
        self._observe = observe
        self._calm_at = math.inf  # when a lack of capacity counts as over; never if there is none

    async def accept(self) -> trio.SocketStream:
        """Return the next connection.

        Raises:
            OSError: if the listener failed.
        """
        while True:
            stream = None
            try:
                with trio.move_on_at(self._calm_at):
                    stream = await self._listener.accept()
            except OSError as error:
                if error.errno not in _CAPACITY_ERRORS:
                    raise
                self._calm_at = trio.current_time() + CALM_SECONDS
                self._observe(error)
                await trio.sleep(RETRY_SECONDS)
                continue
            if trio.current_time() >= self._calm_at:
                self._calm_at = math.inf
                self._observe(None)
            if stream is not None:
                return stream

    async def aclose(self) -> None:
        """Close the listener."""
        await self._listener.aclose()


def _bound_address(listener: trio.SocketListener) -> Address:
    name = listener.socket.getsockname()
    return Address(name[0], name[1])
