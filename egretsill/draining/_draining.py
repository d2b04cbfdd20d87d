"""When a process takes no new work, and when it may leave."""

from __future__ import annotations

from collections.abc import Sequence

from ._messages import (
    FINAL_SIGNALS,
    DrainEffect,
    DrainSignal,
    DrainState,
    Leave,
    ResumeNewWork,
    SendGoaway,
    StopNewWork,
    TellPeers,
)

AGENT_LINGER_SECONDS = 5.0
BALANCER_QUIET_SECONDS = 30.0
TELL_AGAIN_SECONDS = 1.0


class Draining:
    """The way out of one process, from its first drain signal until it leaves.

    An agent leaves when its last request and its last flow have ended and a linger for late packets
    has passed. A balancer holds no requests: it forwards until the fabric has fed it nothing for a
    while. For both, whatever arrives starts the wait anew. No wait has an end by force, so that no
    planned stop cuts a request.

    Signals from the VM list and SIGTERM are final. The configuration and the health page may be
    withdrawn, until the process has left.

    Args:
        quiet_seconds: how long nothing must arrive, and nothing be in progress, before it leaves.
    """

    def __init__(self, quiet_seconds: float = AGENT_LINGER_SECONDS) -> None:
        self._quiet_seconds = quiet_seconds
        self._signals: set[DrainSignal] = set()
        self._state = DrainState.SERVING
        self._requests = 0
        self._flows = 0
        self._quiet_since = 0.0
        self._tell_at = 0.0

    @classmethod
    def for_balancer(cls) -> Draining:
        """Return the way out of a balancer."""
        return cls(BALANCER_QUIET_SECONDS)

    @property
    def state(self) -> DrainState:
        """Return how far the process is on its way out."""
        return self._state

    @property
    def signals(self) -> frozenset[DrainSignal]:
        """Return the signals that hold now."""
        return frozenset(self._signals)

    @property
    def takes_new_work(self) -> bool:
        """Return whether new requests and flows are taken."""
        return self._state is DrainState.SERVING

    @property
    def next_wake(self) -> float | None:
        """Return when `tick` has something to do, in seconds, or None."""
        match self._state:
            case DrainState.SERVING | DrainState.LEFT:
                return None
            case DrainState.DRAINING:
                return self._tell_at
            case DrainState.LINGERING:
                return min(self._tell_at, self._quiet_since + self._quiet_seconds)

    def signal(self, signal: DrainSignal, holds: bool, now: float) -> Sequence[DrainEffect]:
        """Take in that a signal holds, or does not hold any more.

        A final signal that was seen once holds for good.
        """
        if self._state is DrainState.LEFT:
            return ()
        if holds:
            self._signals.add(signal)
        elif signal not in FINAL_SIGNALS:
            self._signals.discard(signal)
        if self._signals and self._state is DrainState.SERVING:
            return self._begin(now)
        if not self._signals and self._state is not DrainState.SERVING:
            return self._return_to_service()
        return ()

    def work(self, requests: int, flows: int, now: float) -> Sequence[DrainEffect]:
        """Take in how many requests are in progress and how many flows are open."""
        had_work = self._has_work
        self._requests = requests
        self._flows = flows
        if had_work or self._has_work:
            self._quiet_since = now
        return self._advance(now)

    def packet(self, now: float) -> None:
        """Take in that something arrived from a caller, a balancer or the fabric."""
        self._quiet_since = now

    def tick(self, now: float) -> Sequence[DrainEffect]:
        """Return what is to be done now that time has passed."""
        effects = list(self._advance(now))
        if self._is_leaving and now >= self._tell_at:
            self._tell_at = now + TELL_AGAIN_SECONDS
            effects.append(TellPeers(True))
        return effects

    @property
    def _has_work(self) -> bool:
        return self._requests > 0 or self._flows > 0

    @property
    def _is_leaving(self) -> bool:
        return self._state in (DrainState.DRAINING, DrainState.LINGERING)

    def _begin(self, now: float) -> Sequence[DrainEffect]:
        self._state = DrainState.DRAINING
        self._quiet_since = now
        self._tell_at = now + TELL_AGAIN_SECONDS
        return (StopNewWork(), TellPeers(True), SendGoaway(), *self._advance(now))

    def _return_to_service(self) -> Sequence[DrainEffect]:
        self._state = DrainState.SERVING
        return (ResumeNewWork(), TellPeers(False))

    def _advance(self, now: float) -> Sequence[DrainEffect]:
        if not self._is_leaving:
            return ()
        if self._has_work:
            self._state = DrainState.DRAINING
            return ()
        self._state = DrainState.LINGERING
        if now < self._quiet_since + self._quiet_seconds:
            return ()
        self._state = DrainState.LEFT
        return (Leave(),)
