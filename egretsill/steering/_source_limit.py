"""Rate limit on first packets of one source, so that a flood does not starve other sources."""

from __future__ import annotations

from collections import defaultdict

WINDOW_SECONDS = 1.0
FIRST_PACKETS_PER_SOURCE = 2000
MAXIMUM_SOURCES = 65_536


class SourceLimit:
    """Counts first packets by source host in fixed windows of one second.

    Sources beyond `MAXIMUM_SOURCES` in a window share one count, which bounds memory use.

    Args:
        packets_per_window: number of first packets admitted from a source in a window.
    """

    def __init__(self, packets_per_window: int = FIRST_PACKETS_PER_SOURCE) -> None:
        self._packets_per_window = packets_per_window
        self._window_ends_at = float("-inf")
        self._counts: defaultdict[str, int] = defaultdict(int)

    def admits(self, source_host: str, now: float) -> bool:
        """Count a first packet from this source at `now` seconds; return whether it is admitted."""
        counts = self._counts
        if now >= self._window_ends_at:
            counts.clear()
            self._window_ends_at = now + WINDOW_SECONDS
        if len(counts) >= MAXIMUM_SOURCES and source_host not in counts:
            source_host = ""
        counts[source_host] += 1
        return counts[source_host] <= self._packets_per_window
