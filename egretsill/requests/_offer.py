"""State that a requester keeps for the current offer of a request to one target."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ._messages import GateMark, RequestId

RESUME_SECONDS = 5.0
FIRST_RESUME_DELAY_SECONDS = 0.05
MAXIMUM_RESUME_DELAY_SECONDS = 1.0
MAXIMUM_VIOLATIONS = 3
MAXIMUM_SHORT_LINKS = 10
SHORT_LINK_SECONDS = 1.0
NO_MARK = GateMark(0, 0.0)


class Stage(enum.Enum):
    """What the offer is waiting for."""

    CONNECTING = "connecting"
    SENT = "sent"
    RESUMING = "asking"


@dataclass(slots=True, eq=False)
class Offer:
    """One offer of a request to a gate.

    Attributes:
        epoch: epoch of its latest link.
        sent: whether Open was passed to a link, so that the request may have started.
        started: whether the gate reported that it started.
        mark: the gate's incarnation and time, as received before Open was sent.
        lost_since: when the last working link was lost, or None.
        failures: number of links that could not be opened since then.
        resumed_at: when the request was resumed on the latest link, in seconds.
        short_links: number of consecutive links that were lost within `SHORT_LINK_SECONDS`.
        violations: number of times that the gate violated the protocol.
    """

    target_number: int
    identifier: RequestId
    link: int
    stage: Stage = Stage.CONNECTING
    epoch: int = 1
    sent: bool = False
    started: bool = False
    mark: GateMark = NO_MARK
    lost_since: float | None = None
    failures: int = 0
    resumed_at: float = 0.0
    short_links: int = 0
    violations: int = 0

    def switch_link(self, link: int, now: float) -> float | None:
        """Switch to a new link and return the delay before opening it, or None to give up."""
        if self.stage is not Stage.CONNECTING:
            self._count_short_link(now)
        if self.lost_since is None:
            self.lost_since = now
        if now - self.lost_since >= RESUME_SECONDS or self._exceeds_bounds():
            return None
        delay = 0.0
        if self.stage is Stage.CONNECTING:
            delay = FIRST_RESUME_DELAY_SECONDS * 2.0 ** min(self.failures, 10)
            self.failures += 1
        self.stage = Stage.CONNECTING
        self.epoch += 1
        self.link = link
        return min(delay, MAXIMUM_RESUME_DELAY_SECONDS)

    def resume(self, now: float) -> None:
        """Record that the request was resumed on the new link."""
        self.stage = Stage.SENT
        self.started = True
        self.resumed_at = now
        self.lost_since = None
        self.failures = 0

    def _count_short_link(self, now: float) -> None:
        short = now - self.resumed_at < SHORT_LINK_SECONDS
        self.short_links = self.short_links + 1 if short else 0

    def _exceeds_bounds(self) -> bool:
        return self.violations >= MAXIMUM_VIOLATIONS or self.short_links > MAXIMUM_SHORT_LINKS
