"""Versioned values of the platform stand-in, older versions included, and its faults."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeAlias

MAXIMUM_VERSIONS = 8
MAXIMUM_COUNTED_SECONDS = 600


@dataclass(frozen=True, slots=True)
class Well:
    """No fault: every read gets the latest value at once."""


@dataclass(frozen=True, slots=True)
class Down:
    """Connections are closed without an answer."""


@dataclass(frozen=True, slots=True)
class Silent:
    """Requests are read but never answered."""


@dataclass(frozen=True, slots=True)
class Slow:
    """Each answer is delayed by `seconds`."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Stale:
    """Values published after this fault began are not served."""


@dataclass(frozen=True, slots=True)
class OlderReads:
    """Every `every`th read of a value gets the version before the latest."""

    every: int = 2


@dataclass(frozen=True, slots=True)
class Failing:
    """Each request is answered with an error status."""

    status: int = 503


@dataclass(frozen=True, slots=True)
class Garbage:
    """Each request is answered with these bytes, and the connection is closed."""

    content: bytes


PlatformFault: TypeAlias = Well | Down | Silent | Slow | Stale | OlderReads | Failing | Garbage


@dataclass(frozen=True, slots=True)
class StoredValue:
    """One version of a value."""

    version: int
    content: bytes


@dataclass(frozen=True, slots=True)
class PlatformCopy:
    """A copy of a store's content.

    Attributes:
        version: the latest version when it was made.
        values: the latest versions of each value.
    """

    version: int
    values: Mapping[str, Sequence[StoredValue]]


class PlatformStore:
    """Keeps the latest versions of each value and counts the reads of each second."""

    def __init__(self) -> None:
        self._values: dict[str, deque[StoredValue]] = {}
        self._version = 0
        self._frozen_version: int | None = None
        self._fault: PlatformFault = Well()
        self._reads = 0
        self._reads_by_second: Counter[int] = Counter()

    @property
    def fault(self) -> PlatformFault:
        """Return the current fault."""
        return self._fault

    @property
    def reads(self) -> int:
        """Return the number of reads; a watch counts as one, however long it waits."""
        return self._reads

    @property
    def most_reads_in_a_second(self) -> int:
        """Return the largest number of reads in one second of the clock."""
        return max(self._reads_by_second.values(), default=0)

    def set_fault(self, fault: PlatformFault) -> None:
        """Simulate a fault from now on; `Well()` ends it."""
        self._fault = fault
        self._frozen_version = self._version if isinstance(fault, Stale) else None

    def put(self, key: str, content: bytes) -> None:
        """Store a value; unchanged content doesn't make a new version."""
        versions = self._values.setdefault(key, deque(maxlen=MAXIMUM_VERSIONS))
        if versions and versions[-1].content == content:
            return
        self._version += 1
        versions.append(StoredValue(self._version, content))

    def put_all(self, values: Mapping[str, bytes]) -> None:
        """Store values in the order given; other values stay as they are."""
        for key, content in values.items():
            self.put(key, content)

    def copy(self) -> PlatformCopy:
        """Return a copy of the content."""
        values = {key: tuple(versions) for key, versions in self._values.items()}
        return PlatformCopy(self._version, values)

    def return_from(self, copy: PlatformCopy) -> None:
        """Replace the content by a copy; later versions are given out again."""
        self._version = copy.version
        self._values = {
            key: deque(versions, maxlen=MAXIMUM_VERSIONS) for key, versions in copy.values.items()
        }

    def remove(self, key: str) -> None:
        """Remove a value with all its versions."""
        self._values.pop(key, None)

    def count_read(self, now: float) -> None:
        """Count one read; `now` is its time in seconds."""
        self._reads += 1
        self._reads_by_second[int(now)] += 1
        if len(self._reads_by_second) > MAXIMUM_COUNTED_SECONDS:
            del self._reads_by_second[min(self._reads_by_second)]

    def read(self, key: str) -> StoredValue | None:
        """Return the version of a value that a reader gets under the current fault, or None."""
        versions = self._values.get(key)
        if not versions:
            return None
        match self._fault:
            case Stale():
                limit = self._frozen_version or 0
                known = [each for each in versions if each.version <= limit]
                return known[-1] if known else None
            case OlderReads(every) if self._reads % every == 0 and len(versions) > 1:
                return versions[-2]
            case _:
                return versions[-1]
