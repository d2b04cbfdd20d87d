"""Which balancer a flow's replies go through."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..configuration import Address

SILENCE_SECONDS = 0.4
# In seconds; the bound within which all views know of a change (docs/DESIGN.md, Membership).
MEMBERSHIP_LAG_SECONDS = 5.0


class ReturnPath:
    """Replies go through the balancer that delivered last, and through others once it is silent.

    A reply that is never acknowledged may mean that the balancer died. Nothing else tells a flow
    so at once, and after `SILENCE_SECONDS` without a word of the caller each further send moves
    on to the next live balancer until the caller is heard again. A balancer that isn't among the
    live ones has left only if it delivered nothing within the lag of views: it may be new.

    Args:
        balancers: returns the tunnel endpoints of the balancers that answer, in a fixed order.
    """

    __slots__ = ("_balancers", "_heard_at", "_last", "_turn", "_waiting_since")

    def __init__(self, balancers: Callable[[], Sequence[Address]]) -> None:
        self._balancers = balancers
        self._last: Address | None = None
        self._heard_at = 0.0
        self._waiting_since: float | None = None
        self._turn = 0

    def on_received(self, balancer: Address, now: float) -> None:
        """Note that the caller was heard through `balancer`."""
        self._last = balancer
        self._heard_at = now
        self._waiting_since = None

    def choose(self, now: float) -> Address | None:
        """Return the balancer for the next reply, or None if none was ever known."""
        live = self._balancers()
        if self._waiting_since is None:
            self._waiting_since = now
        silent = now - self._waiting_since > SILENCE_SECONDS
        gone = self._last not in live and now - self._heard_at > MEMBERSHIP_LAG_SECONDS
        if self._last is not None and not silent and not gone:
            return self._last
        if not live:
            return self._last
        self._turn += 1
        return live[self._turn % len(live)]
