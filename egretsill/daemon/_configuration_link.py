"""Configuration requests between processes over TCP, and the responses to them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio

from ..configuration import (
    CONFIGURATION_TYPES,
    Address,
    Announcement,
    ConfigurationMessage,
    ConfigurationRequest,
    ConfigurationResponse,
    HeadRequest,
    HeadResponse,
    IndexRequest,
    IndexResponse,
    NoConfiguration,
    PeerUnreachable,
    ServicesRequest,
    ServicesResponse,
)
from ..wire import Codec, MalformedMessage, StreamDecoder

READ_BYTES = 65_536
MAXIMUM_REQUESTS_PER_STREAM = 64
IDLE_SECONDS = 5.0

CONFIGURATION_CODEC: Codec[Any] = Codec("configuration", CONFIGURATION_TYPES)


async def fetch_configuration(
    relay: Address, request: ConfigurationRequest
) -> ConfigurationResponse:
    """Send one configuration request to a relay endpoint and return the response.

    There is no timeout here: the calling code sets one.

    Raises:
        PeerUnreachable: if the peer can't be reached or sends no valid response.
    """
    try:
        stream = await trio.open_tcp_stream(relay.host, relay.port)
        async with stream:
            await stream.send_all(CONFIGURATION_CODEC.encode(request))
            return await _receive_response(relay, stream)
    except (OSError, trio.BrokenResourceError, MalformedMessage) as error:
        raise PeerUnreachable(str(relay), type(error).__name__) from error


async def serve_requests(
    respond: Callable[[ConfigurationRequest], ConfigurationResponse],
    stream: trio.abc.Stream,
    first: ConfigurationMessage,
    decoder: StreamDecoder[Any],
) -> None:
    """Respond to the configuration requests of a stream, of which `first` has been read already.

    Raises:
        MalformedMessage: if a message is malformed or isn't a configuration request.
    """
    message: ConfigurationMessage | None = first
    for _ in range(MAXIMUM_REQUESTS_PER_STREAM):
        match message:
            case HeadRequest() | IndexRequest() | ServicesRequest():
                await stream.send_all(CONFIGURATION_CODEC.encode(respond(message)))
            case None:
                return
            case _:
                raise MalformedMessage(CONFIGURATION_CODEC.protocol, "no question")
        message = None
        with trio.move_on_after(IDLE_SECONDS):
            message = await next_message(stream, decoder)


async def next_message(stream: trio.abc.Stream, decoder: StreamDecoder[Any]) -> Any:
    """Return the next message of a stream, or None at its end.

    Raises:
        MalformedMessage: if the data isn't a valid message.
    """
    data = b""
    while True:
        for message in decoder.feed(data):
            return message
        data = bytes(await stream.receive_some(READ_BYTES))
        if not data:
            return None


async def _receive_response(relay: Address, stream: trio.abc.Stream) -> ConfigurationResponse:
    decoder: StreamDecoder[Any] = StreamDecoder(CONFIGURATION_CODEC)
    match await next_message(stream, decoder):
        case HeadResponse() | IndexResponse() | ServicesResponse() | NoConfiguration() as response:
            return response
        case Announcement() | HeadRequest() | IndexRequest() | ServicesRequest():
            raise PeerUnreachable(str(relay), "no answer")
        case _:
            raise PeerUnreachable(str(relay), "closed")
