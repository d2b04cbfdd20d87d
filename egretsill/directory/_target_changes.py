"""What this process has come to believe of targets, kept until it is logged."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from ._model import Target

MAXIMUM_WAITING = 64  # changes kept; the others are counted


class TargetChangeKind(enum.Enum):
    """What changed."""

    KNOWN = "known"
    READY = "ready"
    DRAINING = "draining"
    AWAITED = "awaited"
    DEPARTED = "departed"
    SUPERSEDED = "superseded"
    DRAINED = "drained"
    IN_USE_AGAIN = "in-use-again"


@dataclass(frozen=True, slots=True)
class TargetChange:
    """One change.

    Attributes:
        kind: what changed.
        target: the entry that it concerns.
        at: local time.
        by: name of the entry that decided, if it is another one; empty otherwise.
    """

    kind: TargetChangeKind
    target: Target
    at: float
    by: str = ""


class TargetChanges:
    """The changes that were not taken yet, bounded in number."""

    def __init__(self) -> None:
        self._waiting: deque[TargetChange] = deque()
        self._omitted = 0

    def note(self, kind: TargetChangeKind, target: Target, at: float, by: str = "") -> None:
        """Keep a change, or count it if too many wait."""
        if len(self._waiting) < MAXIMUM_WAITING:
            self._waiting.append(TargetChange(kind, target, at, by))
        else:
            self._omitted += 1

    def take(self) -> tuple[Sequence[TargetChange], int]:
        """Remove and return the changes, and how many were only counted."""
        taken, omitted = tuple(self._waiting), self._omitted
        self._waiting.clear()
        self._omitted = 0
        return taken, omitted
