"""Keeps retries to a share of first tries, so that they can't feed an overload."""

from __future__ import annotations

from collections import deque

WINDOW_SECONDS = 10.0
BUCKET_SECONDS = 1.0
RESERVE_RETRIES = 3


class RetryBudget:
    """Counts first tries and retries over a sliding window.

    Args:
        share: retries allowed for each first try.
        reserve: retries allowed in a window beside that, for times of little traffic.
    """

    def __init__(self, share: float, reserve: int = RESERVE_RETRIES) -> None:
        self._share = share
        self._reserve = reserve
        self._buckets: deque[_Bucket] = deque()
        self._first_tries = 0
        self._retries = 0

    @property
    def first_tries(self) -> int:
        """Return the first tries in the window."""
        return self._first_tries

    @property
    def retries(self) -> int:
        """Return the retries in the window."""
        return self._retries

    def set_share(self, share: float) -> None:
        """Change the share, as by a new configuration."""
        self._share = share

    def on_first_try(self, now: float) -> None:
        """Count a first try."""
        self._bucket(now).first_tries += 1
        self._first_tries += 1

    def take_retry(self, now: float) -> bool:
        """Count a retry if the budget allows it, and return whether it does."""
        bucket = self._bucket(now)
        if self._retries + 1 > self._share * self._first_tries + self._reserve:
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    def _bucket(self, now: float) -> _Bucket:
        while self._buckets and now - self._buckets[0].since >= WINDOW_SECONDS:
            old = self._buckets.popleft()
            self._first_tries -= old.first_tries
            self._retries -= old.retries
        if not self._buckets or now - self._buckets[-1].since >= BUCKET_SECONDS:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]


class _Bucket:
    __slots__ = ("first_tries", "retries", "since")

    def __init__(self, since: float) -> None:
        self.since = since
        self.first_tries = 0
        self.retries = 0
