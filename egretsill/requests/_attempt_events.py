"""What happens to a caller's request on its way to targets, and what it wants done."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..outcomes import Outcome
from ._messages import GateMark, RelayMessage, WireHeaders


@dataclass(frozen=True, slots=True)
class Begun:
    """The request is to be offered for the first time."""


@dataclass(frozen=True, slots=True)
class LinkReady:
    """A link that was asked for is open, and nothing but a Ping was sent over it.

    Attributes:
        mark: the gate's latest Pong.
        clock_offset: what to add to this process's clock to get the gate's, in seconds.
    """

    link: int
    mark: GateMark
    clock_offset: float


@dataclass(frozen=True, slots=True)
class LinkFailed:
    """A link could not be opened, broke, went silent or carried garbage."""

    link: int


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message came over a link."""

    link: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class Delivered:
    """The caller's flow took the answer's body up to an offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The time for the request is over."""


@dataclass(frozen=True, slots=True)
class VerdictDue:
    """The gate had time enough to say what became of a request past its deadline."""


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller withdrew the request."""


AttemptEvent: TypeAlias = (
    Begun
    | LinkReady
    | LinkFailed
    | MessageReceived
    | Delivered
    | DeadlinePassed
    | VerdictDue
    | CallerLeft
)


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a link to a target's gate; answered by LinkReady or LinkFailed.

    Attributes:
        fresh: whether it is to be a new link to the gate that was reached last, as a request is
            asked about.
        delay_seconds: how long to wait before.
    """

    link: int
    target_number: int
    fresh: bool
    delay_seconds: float


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message over a link."""

    link: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class SendBody:
    """Send the request's body over a link, from an offset, as it comes."""

    link: int
    offset: int


@dataclass(frozen=True, slots=True)
class BodyTaken:
    """The gate passed the body on up to an offset; more may be sent."""

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
    """Begin the answer to the caller."""

    status: int
    headers: WireHeaders


@dataclass(frozen=True, slots=True)
class DeliverData:
    """Hand a piece of the answer to the caller; answered by Delivered.

    Attributes:
        end: offset in the answer's body after this piece.
    """

    data: bytes
    end: int


@dataclass(frozen=True, slots=True)
class AwaitVerdict:
    """Give VerdictDue after a time."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Conclude:
    """Tell the caller how the request ended, after everything delivered before."""

    outcome: Outcome


AttemptEffect: TypeAlias = (
    Connect
    | SendMessage
    | SendBody
    | BodyTaken
    | FreeLink
    | DropLink
    | DeliverHead
    | DeliverData
    | AwaitVerdict
    | Conclude
)
