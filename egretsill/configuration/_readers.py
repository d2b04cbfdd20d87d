"""Selects the processes that read the platform, and schedules their reads.

In each failure domain two processes, the readers, selected by rendezvous hashing over the VM list,
keep a long-poll request (a watch) open at the platform. The others receive new revisions through
peers. Each announcement of a revision between peers carries the age of the platform's latest
response to any process. When that age exceeds a limit, a process that isn't a reader reads the
platform itself (a direct read), at a random time in a window that grows with the fleet, and within
its share of the fleet's read rate.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random
from typing import TypeAlias

import xxhash

from ._vms import Vm, VmState

READERS_IN_DOMAIN = 2
READER_READS_PER_SECOND = 500.0  # of all readers of the fleet
DIRECT_READS_PER_SECOND = 500.0  # of all other processes of the fleet
DIRECT_READ_BURST = 8.0
READER_BURST = 64.0
ASSUMED_FLEET_SIZE = 2000  # until the VM list is known
START_GRACE_SECONDS = 3.0
CONTACT_MARGIN_SECONDS = 2.0  # by which a response that a peer reports must be later to count
FIRST_BACKOFF_SECONDS = 0.5
MAXIMUM_READER_BACKOFF_SECONDS = 4.0
MAXIMUM_DIRECT_BACKOFF_SECONDS = 60.0
VM_LIST_READS_PER_SECOND = 50.0  # of the whole fleet
VM_LIST_BYTES_PER_SECOND = 4000.0  # of each process


@dataclass(frozen=True, slots=True)
class Watch:
    """Read the platform with a long-poll request now."""


@dataclass(frozen=True, slots=True)
class ReadOnce:
    """Read the platform once now, without long polling."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Make no read for `seconds`, then call `decide` again."""

    seconds: float


ReadDecision: TypeAlias = Watch | ReadOnce | Wait


