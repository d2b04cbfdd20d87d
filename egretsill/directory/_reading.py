"""Plan of which processes read the store, and when.

Two readers hold a watch each: the first agents that reach the store in a rendezvous ranking of the
directory's VMs. The others get content from peers. All processes rank the same VMs, so they agree
on the two readers, whatever the size of the fleet. A process reads the store itself when its
content was not confirmed recently, so the bound on staleness doesn't depend on the readers.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from xxhash import xxh3_64_intdigest

from ..ranking import rank

READERS = 2  # one may fail undetected for a moment without others having to read
STALE_SECONDS = 1.5  # leaves half of the 3 s within which changes must be in force for reading
WATCH_SECONDS = 1.0  # confirms content before it is stale at other processes, heartbeats included
WATCH_SLACK_SECONDS = 0.7  # responses may take 60 times the usual 4 ms, plus the network
READ_TIMEOUT_SECONDS = 0.8  # likewise
STARTUP_TIMEOUT_SECONDS = 0.3  # short, so that a lost call costs little before anything is known
TIMEOUT_GROWTH = 2.0  # factor after each read in succession that the store was too slow for
LONGEST_TIMEOUT_SECONDS = 2.4
STARTUP_PAUSE_SECONDS = 0.15  # between attempts of a process that can't serve until it has read
FIRST_START_PAUSE_SECONDS = 1.0  # between attempts before the fleet's first configuration
RETRY_PAUSE_SECONDS = 0.4  # between attempts of the first in rank while content is stale
RANK_SLOWDOWN = 0.5  # fraction of a pause that each further turn waits longer
TURNS = 16  # turns over which the processes that are not readers are spread
TURN_SECONDS = 0.06  # all turns fit in the second that the bound on staleness leaves
FIRST_TURN_SECONDS = 0.25  # likewise before the fleet's first configuration, in four seconds
FAILED_READ_SECONDS = 2.0  # how long a process is not a reader after a failed read
SHORTEST_PAUSE_SECONDS = 0.005  # a pause that rounds to zero would busy-loop
POLL_SECONDS = 0.4  # how soon a change of the fleet or of content's age is noticed

_READERS_KEY = b"store readers"


def reader_order(hosts: Iterable[int]) -> Sequence[int]:
    """Return VMs in the order in which they are chosen to read the store."""
    return rank(_READERS_KEY, hosts)


@dataclass(frozen=True, slots=True)
class ReadAll:
    """Read everything.

    Attributes:
        timeout_seconds: longest wait for each next part of the response.
    """

    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class WatchChanges:
    """Wait for changes.

    Attributes:
        wait_seconds: how long the store may hold the call.
        timeout_seconds: longest wait for the response to begin, and for each next part.
    """

    wait_seconds: float
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait before the next step."""

    seconds: float


ReadStep: TypeAlias = ReadAll | WatchChanges | Pause


class ReadPlan:
    """Decides the next call of one process to the store.

    Args:
        host: IPv4 address of this process, as a number.
        is_first_start: whether the whole fleet starts for the first time.
    """

    def __init__(self, host: int, is_first_start: bool) -> None:
        self._host = host
        self._own_turn = xxh3_64_intdigest(host.to_bytes(4, "big")) % TURNS
        self._started_at: float | None = None
        self._is_first_start = is_first_start
        self._failed_at = float("-inf")
        self._tried_at = float("-inf")
        self._needs_read = True
        self._timeout_factor = 1.0

    def can_read(self, now: float) -> bool:
        """Return whether this process has had no failed read recently."""
        return now - self._failed_at > FAILED_READ_SECONDS

    def next_step(
        self, now: float, confirmed_at: float, has_content: bool, readers: Sequence[int]
    ) -> ReadStep:
        """Return the next step.

        Args:
            now: local time.
            confirmed_at: when any process last confirmed the content.
            has_content: whether any content of the store is known.
            readers: the processes that hold a watch, in this process's view.
        """
        turn = readers.index(self._host) if self._host in readers else READERS + self._own_turn
        if not has_content:
            return self._step_without_content(now, turn)
        if self._host in readers and self.can_read(now):
            if self._needs_read:
                return self._read_all(READ_TIMEOUT_SECONDS)
            return WatchChanges(WATCH_SECONDS, WATCH_SECONDS + WATCH_SLACK_SECONDS)
        due_at = confirmed_at + STALE_SECONDS + TURN_SECONDS * turn
        if now < due_at:
            return _pause_until(due_at, now)
        # A pause after a successful read would add to the age of the content.
        slowdown = RANK_SLOWDOWN * turn if self._is_retrying else 0.0
        return self._read_unless_pausing(now, RETRY_PAUSE_SECONDS * (1 + slowdown))

    @property
    def _is_retrying(self) -> bool:
        return self._failed_at >= self._tried_at

    def note_attempt(self, now: float) -> None:
        """Record that a call to the store begins."""
        self._tried_at = now

    def note_read(self) -> None:
        """Record that everything was read, so that changes can be watched from that revision."""
        self._needs_read = False
        self._failed_at = float("-inf")
        self._timeout_factor = 1.0

    def note_failure(self, now: float) -> None:
        """Record that the store gave no usable response."""
        self._failed_at = now
        self._needs_read = True

    def note_timeout(self, now: float) -> None:
        """Record that the store was too slow; the next read waits longer.

        A store that is slower than every time-out would never be read otherwise.
        """
        self.note_failure(now)
        self._timeout_factor *= TIMEOUT_GROWTH

    def require_complete_read(self) -> None:
        """Record that watched changes don't suffice, so that everything must be read again."""
        self._needs_read = True

    def _step_without_content(self, now: float, turn: int) -> ReadStep:
        if not self._is_first_start:
            return self._read_unless_pausing(now, STARTUP_PAUSE_SECONDS, STARTUP_TIMEOUT_SECONDS)
        if self._started_at is None:
            self._started_at = now
        due_at = self._started_at + FIRST_TURN_SECONDS * turn
        if now < due_at:
            return _pause_until(due_at, now)
        return self._read_unless_pausing(
            now, FIRST_START_PAUSE_SECONDS * (1 + RANK_SLOWDOWN * turn)
        )

    def _read_unless_pausing(
        self, now: float, pause_seconds: float, timeout_seconds: float = READ_TIMEOUT_SECONDS
    ) -> ReadStep:
        if now - self._tried_at < pause_seconds:
            return _pause_until(self._tried_at + pause_seconds, now)
        return self._read_all(timeout_seconds)

    def _read_all(self, timeout_seconds: float) -> ReadAll:
        return ReadAll(min(timeout_seconds * self._timeout_factor, LONGEST_TIMEOUT_SECONDS))


def _pause_until(due_at: float, now: float) -> Pause:
    return Pause(min(max(due_at - now, SHORTEST_PAUSE_SECONDS), POLL_SECONDS))
