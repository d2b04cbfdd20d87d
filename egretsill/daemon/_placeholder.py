"""Places every request on the own target."""

from __future__ import annotations

from collections.abc import Collection

from ..configuration import RequestClass
from ..outcomes import RefusalReason


class OwnTargetOnly:
    """A placement that knows one target."""

    def __init__(self, target_number: int) -> None:
        self._target_number = target_number

    def choose(
        self, request_class: RequestClass, exclude: Collection[int], now: float
    ) -> int | None:
        """Return the own target unless it is excluded."""
        return None if self._target_number in exclude else self._target_number

    def on_sent(self, target_number: int, weight: float, now: float) -> None:
        """Do nothing."""

    def on_finished(self, target_number: int, weight: float, now: float) -> None:
        """Do nothing."""

    def on_refused(self, target_number: int, reason: RefusalReason, now: float) -> None:
        """Do nothing."""
