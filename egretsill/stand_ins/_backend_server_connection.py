"""The stand-in backend server's side of one HTTP/1.1 connection."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Sequence
from typing import Any

import h11
import trio

RECEIVE_BYTES = 65_536
MAXIMUM_CONTROL_BYTES = 65_536
CUT_FRACTION = 2

Headers = Sequence[tuple[bytes, bytes]]


class ServerConnection:
    """The server's side of one HTTP/1.1 connection."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.SERVER)

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the request."""
        while True:
            event = self.http.next_event()
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            self.http.receive_data(bytes(await self.stream.receive_some(RECEIVE_BYTES)))

    async def receive_body(self) -> bytes:
        """Return the whole of a small body."""
        body = bytearray()
        while isinstance(event := await self.next_event(), h11.Data):
            body += event.data
            if len(body) > MAXIMUM_CONTROL_BYTES:
                raise h11.RemoteProtocolError("body too large")
        return bytes(body)

    async def digest_body(self) -> dict[str, Any]:
        """Take a body of any size and return its length and digest."""
        digest = hashlib.sha256()
        length = 0
        while isinstance(event := await self.next_event(), h11.Data):
            digest.update(event.data)
            length += len(event.data)
        return {"length": length, "digest": digest.hexdigest()}

    async def stays_open(self, seconds: float) -> bool:
        """Wait and return whether the client kept the connection meanwhile."""
        with trio.move_on_after(seconds):
            await self._wait_for_close()
            return False
        return True

    async def cancel_when_closed(self, scope: trio.CancelScope) -> None:
        """Cancel the scope once the client has closed the connection."""
        await self._wait_for_close()
        scope.cancel()

    async def answer_json(self, status: int, value: dict[str, Any], headers: Headers = ()) -> None:
        """Send a whole answer."""
        body = json.dumps(value).encode()
        length = (b"content-length", str(len(body)).encode())
        kind = (b"content-type", b"application/json")
        await self._skip_body()
        await self.begin(status, (length, kind, *headers))
        await self.send_data(body)
        await self.end()

    async def answer_cut(self, value: dict[str, Any]) -> None:
        """Send half an answer and close."""
        body = json.dumps(value).encode()
        await self.begin(200, ((b"content-length", str(len(body)).encode()),))
        await self.send_data(body[: len(body) // CUT_FRACTION])
        await trio.aclose_forcefully(self.stream)

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        await self._send(h11.Response(status_code=status, headers=list(headers)))

    async def send_data(self, data: bytes) -> None:
        """Send a piece of an answer."""
        await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """End an answer."""
        await self._send(h11.EndOfMessage())

    async def _send(self, event: h11.Response | h11.Data | h11.EndOfMessage) -> None:
        await self.stream.send_all(self.http.send(event) or b"")

    async def _skip_body(self) -> None:
        while self.http.their_state is h11.SEND_BODY:
            await self.next_event()

    async def _wait_for_close(self) -> None:
        try:
            while data := await self.stream.receive_some(RECEIVE_BYTES):
                self.http.receive_data(bytes(data))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
