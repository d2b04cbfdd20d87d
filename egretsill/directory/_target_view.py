"""A target's entry together with what this process knows about it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ._model import Target, TargetPhase
from ._write_order import is_successor

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target's entry together with what this process knows about it.

    Attributes:
        target: the entry.
        warmup_ends_at: local time at which its warm-up ends.
        known_since: local time since which this run of the target is known.
        missing_since: local time at which its entry was found missing or superseded; None while it
            counts.
        grace_until: end of the period in which a missing entry may return and still counts.
        superseded_by: name of another entry at its VM that shows that this one isn't of the VM's
            target; empty if there is none.
        drained_by: name of another entry at its VM by which its service's target there drains;
            empty if there is none.
    """

    target: Target
    warmup_ends_at: float
    known_since: float = NEVER
    missing_since: float | None = None
    grace_until: float = NEVER
    superseded_by: str = ""
    drained_by: str = ""

    @property
    def is_awaited(self) -> bool:
        """Return whether its entry is missing but was expected to return when it was found so."""
        return self.missing_since is not None and self.grace_until > self.missing_since

    @property
    def has_entry(self) -> bool:
        """Return whether its entry exists, or was expected to return when it was found missing."""
        return self.missing_since is None or self.is_awaited or bool(self.superseded_by)

    def has_departed(self, now: float) -> bool:
        """Return whether its entry is superseded, or missing and not expected to return."""
        return self.missing_since is not None and self.grace_until <= now

    def takes_new_flows(self, now: float) -> bool:
        """Return whether new flows may go to its target."""
        is_ready = self.target.phase is TargetPhase.READY and not self.drained_by
        return is_ready and not self.has_departed(now)


def newest_view(views: Iterable[TargetView]) -> TargetView | None:
    """Return the newest of some targets on a VM; those with an entry go before those without."""
    newest: TargetView | None = None
    for view in views:
        if newest is None or _is_newer(view, newest):
            newest = view
    return newest


def _is_newer(view: TargetView, other: TargetView) -> bool:
    counts = view.missing_since is None
    if counts != (other.missing_since is None):
        return counts
    return is_successor(view.target, other.target)
