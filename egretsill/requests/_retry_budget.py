"""Limits retries to a share of first tries, so that retries can't amplify an overload."""

from __future__ import annotations

LARGEST_CREDIT_RETRIES = 20.0
ROUNDING = 1e-9


class RetryBudget:
    """Token bucket: each first try adds a fraction of a token, each retry takes one token.

    It starts empty, so the number of retries never exceeds the share of the first tries so far.
    Credit does not expire: a service with little traffic may use what it has earned.

    Args:
        share: retries allowed for each first try.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._credit = 0.0

    @property
    def credit(self) -> float:
        """Return the number of retries that are allowed now, with its fraction."""
        return self._credit

    def set_share(self, share: float) -> None:
        """Change the share, for example after a configuration change."""
        self._share = share

    def on_first_try(self) -> None:
        """Count a first try."""
        self._credit = min(self._credit + self._share, LARGEST_CREDIT_RETRIES)

    def take_retry(self) -> bool:
        """Take the credit for one retry and return whether there was enough."""
        # Ten additions of 0.1 sum to slightly less than 1 in floating point.
        if self._credit < 1.0 - ROUNDING:
            return False
        self._credit = max(0.0, self._credit - 1.0)
        return True
