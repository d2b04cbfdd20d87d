"""Transport of relay messages over byte streams between agents."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Iterable
from typing import Any, Protocol

import trio

from ..wire import Codec, MalformedMessage, StreamDecoder
from ._messages import RELAY_TYPES, RelayMessage

RECEIVE_BYTES = 65_536
UNACKNOWLEDGED_MILLISECONDS = 10_000

RELAY_CODEC: Codec[RelayMessage] = Codec("relay", RELAY_TYPES)


class LinkBroken(Exception):
    """A link was closed or carried malformed data.

    Attributes:
        malformed: whether it carried malformed data.
    """

    def __init__(self, malformed: bool) -> None:
        super().__init__("malformed" if malformed else "closed")
        self.malformed = malformed


class MessageLink(Protocol):
    """Sends and receives relay messages in order."""

    async def send(self, message: RelayMessage) -> None:
        """Send a message.

        Raises:
            LinkBroken: if the other end has closed the link.
        """

    async def receive(self) -> RelayMessage:
        """Return the next message.

        Raises:
            LinkBroken: if the link was closed or carried malformed data.
        """

    async def close(self) -> None:
        """Close at once."""


class StreamLink:
    """A link on a byte stream.

    Args:
        stream: the stream, which the link now owns.
        decoder: the decoder of the stream, if any messages were received already.
        received: those messages.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        decoder: StreamDecoder[Any] | None = None,
        received: Iterable[RelayMessage] = (),
    ) -> None:
        self._stream = stream
        if isinstance(stream, trio.SocketStream):
            # Unacknowledged data on a lost path makes the kernel close the connection.
            stream.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS
            )
        self._decoder = decoder or StreamDecoder(RELAY_CODEC)
        self._received = deque(received)

    async def send(self, message: RelayMessage) -> None:
        """Send a message; not reentrant.

        Raises:
            LinkBroken: if the other end has closed the link.
        """
        try:
            await self._stream.send_all(RELAY_CODEC.encode(message))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkBroken(False) from error

    async def receive(self) -> RelayMessage:
        """Return the next message.

        Raises:
            LinkBroken: if the link was closed or carried malformed data.
        """
        try:
            self._received.extend(self._decoder.feed(b""))
            while not self._received:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                if not data:
                    raise LinkBroken(False)
                self._received.extend(self._decoder.feed(bytes(data)))
        except MalformedMessage as error:
            raise LinkBroken(True) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkBroken(False) from error
        return self._received.popleft()

    async def close(self) -> None:
        """Close at once."""
        await trio.aclose_forcefully(self._stream)
