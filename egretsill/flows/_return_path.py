"""Choice of the balancer that a flow's replies are sent through."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..configuration import Address

SILENCE_SECONDS = 0.4
# Within this time all membership views include a change (docs/DESIGN.md, Membership).
MEMBERSHIP_LAG_SECONDS = 5.0


class ReturnPath:
    """Chooses the balancer for each reply of a flow: usually the one that delivered last.

    If a reply is not acknowledged, the balancer may have failed, and no other signal shows this at
    once. After `SILENCE_SECONDS` without a datagram from the caller, each further reply therefore
    goes through the next reachable balancer until the caller sends again. A balancer that is
    missing from the view is treated as gone only if it delivered nothing within
    `MEMBERSHIP_LAG_SECONDS`, since it may be too new for the view.

    Args:
        balancers: returns the tunnel endpoints of the reachable balancers, in a fixed order.
    """

    __slots__ = (
        "_balancers",
        "_last_balancer",
        "_last_received_time",
        "_rotation",
        "_waiting_since",
    )

    def __init__(self, balancers: Callable[[], Sequence[Address]]) -> None:
        self._balancers = balancers
        self._last_balancer: Address | None = None
        self._last_received_time = 0.0
        self._waiting_since: float | None = None
        self._rotation = 0

    def on_received(self, balancer: Address, now: float) -> None:
        """Record that `balancer` delivered a datagram from the caller."""
        self._last_balancer = balancer
        self._last_received_time = now
        self._waiting_since = None

    def choose(self, now: float) -> Address | None:
        """Return the balancer for the next reply, or None if no balancer is known."""
        live = self._balancers()
        if self._waiting_since is None:
            self._waiting_since = now
        silent = now - self._waiting_since > SILENCE_SECONDS
        has_left = (
            self._last_balancer not in live
            and now - self._last_received_time > MEMBERSHIP_LAG_SECONDS
        )
        if self._last_balancer is not None and not silent and not has_left:
            return self._last_balancer
        if not live:
            return self._last_balancer
        self._rotation += 1
        return live[self._rotation % len(live)]
