"""Interface of the store of configuration and targets."""

from __future__ import annotations

import enum
from typing import Protocol

from ._model import Changes, Snapshot
from ._revision import StoreRevision


class StoreFailure(enum.Enum):
    """Why the store gave no usable response."""

    TIMED_OUT = "timed-out"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MALFORMED = "malformed"
    OUTDATED = "outdated"
    UNEXPECTED = "unexpected"


class StoreUnavailable(Exception):
    """The store gave no usable response.

    Attributes:
        failure: what went wrong.
        detail: status or type of the error.
    """

    def __init__(self, failure: StoreFailure, detail: str) -> None:
        super().__init__(f"store {failure.value}: {detail}")
        self.failure = failure
        self.detail = detail


class HistoryLost(Exception):
    """The store can't list the changes since the requested revision.

    It has discarded them, or it has come back from a copy since.

    Attributes:
        after: the revision.
        era: the era that the store is in.
    """

    def __init__(self, after: StoreRevision, era: int) -> None:
        super().__init__(f"no history after revision {after} in era {era}")
        self.after = after
        self.era = era


class Store(Protocol):
    """Linearizable reads of the store."""

    async def read(self, timeout_seconds: float) -> Snapshot:
        """Return the complete content of the store, all of it read in one era.

        Args:
            timeout_seconds: longest time in which nothing of the content arrives.

        Raises:
            StoreUnavailable: if there is no usable response in time.
        """

    async def watch(
        self, after: StoreRevision, wait_seconds: float, timeout_seconds: float
    ) -> Changes:
        """Return the changes since a revision, or empty changes if there are none within the wait.

        Args:
            after: the revision.
            wait_seconds: how long the store may wait for a change.
            timeout_seconds: longest time in which nothing arrives.

        Raises:
            StoreUnavailable: if there is no usable response in time.
            HistoryLost: if the revision is too old or of another era; read everything again.
        """

    async def close(self) -> None:
        """Close open connections."""
