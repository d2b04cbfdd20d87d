"""The TCP endpoint where other processes relay requests and fetch configuration."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, TypeAlias

import trio

from ..configuration import Address
from ..observation import Metrics
from ..supervision import Connections, Part, Supervisor
from ..wire import Codec, MalformedMessage, StreamDecoder
from ._configuration_link import next_message

FIRST_MESSAGE_SECONDS = 5.0
MAXIMUM_STREAMS = 8192

StreamHandler: TypeAlias = Callable[[trio.abc.Stream, Any, StreamDecoder[Any]], Awaitable[None]]


class StreamEndpoint:
    """Dispatches each incoming stream to the handler registered for its first message.

    Args:
        listen: TCP endpoint.
        types: message class by tag, of all parts that use streams.
        supervisor: contains unexpected exceptions of streams.
    """

    def __init__(
        self,
        listen: Address,
        types: Mapping[int, type],
        metrics: Metrics,
        supervisor: Supervisor,
    ) -> None:
        self._listen = listen
        self._codec: Codec[Any] = Codec("relay", types)
        self._metrics = metrics
        self._handlers: dict[type, StreamHandler] = {}
        self._connections = Connections(Part.RELAY, MAXIMUM_STREAMS, supervisor)

    def register(self, message_types: Iterable[type], handler: StreamHandler) -> None:
        """Dispatch streams whose first message has one of these types to `handler`."""
        for message_type in message_types:
            self._handlers[message_type] = handler

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; report as started once the endpoint is bound.

        Raises:
            OSError: if the endpoint can't be bound.
        """
        listeners = await trio.open_tcp_listeners(self._listen.port, host=self._listen.host)
        task_status.started()
        await trio.serve_listeners(self.serve, listeners)

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one stream until it ends; close it at once if too many are open."""
        await self._connections.serve(stream, lambda: self._serve_open(stream))

    async def _serve_open(self, stream: trio.abc.Stream) -> None:
        try:
            await self._dispatch(stream)
        except MalformedMessage as error:
            self._metrics.messages_malformed.increment(error.protocol, error.reason)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _dispatch(self, stream: trio.abc.Stream) -> None:
        decoder: StreamDecoder[Any] = StreamDecoder(self._codec)
        message = None
        with trio.move_on_after(FIRST_MESSAGE_SECONDS):
            message = await next_message(stream, decoder)
        if message is None:
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            raise MalformedMessage(self._codec.protocol, "nobody takes this message")
        await handler(stream, message, decoder)