class TokenBucket:
    """Limits the rate of reads.

    Args:
        rate: tokens a second.
        burst: tokens held at most.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst; tokens held stay, up to the new burst."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def take(self, now: float) -> float:
        """Take one token and return the seconds to wait before using it."""
        self._refill(now)
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self._rate)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._refilled_at = now


def readers_of(
    vms: Sequence[Vm], failure_domain: str, excluded: Collection[str] = ()
) -> tuple[str, ...]:
    """Return the names of the processes that watch the platform for a failure domain."""
    names = [
        vm.name
        for vm in vms
        if vm.failure_domain == failure_domain
        and vm.state is VmState.LIVE
        and vm.name not in excluded
    ]
    ranked = sorted(names, key=lambda name: _rendezvous_score(failure_domain, name))
    return tuple(ranked[:READERS_IN_DOMAIN])


def _rendezvous_score(failure_domain: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{failure_domain}\0{name}".encode())


class ReadScheduler:
    """Decides when one process reads the platform.

    Args:
        name: name of this process.
        now: time in seconds at which the process started.
        silence_seconds: age of the platform's latest known response at which this process reads
            directly.
    """

    def __init__(
        self, name: str, failure_domain: str, random: Random, now: float, silence_seconds: float
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._random = random
        self._silence_seconds = silence_seconds
        self._vms: Sequence[Vm] = ()
        self._excluded: frozenset[str] = frozenset()
        self._readers: tuple[str, ...] = ()
        self._last_contact_at: float | None = None
        self._no_direct_read_before = now + min(START_GRACE_SECONDS, silence_seconds)
        self._direct_read_at: float | None = None
        self._failures = 0
        self._retry_at = now
        self._bucket = TokenBucket(*self._direct_rate(), now)

    @property
    def is_reader(self) -> bool:
        """Return whether this process is selected to watch the platform for its failure domain."""
        return self._name in self._readers

    @property
    def last_contact_at(self) -> float | None:
        """Return the time of the platform's latest known response to any process."""
        return self._last_contact_at

    @property
    def fleet_size(self) -> int:
        """Return the fleet's size, or a high estimate while it is unknown."""
        return len(self._vms) or ASSUMED_FLEET_SIZE

    def vm_list_seconds(self, size: int) -> float:
        """Return the minimum time between two reads of a VM list of `size` bytes.

        It limits the read rate of the whole fleet and the bytes a second that one process receives.
        """
        by_reads = self.fleet_size / VM_LIST_READS_PER_SECOND
        return max(by_reads, size / VM_LIST_BYTES_PER_SECOND)

    def set_vms(self, vms: Sequence[Vm], now: float) -> None:
        """Set the VM list, and select the readers again if it changed."""
        if vms != self._vms:
            self._vms = vms
            self._select_readers(now)

    def set_excluded(self, names: Collection[str], now: float) -> None:
        """Set the names of the unreachable processes, which are not selected as readers."""
        excluded = frozenset(names) - {self._name}
        if excluded != self._excluded:
            self._excluded = excluded
            self._select_readers(now)

    def note_contact(self, at: float) -> None:
        """Record a response of the platform that a peer reported.

        The age that a peer reports leaves out the transit time of its message, so the response
        appears more recent with each hop. Only one later by `CONTACT_MARGIN_SECONDS` counts;
        otherwise an old response would circulate between processes as a recent one.

        Args:
            at: time of the response in seconds on this process's clock.
        """
        if self._last_contact_at is None or at > self._last_contact_at + CONTACT_MARGIN_SECONDS:
            self._set_contact(at)

    def note_success(self, now: float) -> None:
        """Record a successful read by this process."""
        self._failures = 0
        self._retry_at = now
        self._set_contact(now)

    def note_failure(self, now: float) -> None:
        """Record a failed read by this process, and back off."""
        longest = MAXIMUM_READER_BACKOFF_SECONDS
        if not self.is_reader:
            longest = MAXIMUM_DIRECT_BACKOFF_SECONDS
        backoff = min(longest, FIRST_BACKOFF_SECONDS * 2.0 ** min(self._failures, 10))
        self._failures += 1
        self._retry_at = now + backoff * self._random.uniform(0.5, 1.0)

    def take_token(self, now: float) -> float:
        """Take a token for one read and return the seconds to wait before it."""
        return self._bucket.take(now)

    def decide(self, now: float) -> ReadDecision:
        """Return whether to watch, read once or wait."""
        if now < self._retry_at:
            return Wait(self._retry_at - now)
        if self.is_reader:
            return Watch()
        if now < self._no_direct_read_before:
            return Wait(self._no_direct_read_before - now)
        if self._direct_read_at is None:
            self._direct_read_at = now + self._random.uniform(0.0, self._window_seconds())
        if now < self._direct_read_at:
            return Wait(self._direct_read_at - now)
        self._direct_read_at = None
        return ReadOnce()

    def _set_contact(self, at: float) -> None:
        self._last_contact_at = at
        no_direct_read_before = at + self._silence_seconds
        if no_direct_read_before > self._no_direct_read_before:
            self._no_direct_read_before = no_direct_read_before
            self._direct_read_at = None

    def _window_seconds(self) -> float:
        """Return the width of the window over which direct reads are spread.

        A full burst by every process then stays within the fleet's read rate.
        """
        return self.fleet_size * DIRECT_READ_BURST / DIRECT_READS_PER_SECOND

    def _direct_rate(self) -> tuple[float, float]:
        return DIRECT_READS_PER_SECOND / self.fleet_size, DIRECT_READ_BURST

    def _select_readers(self, now: float) -> None:
        was_reader = self.is_reader
        self._readers = readers_of(self._vms, self._failure_domain, self._excluded)
        if self.is_reader:
            domains = len({vm.failure_domain for vm in self._vms})
            rate = READER_READS_PER_SECOND / (READERS_IN_DOMAIN * domains)
            self._bucket.set_rate(rate, READER_BURST, now)
        else:
            self._bucket.set_rate(*self._direct_rate(), now)
        if self.is_reader and not was_reader:
            # A new reader doesn't wait out the longer back-off of direct reads.
            self._retry_at = now
