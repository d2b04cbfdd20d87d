"""Stand-in for the platform: serves values and the VM list over HTTP/1.1, with long polling.

`GET /v1/values/KEY` and `GET /v1/vms` answer 200 with the content and its version as entity tag,
or 404. With `?after=VERSION&wait=SECONDS` the answer is delayed until the version is higher than
VERSION; if the wait expires first, it is 304 with the entity tag of the current version. HTTP is
read-only. With `--directory` the values are the files below a directory, keyed by relative path;
the file `vms` is the VM list.
"""

from __future__ import annotations

import contextlib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import trio

from ..configuration import Address, read_value_files
from ._platform_store import (
    Down,
    Failing,
    Garbage,
    OlderReads,
    PlatformFault,
    PlatformStore,
    Silent,
    Slow,
    Stale,
    StoredValue,
    Well,
)

__all__ = [
    "Down",
    "Failing",
    "Garbage",
    "OlderReads",
    "PlatformFault",
    "PlatformStandIn",
    "PlatformStore",
    "Silent",
    "Slow",
    "Stale",
    "Well",
]

VMS_KEY = "vms"
HEAD_KEY = "head"
VALUES_PATH = "/v1/values/"
VMS_PATH = "/v1/vms"
LONGEST_WAIT_SECONDS = 60.0
DIRECTORY_POLL_SECONDS = 0.2
READ_BYTES = 16_384
MAXIMUM_REQUEST_BYTES = 8_192


@dataclass(frozen=True, slots=True)
class _Query:
    key: str
    after: int | None
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    content: bytes = b""
    version: int | None = None


@dataclass(frozen=True, slots=True)
class _RawAnswer:
    content: bytes


_Reply: TypeAlias = _Answer | _RawAnswer | None


class PlatformStandIn:
    """Serves a `PlatformStore` over HTTP.

    Args:
        store: values to serve, and the fault to simulate.
    """

    def __init__(self, store: PlatformStore | None = None) -> None:
        self._store = store if store is not None else PlatformStore()
        self._changed = trio.Event()

    @property
    def store(self) -> PlatformStore:
        """Return the store that is served."""
        return self._store

    def publish(self, values: Mapping[str, bytes]) -> None:
        """Store values, `head` last, and wake waiting watches."""
        self._store.put_all({key: value for key, value in values.items() if key != HEAD_KEY})
        if HEAD_KEY in values:
            self._store.put(HEAD_KEY, values[HEAD_KEY])
        self._wake_watches()

    def publish_head_only(self, values: Mapping[str, bytes]) -> None:
        """Store only the `head` of a publication, like a publisher that failed halfway."""
        self.publish({HEAD_KEY: values[HEAD_KEY]})

    def publish_vms(self, content: bytes) -> None:
        """Store the VM list and wake waiting watches."""
        self.publish({VMS_KEY: content})

    def set_fault(self, fault: PlatformFault) -> None:
        """Simulate a fault from now on; `Well()` ends it."""
        self._store.set_fault(fault)
        self._wake_watches()

    async def serve(
        self,
        address: Address,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; reports the bound endpoint, for a listen port of 0."""
        listeners = await trio.open_tcp_listeners(address.port, host=address.host)
        host, port = listeners[0].socket.getsockname()[:2]
        task_status.started(Address(host, port))
        await trio.serve_listeners(self._serve_stream, listeners)

    async def follow_directory(self, directory: Path) -> None:
        """Publish the files below a directory whenever they change, until cancelled.

        A file that disappears during a read is not an error: nothing is published, and the next
        poll reads all files again.
        """
        while True:
            with contextlib.suppress(FileNotFoundError):
                self.publish(read_value_files(directory))
            await trio.sleep(DIRECTORY_POLL_SECONDS)

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAXIMUM_REQUEST_BYTES)
        try:
            while await self._serve_request(stream, connection):
                connection.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_request(self, stream: trio.SocketStream, connection: h11.Connection) -> bool:
        """Answer one request and return whether the connection can be reused."""
        request = await _receive_request(stream, connection)
        if request is None:
            return False
        if isinstance(self._store.fault, Down):
            return False
        self._store.count_read(trio.current_time())
        reply = await self._reply(request)
        if reply is None:
            return False
        if isinstance(reply, _RawAnswer):
            await stream.send_all(reply.content)
            return False
        await _send(stream, connection, reply)
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE

    async def _reply(self, request: h11.Request) -> _Reply:
        match self._store.fault:
            case Silent():
                await trio.sleep_forever()
            case Garbage(content):
                return _RawAnswer(content)
            case Failing(status):
                return _Answer(status)
            case Slow(seconds):
                await trio.sleep(seconds)
        if request.method != b"GET":
            return _Answer(405)
        query = _parse_target(request.target.decode("ascii", "replace"))
        if isinstance(query, _Answer):
            return query
        return await self._read(query)

    async def _read(self, query: _Query) -> _Reply:
        value = self._store.read(query.key)
        if query.after is None:
            return _to_answer(value)
        with trio.move_on_after(query.wait_seconds):
            while value is None or value.version <= query.after:
                await self._changed.wait()
                if isinstance(self._store.fault, Down):
                    return None
                value = self._store.read(query.key)
        if value is not None and value.version <= query.after:
            return _Answer(304, version=value.version)
        return _to_answer(value)


def _to_answer(value: StoredValue | None) -> _Answer:
    return _Answer(404) if value is None else _Answer(200, value.content, value.version)


def _parse_target(target: str) -> _Query | _Answer:
    parts = urlsplit(target)
    query = parse_qs(parts.query)
    if parts.path == VMS_PATH:
        key = VMS_KEY
    elif parts.path.startswith(VALUES_PATH) and len(parts.path) > len(VALUES_PATH):
        key = unquote(parts.path.removeprefix(VALUES_PATH))
    else:
        return _Answer(404)
    after, wait = query.get("after", [None])[0], query.get("wait", ["0"])[0]
    if not (after is None or after.isdecimal()) or wait is None or not wait.isdecimal():
        return _Answer(400)
    seconds = min(float(wait), LONGEST_WAIT_SECONDS)
    return _Query(key, None if after is None else int(after), seconds)


async def _receive_request(
    stream: trio.SocketStream, connection: h11.Connection
) -> h11.Request | None:
    request: h11.Request | None = None
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(READ_BYTES))
        elif not isinstance(event, h11.Data):
            return None


async def _send(stream: trio.SocketStream, connection: h11.Connection, answer: _Answer) -> None:
    headers = [("Content-Type", "application/octet-stream")]
    if answer.status != 304:
        headers.append(("Content-Length", str(len(answer.content))))
    if answer.version is not None:
        headers.append(("ETag", f'"{answer.version}"'))
    pieces = [
        connection.send(h11.Response(status_code=answer.status, headers=headers)),
        connection.send(h11.Data(data=answer.content)) if answer.content else b"",
        connection.send(h11.EndOfMessage()),
    ]
    await stream.send_all(b"".join(piece or b"" for piece in pieces))
