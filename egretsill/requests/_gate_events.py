"""Input events and output effects of a gate."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..configuration import Limits
from ._messages import RelayMessage, RequestId, Verdict


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message was received on a link."""

    link: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class LinkLost:
    """A link broke or timed out."""

    link: int


@dataclass(frozen=True, slots=True)
class BackendEnded:
    """The task of a Launch has ended; reported once for each Launch."""

    identifier: RequestId
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Time has passed, or the clock jumped."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """New requests must not start."""


@dataclass(frozen=True, slots=True)
class Resumed:
    """New requests may start again."""


@dataclass(frozen=True, slots=True)
class BoundsChanged:
    """The configured bounds of the backend server changed."""

    slots: int
    connections: int
    limits: Limits


GateEvent: TypeAlias = (
    MessageArrived | LinkLost | BackendEnded | TimePassed | Stopped | Resumed | BoundsChanged
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message on a link, ahead of answer bytes."""

    link: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class Follow:
    """Stream a request's answer on a link from an offset, followed by its verdict.

    Attributes:
        resumed: whether the requester already knows that the request started.
        has_head: whether the requester has the answer's head.
        offset: length of the answer's body that the requester has.
    """

    link: int
    identifier: RequestId
    resumed: bool
    has_head: bool
    offset: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link that is fenced or whose peer violated the protocol."""

    link: int


@dataclass(frozen=True, slots=True)
class Launch:
    """Begin the backend call, which must call `Gate.start` just before its first byte."""

    identifier: RequestId


@dataclass(frozen=True, slots=True)
class Abort:
    """Cancel the backend call."""

    identifier: RequestId


@dataclass(frozen=True, slots=True)
class Progress:
    """A request's body, answer window or verdict changed, so its call and link must be woken."""

    identifier: RequestId


GateEffect: TypeAlias = Send | Follow | CloseLink | Launch | Abort | Progress
