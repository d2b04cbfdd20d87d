"""Transport-independent interface to one caller's request and its answer."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ..outcomes import Outcome


class CallerGone(Exception):
    """The caller cancelled the request or its flow ended, so the answer is not needed."""

    def __init__(self) -> None:
        super().__init__("the caller cancelled the request")


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a caller's request.

    Attributes:
        service: name of the service whose address received the flow.
        headers: lower-case names and values without pseudo-headers and hop-by-hop headers.
        deadline: in seconds on the timer service of this process, or None if the caller set none.
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
        """Return the head of the request."""

    @property
    def answer_begun(self) -> bool:
        """Return whether any byte of an answer was passed to the caller's flow."""

    async def receive_body(self) -> bytes | None:
        """Return the next piece of the request's body, or None at its end."""

    async def send_head(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Send the head of the answer."""

    async def send_data(self, data: bytes) -> None:
        """Send a piece of the answer; waits while the flow has too many unsent bytes."""

    async def conclude(self, outcome: Outcome) -> None:
        """End the request with the end of a complete answer or with another outcome.

        After `answer_begun`, any outcome but Answered resets the stream with an error code, so that
        a partial answer never looks complete.
        """
