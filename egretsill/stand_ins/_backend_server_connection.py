"""Server side of one HTTP/1.1 connection of the stand-in backend server."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Sequence
from typing import Any

import h11
import trio

RECEIVE_BYTES = 65_536
MAXIMUM_CONTROL_BYTES = 65_536
CUT_DIVISOR = 2

Headers = Sequence[tuple[bytes, bytes]]


class ServerConnection:
    """Server side of one HTTP/1.1 connection."""

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
        """Receive a complete body of at most `MAXIMUM_CONTROL_BYTES`."""
        body = bytearray()
        while isinstance(event := await self.next_event(), h11.Data):
            body += event.data
            if len(body) > MAXIMUM_CONTROL_BYTES:
                raise h11.RemoteProtocolError("body too large")
        return bytes(body)

    async def digest_body(self) -> dict[str, Any]:
        """Receive a body of any size and return its length and SHA-256 digest."""
        digest = hashlib.sha256()
        length = 0
        while isinstance(event := await self.next_event(), h11.Data):
            digest.update(event.data)
            length += len(event.data)
        return {"length": length, "digest": digest.hexdigest()}

    async def stays_open_for(self, seconds: float) -> bool:
        """Wait, and return whether the client kept the connection open throughout."""
        with trio.move_on_after(seconds):
            await self._wait_for_close()
            return False
        return True

    async def cancel_when_closed(self, scope: trio.CancelScope) -> None:
        """Cancel the scope once the client has closed the connection."""
        await self._wait_for_close()
        scope.cancel()

    async def send_json(self, status: int, value: dict[str, Any], headers: Headers = ()) -> None:
        """Send a complete JSON answer."""
        body = json.dumps(value).encode()
        length = (b"content-length", str(len(body)).encode())
        kind = (b"content-type", b"application/json")
        await self._skip_body()
        await self.send_head(status, (length, kind, *headers))
        await self.send_data(body)
        await self.end_answer()

    async def send_cut_answer(self, value: dict[str, Any]) -> None:
        """Send the first half of an answer, then close the connection."""
        body = json.dumps(value).encode()
        await self.send_head(200, ((b"content-length", str(len(body)).encode()),))
        await self.send_data(body[: len(body) // CUT_DIVISOR])
        await trio.aclose_forcefully(self.stream)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers of an answer."""
        await self._send(h11.Response(status_code=status, headers=list(headers)))

    async def send_data(self, data: bytes) -> None:
        """Send part of the body of an answer."""
        await self._send(h11.Data(data=data))

    async def end_answer(self) -> None:
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
