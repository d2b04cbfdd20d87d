"""Interfaces of the two ends of a link between a requester and a gate."""

from __future__ import annotations

from typing import Protocol

from ..configuration import Address
from ._gate_request import AnswerWriter, BodyWriter
from ._messages import GateMark, RelayMessage


class LinkUser(Protocol):
    """The request that a link currently serves."""

    def on_message(self, link: RequestLink, message: RelayMessage) -> None:
        """Handle a message."""

    def on_lost(self, link: RequestLink) -> None:
        """Handle the loss of the link."""


class RequestLink(Protocol):
    """The requester's end of a link; no method blocks.

    Attributes:
        user: the request that it serves, or None while it is idle.
    """

    user: LinkUser | None

    @property
    def address(self) -> Address | None:
        """Return the address of the gate, or None for the gate in this process."""

    @property
    def mark(self) -> GateMark:
        """Return the mark of the gate's latest Pong."""

    @property
    def clock_offset(self) -> float:
        """Return the gate's clock minus this process's clock, in seconds."""

    def send(self, message: RelayMessage) -> None:
        """Queue a message for sending."""

    def send_body(self, body: BodyWriter | None) -> None:
        """Send a request's body as it arrives, or stop with None."""

    def wake(self) -> None:
        """Signal that more of the body is available."""

    def finish(self) -> None:
        """Send pending messages, then close."""


class GateEnd(Protocol):
    """The gate's end of a link; no method blocks."""

    def send(self, message: RelayMessage) -> None:
        """Send a message ahead of the writer's messages."""

    def follow(self, writer: AnswerWriter) -> None:
        """Send a writer's messages as they become available."""

    def wake(self) -> None:
        """Signal that the writer has more messages."""

    def close(self) -> None:
        """Close at once."""
