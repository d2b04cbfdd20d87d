"""Keeps retries to a share of first tries, so that they can't feed an overload."""

from __future__ import annotations

LARGEST_CREDIT_RETRIES = 20.0
ROUNDING = 1e-9


class RetryBudget:
    """Earns a part of a retry with each first try, and pays for each retry with a whole one.

    There is no credit to begin with, so at no time were there more retries than the share of the
    first tries so far. Credit does not age: a quiet service may use what it has earned.

    Args:
        share: retries allowed for each first try.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._credit = 0.0

    @property
    def credit(self) -> float:
        """Return how many retries are paid for."""
        return self._credit

    def set_share(self, share: float) -> None:
        """Change the share, as by a new configuration."""
        self._share = share

    def on_first_try(self) -> None:
        """Count a first try."""
        self._credit = min(self._credit + self._share, LARGEST_CREDIT_RETRIES)

    def take_retry(self) -> bool:
        """Pay for a retry if there is credit, and return whether there was."""
        # Ten parts of a tenth make a little less than one.
        if self._credit < 1.0 - ROUNDING:
            return False
        self._credit = max(0.0, self._credit - 1.0)
        return True
