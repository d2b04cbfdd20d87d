"""Reads and watches the platform's configuration service and VM list over HTTP/1.1.

One client holds one connection and makes one read at a time; concurrent reads wait for it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias, TypeVar
from urllib.parse import quote

import h11
import trio

from ..wire import Address, HttpResponse, PersistentHttpConnection
from ._exceptions import (
    PlatformFailure,
    PlatformMalformed,
    PlatformRefused,
    PlatformTimedOut,
    PlatformUnreachable,
    ValueMissing,
)
from ._vms import VMS_KEY

MAXIMUM_BODY_BYTES = 1_048_576
MAXIMUM_VERSION_DIGITS = 18
VALUES_PATH = "/v1/values/"
VMS_PATH = "/v1/vms"


@dataclass(frozen=True, slots=True)
class Value:
    """A value as stored by the platform.

    Attributes:
        version: number that the platform gave to this content, from the entity tag.
    """

    key: str
    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Unchanged:
    """A watch that ended without a new version.

    Attributes:
        version: the one that the platform holds; lower than the requested one if it is stale.
    """

    key: str
    version: int


WatchAnswer: TypeAlias = Value | Unchanged
AnswerT = TypeVar("AnswerT")


class PlatformClient:
    """Reads values and the VM list.

    Args:
        addresses: endpoints of the platform; after a failure the next one is used.
        read_seconds: longest wait for a complete response, in addition to the wait of a watch.
    """

    def __init__(self, addresses: Sequence[Address], read_seconds: float = 2.0) -> None:
        self._addresses = tuple(addresses)
        self._read_seconds = read_seconds
        self._next_address = 0
        self._request_lock = trio.Lock()
        self._connection = PersistentHttpConnection(MAXIMUM_BODY_BYTES)
        self._failures = 0

    @property
    def reads(self) -> int:
        """Return how many requests were made."""
        return self._connection.requests

    @property
    def failures(self) -> int:
        """Return how many requests failed."""
        return self._failures

    async def read(self, key: str) -> Value:
        """Return a value.

        Raises:
            PlatformFailure: if the value is missing or can't be read.
        """
        return await self._get(key, "", 0.0, _to_value)

    async def watch(self, key: str, after: int, wait_seconds: float) -> WatchAnswer:
        """Return the value once its version is above `after`, or Unchanged after the wait.

        Raises:
            PlatformFailure: if the value is missing or can't be read.
        """
        seconds = math.ceil(wait_seconds)
        query = f"?after={after}&wait={seconds}"
        return await self._get(key, query, float(seconds), _to_watch_answer)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._connection.aclose()

    async def _get(
        self,
        key: str,
        query: str,
        wait_seconds: float,
        interpret: Callable[[str, HttpResponse], AnswerT],
    ) -> AnswerT:
        path = VMS_PATH if key == VMS_KEY else VALUES_PATH + quote(key)
        async with self._request_lock:
            address = self._addresses[self._next_address % len(self._addresses)]
            finished = False
            try:
                response = await self._request_in_time(key, address, path + query, wait_seconds)
                answer = interpret(key, response)
                finished = True
                return answer
            except (PlatformRefused, ValueMissing):
                finished = True
                self._failures += 1
                raise
            except PlatformFailure:
                self._failures += 1
                self._next_address += 1
                raise
            finally:
                if not finished:
                    await self.aclose()

    async def _request_in_time(
        self, key: str, address: Address, target: str, wait_seconds: float
    ) -> HttpResponse:
        seconds = wait_seconds + self._read_seconds
        try:
            with trio.fail_after(seconds):
                return await self._connection.get(address, target)
        except trio.TooSlowError as error:
            raise PlatformTimedOut(str(address), seconds) from error
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PlatformUnreachable(str(address), type(error).__name__) from error
        except h11.ProtocolError as error:
            raise PlatformMalformed(key, str(error)) from error


def _to_watch_answer(key: str, response: HttpResponse) -> WatchAnswer:
    if response.status == 304:
        return Unchanged(key, _parse_version(key, response.headers))
    return _to_value(key, response)


def _to_value(key: str, response: HttpResponse) -> Value:
    match response.status:
        case 200:
            return Value(key, _parse_version(key, response.headers), response.body)
        case 304:
            raise PlatformMalformed(key, "status 304 for an unconditional read")
        case 404:
            raise ValueMissing(key)
        case status:
            raise PlatformRefused(key, status)


def _parse_version(key: str, headers: Mapping[bytes, bytes]) -> int:
    tag = headers.get(b"etag", b"").strip().removeprefix(b"W/").strip(b'"')
    if not tag.isdigit() or len(tag) > MAXIMUM_VERSION_DIGITS:
        raise PlatformMalformed(key, "no entity tag with a version number")
    return int(tag)
