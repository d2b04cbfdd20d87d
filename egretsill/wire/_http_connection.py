"""GET requests over one persistent HTTP/1.1 connection."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import h11
import trio

from ..endpoints import Address

MAXIMUM_HEAD_BYTES = 16_384
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One complete response."""

    status: int
    headers: Mapping[bytes, bytes]
    body: bytes


class _ConnectionClosed(Exception):
    """The server closed the connection before it sent a byte of the response."""


class PersistentHttpConnection:
    """Makes one request at a time and keeps the connection open if the server does.

    Args:
        maximum_body_bytes: a longer response body is a protocol error.
    """

    def __init__(self, maximum_body_bytes: int) -> None:
        self._maximum_body_bytes = maximum_body_bytes
        self._stream: trio.abc.Stream | None = None
        self._connection = h11.Connection(h11.CLIENT)
        self._silence_seconds = math.inf
        self._requests = 0

    @property
    def requests(self) -> int:
        """Return how many requests were sent."""
        return self._requests

    async def get(
        self, address: Address, target: str, silence_seconds: float = math.inf
    ) -> HttpResponse:
        """Return the response; a request on a reused connection that was closed is retried once.

        Args:
            address: the server's endpoint.
            target: path and query.
            silence_seconds: longest wait for the connection, and for each next part of the
                response, however long all of it takes.

        Raises:
            trio.TooSlowError: if the server was silent for longer.
            OSError: if the server can't be reached.
            trio.BrokenResourceError: if the connection broke.
            h11.ProtocolError: if the response is malformed or too large.
        """
        reused = self._stream is not None
        self._silence_seconds = silence_seconds
        try:
            return await self._request_once(address, target)
        except _ConnectionClosed as error:
            await self.aclose()
            if not reused:
                raise trio.BrokenResourceError("closed before an answer") from error
        try:
            return await self._request_once(address, target)
        except _ConnectionClosed as error:
            raise trio.BrokenResourceError("closed before an answer") from error

    async def aclose(self) -> None:
        """Close the connection; the next request opens another."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _request_once(self, address: Address, target: str) -> HttpResponse:
        stream = await self._open(address)
        self._requests += 1
        headers = [("Host", str(address)), ("Accept", "*/*")]
        request = h11.Request(method="GET", target=target, headers=headers)
        data = self._connection.send(request)
        data = (data or b"") + (self._connection.send(h11.EndOfMessage()) or b"")
        try:
            with trio.fail_after(self._silence_seconds):
                await stream.send_all(data)
        except trio.BrokenResourceError as error:
            raise _ConnectionClosed from error
        head = await self._next_response(stream)
        body = await self._read_body(stream)
        await self._keep_or_close()
        return HttpResponse(head.status_code, dict(head.headers), body)

    async def _open(self, address: Address) -> trio.abc.Stream:
        if self._stream is None:
            with trio.fail_after(self._silence_seconds):
                self._stream = await trio.open_tcp_stream(address.host, address.port)
            self._connection = h11.Connection(
                h11.CLIENT, max_incomplete_event_size=MAXIMUM_HEAD_BYTES
            )
        return self._stream

    async def _next_response(self, stream: trio.abc.Stream) -> h11.Response:
        received = 0
        while True:
            event = self._connection.next_event()
            if isinstance(event, h11.Response):
                return event
            if event is h11.NEED_DATA:
                data = await self._receive(stream, received)
                received += len(data)
                self._connection.receive_data(data)
            elif not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError("no response")

    async def _receive(self, stream: trio.abc.Stream, received: int) -> bytes:
        try:
            data = await self._receive_part(stream)
        except trio.BrokenResourceError as error:
            if received:
                raise
            raise _ConnectionClosed from error
        if not data and not received:
            raise _ConnectionClosed
        return data

    async def _receive_part(self, stream: trio.abc.Stream) -> bytes:
        with trio.fail_after(self._silence_seconds):
            return bytes(await stream.receive_some(READ_BYTES))

    async def _read_body(self, stream: trio.abc.Stream) -> bytes:
        body = bytearray()
        while True:
            event = self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if event is h11.NEED_DATA:
                self._connection.receive_data(await self._receive_part(stream))
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                raise h11.RemoteProtocolError("connection closed in the middle of a body")
            if len(body) > self._maximum_body_bytes:
                raise h11.RemoteProtocolError("body too large")

    async def _keep_or_close(self) -> None:
        """Keep the connection for the next request if the server keeps it open."""
        done = self._connection.our_state is h11.DONE and self._connection.their_state is h11.DONE
        if done:
            self._connection.start_next_cycle()
        else:
            await self.aclose()
