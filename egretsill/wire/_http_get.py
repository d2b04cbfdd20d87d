"""A single HTTP/1.1 GET request, for small health, load and status pages."""

from __future__ import annotations

from dataclasses import dataclass

import h11
import trio

MAXIMUM_PAGE_BYTES = 4 * 1024 * 1024
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class HttpPage:
    """The complete response to one request."""

    status: int
    body: bytes


class PageUnavailable(Exception):
    """A page could not be read.

    Attributes:
        host: IP number of the server.
        reason: short description of the error.
    """

    def __init__(self, host: str, port: int, path: str, reason: str) -> None:
        super().__init__(f"{host}:{port}{path}: {reason}")
        self.host = host
        self.port = port
        self.path = path
        self.reason = reason


async def get_page(host: str, port: int, path: str, timeout_seconds: float) -> HttpPage:
    """Return the page at `path`.

    Raises:
        PageUnavailable: if there is no complete response within `timeout_seconds`.
    """
    try:
        with trio.fail_after(timeout_seconds):
            stream = await trio.open_tcp_stream(host, port)
            async with stream:
                return await _exchange(stream, f"{host}:{port}", path)
    except trio.TooSlowError:
        raise PageUnavailable(host, port, path, "timeout") from None
    except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
        raise PageUnavailable(host, port, path, type(error).__name__) from error


async def _exchange(stream: trio.abc.Stream, host: str, path: str) -> HttpPage:
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method="GET", target=path, headers=[("host", host), ("connection", "close")]
    )
    await stream.send_all(connection.send(request) + connection.send(h11.EndOfMessage()))
    status = 0
    body = bytearray()
    while True:
        event = connection.next_event()
        match event:
            case h11.NEED_DATA:
                connection.receive_data(bytes(await stream.receive_some(READ_BYTES)))
            case h11.Response(status_code=code):
                status = code
            case h11.Data(data=data):
                body += data
                if len(body) > MAXIMUM_PAGE_BYTES:
                    raise h11.RemoteProtocolError("page too large")
            case h11.EndOfMessage():
                return HttpPage(status, bytes(body))
            case _:
                raise h11.RemoteProtocolError("connection closed")
