"""UDP socket shared by the small messages of several slices."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import trio

from ..configuration import Address
from ..observation import Metrics
from ..supervision import Part, Supervisor
from ..wire import (
    BATCH_DATAGRAMS,
    Codec,
    MalformedMessage,
    close_datagram_socket,
    open_datagram_socket,
    read_batches,
)
from ._messages import MAXIMUM_DATAGRAM_BYTES

RECEIVE_BUFFER_BYTES = 1_048_576
FLEET_MARK_BYTES = 4

_PORT = "gossip"


class GossipDrop(enum.Enum):
    """Why a datagram was dropped."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    FOREIGN_FLEET = "foreign-fleet"
    NO_HANDLER = "no-handler"
    BUFFER_FULL = "buffer-full"
    UNREACHABLE = "unreachable"
    RECEIVE_FAILED = "receive-failed"


class GossipSocket:
    """Sends and receives messages of at most `MAXIMUM_DATAGRAM_BYTES`, one per datagram.

    Each datagram starts with a mark of the fleet.

    Args:
        listen: UDP endpoint; port 0 selects any free port.
        types: message data class for each tag, of all slices that use the socket.
        supervisor: contains unexpected exceptions of handlers.
        fleet: name of the fleet; datagrams of other fleets are dropped, which separates two fleets
            that can reach each other. The mark does not protect against forged datagrams.

    Raises:
        OSError: if the endpoint can't be bound.
    """

    def __init__(
        self,
        listen: Address,
        types: Mapping[int, type],
        metrics: Metrics,
        supervisor: Supervisor,
        fleet: str = "",
    ) -> None:
        self._codec: Codec[Any] = Codec("gossip", types)
        self._metrics = metrics
        self._supervisor = supervisor
        self._mark = fleet_mark(fleet)
        self._handlers: dict[type, Callable[[Any, Address], None]] = {}
        self._socket = open_datagram_socket(listen, RECEIVE_BUFFER_BYTES)

    @property
    def address(self) -> Address:
        """Return the endpoint that the socket is bound to."""
        name = self._socket.getsockname()
        return Address(name[0], name[1])

    def register(
        self, message_types: Iterable[type], handler: Callable[[Any, Address], None]
    ) -> None:
        """Call `handler(message, sender)` for each message of these types."""
        for message_type in message_types:
            self._handlers[message_type] = handler

    def send(self, address: Address, message: object) -> bool:
        """Send a message and return whether the operating system accepted it."""
        data = self._mark + self._codec.encode(message)
        if len(data) > FLEET_MARK_BYTES + MAXIMUM_DATAGRAM_BYTES:
            self._drop(GossipDrop.OVERSIZED)
            return False
        try:
            self._socket.sendto(data, address)
        except BlockingIOError:
            self._drop(GossipDrop.BUFFER_FULL)
            return False
        except OSError:
            self._drop(GossipDrop.UNREACHABLE)
            return False
        self._metrics.gossip_messages.increment("sent")
        return True

    async def run(self, task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED) -> None:
        """Receive until the socket is closed; reports the endpoint as started value."""
        task_status.started(self.address)
        await read_batches(
            self._socket,
            self._receive_batch,
            note_error=lambda _: self._drop(GossipDrop.RECEIVE_FAILED),
        )

    def close(self) -> None:
        """Close the socket."""
        close_datagram_socket(self._socket)

    def _receive_batch(self) -> bool:
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, name = self._socket.recvfrom(FLEET_MARK_BYTES + MAXIMUM_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return False
            try:
                self._receive(data, Address(name[0], name[1]))
            except Exception as error:  # It costs this datagram only.
                self._supervisor.note_failure(Part.GOSSIP, error)
        return True

    def _receive(self, data: bytes, sender: Address) -> None:
        if len(data) > FLEET_MARK_BYTES + MAXIMUM_DATAGRAM_BYTES:
            self._drop(GossipDrop.OVERSIZED)
            return
        if not data.startswith(self._mark):
            self._drop(GossipDrop.FOREIGN_FLEET)
            return
        try:
            message = self._codec.decode(data[FLEET_MARK_BYTES:])
        except MalformedMessage as error:
            self._metrics.messages_malformed.increment(error.protocol, error.reason)
            self._drop(GossipDrop.MALFORMED)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._drop(GossipDrop.NO_HANDLER)
            return
        self._metrics.gossip_messages.increment("received")
        handler(message, sender)

    def _drop(self, reason: GossipDrop) -> None:
        self._metrics.datagrams_dropped.increment(_PORT, reason)


def fleet_mark(fleet: str) -> bytes:
    """Return the bytes that every gossip datagram of a fleet begins with."""
    return hashlib.blake2b(fleet.encode(), digest_size=FLEET_MARK_BYTES).digest()
