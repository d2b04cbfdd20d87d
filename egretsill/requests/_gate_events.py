"""What happens to a gate, and what it wants done."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..configuration import Limits
from ._messages import RelayMessage, RequestId, Verdict


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message came over a link."""

    link: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class LinkLost:
    """A link broke or went silent."""

    link: int


@dataclass(frozen=True, slots=True)
class BackendEnded:
    """The task that a Launch began has ended; told once for each Launch."""

    identifier: RequestId
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time went on, or jumped."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """Nothing may start from now on."""


@dataclass(frozen=True, slots=True)
class Resumed:
    """New work may start again."""


@dataclass(frozen=True, slots=True)
class BoundsChanged:
    """The configuration gives the backend server other bounds."""

    slots: int
    connections: int
    limits: Limits


GateEvent: TypeAlias = (
    MessageArrived | LinkLost | BackendEnded | Ticked | Stopped | Resumed | BoundsChanged
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message over a link, before any answer bytes that follow."""

    link: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class Follow:
    """Send a request's answer over a link from an offset, as it comes, and its verdict last.

    Attributes:
        resumed: whether the asker knows already that the request started.
        has_head: whether it has the answer's head.
        offset: how much of the answer's body it has.
    """

    link: int
    identifier: RequestId
    resumed: bool
    has_head: bool
    offset: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link: it is fenced, or its peer broke the protocol."""

    link: int


@dataclass(frozen=True, slots=True)
class Launch:
    """Begin the call to the backend server; ask `Gate.start` just before its first byte."""

    identifier: RequestId


@dataclass(frozen=True, slots=True)
class Abort:
    """Cancel the call to the backend server."""

    identifier: RequestId


@dataclass(frozen=True, slots=True)
class Progress:
    """A request's body, answer window or verdict changed."""

    identifier: RequestId


GateEffect: TypeAlias = Send | Follow | CloseLink | Launch | Abort | Progress
