"""Totals of the counts of several stand-in backend servers."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ..configuration import Address
from ..wire import get_page

TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class BackendTotals:
    """Counts summed over backend servers.

    Attributes:
        started: different markers whose requests started.
        run_twice: markers that started more than once, on one server or on several.
        misdirected: requests that were meant for another service.
    """

    started: int
    run_twice: int
    misdirected: int


async def read_counts(backends: Sequence[Address]) -> BackendTotals:
    """Read the counts of these backend servers and return their sums.

    Raises:
        PageUnavailable: if one of them does not answer.
    """
    starts: Counter[str] = Counter()
    misdirected = 0
    for address in backends:
        page = await get_page(address.host, address.port, "/counts", TIMEOUT_SECONDS)
        content = json.loads(page.body)
        starts.update(content["starts"])
        misdirected += int(content["misdirected"])
    twice = sum(1 for count in starts.values() if count > 1)
    return BackendTotals(len(starts), twice, misdirected)
