"""One caller's request and the way back to that caller, whatever the transport."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ..outcomes import Outcome


class CallerGone(Exception):
    """The caller cancelled the request or its flow ended; nobody waits for the answer."""

    def __init__(self) -> None:
        super().__init__("the caller withdrew the request")


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What a caller asked for.

    Attributes:
        service: name of the service whose address the flow came in on.
        headers: lower-case names and values without pseudo-headers and hop-by-hop headers.
        deadline: seconds on the timer service of this process, or None if the caller named none.
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    deadline: float | None


class Exchange(Protocol):
    """The transport's side of one request; each method may raise `CallerGone`."""

    @property
    def head(self) -> RequestHead:
        """Return what the caller asked for."""

    @property
    def answer_begun(self) -> bool:
        """Return whether any byte of an answer was handed to the caller's flow."""

    async def receive_body(self) -> bytes | None:
        """Return the next piece of the request's body, or None at its end."""

    async def send_head(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Begin the answer."""

    async def send_data(self, data: bytes) -> None:
        """Send a piece of the answer; waits while the flow holds too much unsent."""

    async def conclude(self, outcome: Outcome) -> None:
        """End the request: the end of a whole answer, or what the caller must be told instead.

        After `answer_begun` anything but Answered cuts the stream with an error code, so that a
        part of an answer never looks whole.
        """
