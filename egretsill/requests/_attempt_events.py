"""Input events and output effects of the attempts at a caller's request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..outcomes import Outcome
from ._messages import GateMark, RelayMessage, WireHeaders


@dataclass(frozen=True, slots=True)
class RequestBegun:
    """The request is ready for its first offer."""


@dataclass(frozen=True, slots=True)
class LinkReady:
    """A requested link is open, and nothing but a Ping was sent on it for this request.

    Attributes:
        mark: mark of the gate's latest Pong.
        clock_offset: the gate's clock minus this process's clock, in seconds.
    """

    link: int
    mark: GateMark
    clock_offset: float


@dataclass(frozen=True, slots=True)
class LinkFailed:
    """A link could not be opened, broke, timed out or carried malformed data."""

    link: int


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message was received on a link."""

    link: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class Delivered:
    """The caller's flow accepted the answer's body up to an offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline has passed."""


@dataclass(frozen=True, slots=True)
class VerdictDue:
    """The time for the gate to report the result of a request past its deadline is over."""


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller cancelled the request."""


AttemptEvent: TypeAlias = (
    RequestBegun
    | LinkReady
    | LinkFailed
    | MessageReceived
    | Delivered
    | DeadlinePassed
    | VerdictDue
    | RequestCancelled
)


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a link to a target's gate; answered by LinkReady or LinkFailed.

    Attributes:
        fresh: whether to open a new link to the gate that was reached last, to resume the request
            there.
        delay_seconds: time to wait before.
    """

    link: int
    target_number: int
    fresh: bool
    delay_seconds: float


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message on a link."""

    link: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class SendBody:
    """Send the request's body on a link from an offset, as it arrives."""

    link: int
    offset: int


@dataclass(frozen=True, slots=True)
class BodyAcknowledged:
    """The gate forwarded the body up to an offset; more may be sent."""

    offset: int


@dataclass(frozen=True, slots=True)
class FreeLink:
    """Keep a link for another request."""

    link: int


@dataclass(frozen=True, slots=True)
class DropLink:
    """Close a link."""

    link: int


@dataclass(frozen=True, slots=True)
class DeliverHead:
    """Send the head of the answer to the caller."""

    status: int
    headers: WireHeaders


@dataclass(frozen=True, slots=True)
class DeliverData:
    """Send a piece of the answer to the caller; answered by Delivered.

    Attributes:
        end: offset in the answer's body after this piece.
    """

    data: bytes
    end: int


@dataclass(frozen=True, slots=True)
class AwaitVerdict:
    """Schedule VerdictDue after a delay."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Conclude:
    """Report the outcome to the caller, after all earlier deliveries."""

    outcome: Outcome


AttemptEffect: TypeAlias = (
    Connect
    | SendMessage
    | SendBody
    | BodyAcknowledged
    | FreeLink
    | DropLink
    | DeliverHead
    | DeliverData
    | AwaitVerdict
    | Conclude
)
