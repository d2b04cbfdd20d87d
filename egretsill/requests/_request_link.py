"""What a request's asker and its gate each see of the link between them."""

from __future__ import annotations

from typing import Protocol

from ..configuration import Address
from ._gate_request import AnswerWriter, BodyWriter
from ._messages import GateMark, RelayMessage


class LinkUser(Protocol):
    """The request that a link serves just now."""

    def on_message(self, link: RequestLink, message: RelayMessage) -> None:
        """Take a message."""

    def on_lost(self, link: RequestLink) -> None:
        """Take note that the link is gone."""


class RequestLink(Protocol):
    """The asker's end of a link; nothing that it offers waits.

    Attributes:
        user: the request that it serves, or None while it is idle.
    """

    user: LinkUser | None

    @property
    def address(self) -> Address | None:
        """Return where the gate was reached, or None for the own one."""

    @property
    def mark(self) -> GateMark:
        """Return the gate's latest Pong."""

    @property
    def clock_offset(self) -> float:
        """Return what to add to this process's clock to get the gate's, in seconds."""

    def send(self, message: RelayMessage) -> None:
        """Send a message as soon as the link takes it."""

    def send_body(self, body: BodyWriter | None) -> None:
        """Send a request's body as it comes, or none any more."""

    def wake(self) -> None:
        """See that there is more of the body."""

    def finish(self) -> None:
        """Send what waits, and close."""


class GateEnd(Protocol):
    """The gate's end of a link; nothing that it offers waits."""

    def send(self, message: RelayMessage) -> None:
        """Send a message before what the writer has."""

    def follow(self, writer: AnswerWriter) -> None:
        """Send what a writer has, as it comes."""

    def wake(self) -> None:
        """See that the writer has more."""

    def close(self) -> None:
        """Close at once."""
