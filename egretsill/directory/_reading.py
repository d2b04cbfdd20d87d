"""Which processes read the store, and when.

Two readers, the first agents in a rendezvous rank over the directory's VMs that reach the store,
hold a watch each; the others learn from peers. Everybody ranks what everybody knows, so the readers
are the same two for all, whatever the size of the fleet. A process reads for itself when nothing
that it heard was confirmed lately, so the bound on staleness doesn't rest on any reader.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from xxhash import xxh3_64_intdigest

from ..ranking import rank

READERS = 2  # one may fail unnoticed for a moment without others having to read
STALE_SECONDS = 1.5  # leaves half of the 3 s in which changes must be in force for reading
WATCH_SECONDS = 1.0  # confirms content before it is stale elsewhere, heartbeats included
WATCH_SLACK_SECONDS = 0.7  # answers may take 60 times the usual 4 ms, and the network
READ_TIMEOUT_SECONDS = 0.8  # likewise, for two or more pages
HASTY_TIMEOUT_SECONDS = 0.3  # before anything is known a lost call must not cost much
HASTY_PAUSE_SECONDS = 0.15  # between tries of a process that serves nothing until it has read
CALM_PAUSE_SECONDS = 1.0  # between tries before the fleet's first configuration
RETRY_PAUSE_SECONDS = 0.4  # between tries of the first in rank while content is stale
RANK_SLOWDOWN = 0.5  # each further turn waits this share of a pause longer
TURNS = 16  # over which the processes that are no readers are spread
TURN_SECONDS = 0.06  # so all turns pass within a second, which the bound on staleness leaves
FIRST_TURN_SECONDS = 0.25  # likewise before the fleet's first configuration, in four seconds
FAILED_SECONDS = 2.0  # for how long a failed read keeps a process from being a reader
SHORTEST_PAUSE_SECONDS = 0.005  # a wait that rounds to nothing would spin
POLL_SECONDS = 0.4  # how soon a change of the fleet or of ages is noticed

_READERS_KEY = b"store readers"


def reader_order(hosts: Iterable[int]) -> Sequence[int]:
    """Return VMs in the order in which they are to read the store."""
    return rank(_READERS_KEY, hosts)


@dataclass(frozen=True, slots=True)
class ReadAll:
    """Read everything.

    Attributes:
        timeout_seconds: longest wait for the answer.
    """

    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class WatchChanges:
    """Wait for changes.

    Attributes:
        wait_seconds: how long the store may hold the call.
        timeout_seconds: longest wait for the answer.
    """

    wait_seconds: float
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Do nothing for a while."""

    seconds: float


ReadStep: TypeAlias = ReadAll | WatchChanges | Pause


class ReadPlan:
    """Decides what one process asks the store next.

    Args:
        host: IPv4 address of this process, as a number.
        is_first_start: whether the whole fleet starts for the first time.
    """

    def __init__(self, host: int, is_first_start: bool) -> None:
        self._host = host
        self._spread = xxh3_64_intdigest(host.to_bytes(4, "big")) % TURNS
        self._started_at: float | None = None
        self._is_first_start = is_first_start
        self._failed_at = float("-inf")
        self._tried_at = float("-inf")
        self._needs_read = True

    def can_read(self, now: float) -> bool:
        """Return whether the store answered this process when it last asked."""
        return now - self._failed_at > FAILED_SECONDS

    def next_step(
        self, now: float, confirmed_at: float, has_content: bool, readers: Sequence[int]
    ) -> ReadStep:
        """Return what to do now.

        Args:
            now: local time.
            confirmed_at: when the content was last confirmed by anybody.
            has_content: whether anything is known of the store's content.
            readers: the processes that hold a watch, as far as this one can tell.
        """
        turn = readers.index(self._host) if self._host in readers else READERS + self._spread
        if not has_content:
            return self._step_without_content(now, turn)
        if self._host in readers and self.can_read(now):
            if self._needs_read:
                return ReadAll(READ_TIMEOUT_SECONDS)
            return WatchChanges(WATCH_SECONDS, WATCH_SECONDS + WATCH_SLACK_SECONDS)
        due_at = confirmed_at + STALE_SECONDS + TURN_SECONDS * turn
        if now < due_at:
            return _pause_until(due_at, now)
        return self._step_after(now, RETRY_PAUSE_SECONDS * (1 + RANK_SLOWDOWN * turn))

    def note_try(self, now: float) -> None:
        """Note that the store is being asked."""
        self._tried_at = now

    def note_read(self) -> None:
        """Note that everything was read, so that changes can be watched from there."""
        self._needs_read = False
        self._failed_at = float("-inf")

    def note_failure(self, now: float) -> None:
        """Note that the store gave no usable answer."""
        self._failed_at = now
        self._needs_read = True

    def note_history_lost(self) -> None:
        """Note that changes can't be watched from the known revision."""
        self._needs_read = True

    def _step_without_content(self, now: float, turn: int) -> ReadStep:
        if not self._is_first_start:
            return self._step_after(now, HASTY_PAUSE_SECONDS, HASTY_TIMEOUT_SECONDS)
        if self._started_at is None:
            self._started_at = now
        due_at = self._started_at + FIRST_TURN_SECONDS * turn
        if now < due_at:
            return _pause_until(due_at, now)
        return self._step_after(now, CALM_PAUSE_SECONDS * (1 + RANK_SLOWDOWN * turn))

    def _step_after(
        self, now: float, pause_seconds: float, timeout_seconds: float = READ_TIMEOUT_SECONDS
    ) -> ReadStep:
        if now - self._tried_at < pause_seconds:
            return _pause_until(self._tried_at + pause_seconds, now)
        return ReadAll(timeout_seconds)


def _pause_until(due_at: float, now: float) -> Pause:
    return Pause(min(max(due_at - now, SHORTEST_PAUSE_SECONDS), POLL_SECONDS))
