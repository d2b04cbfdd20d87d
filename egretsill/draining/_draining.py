"""The drain procedure of a process, from its first signal until it leaves."""

from __future__ import annotations

from collections.abc import Sequence

from ._messages import (
    FINAL_SIGNALS,
    DrainEffect,
    DrainSignal,
    DrainState,
    Leave,
    NotifyPeers,
    ResumeNewWork,
    SendGoaway,
    StopNewWork,
)

AGENT_LINGER_SECONDS = 5.0
BALANCER_QUIET_SECONDS = 30.0
NOTICE_INTERVAL_SECONDS = 1.0


class Draining:
    """The drain state of one process, from its first drain signal until it leaves.

    An agent leaves when its last request and its last flow have ended and a linger time for late
    packets has passed. A balancer holds no requests: it forwards until nothing has arrived from the
    fabric for a while. For both, each arrival restarts the wait. No wait has a time limit, so that
    a planned stop never interrupts a request.

    Signals from the VM list and SIGTERM are final. Signals from the configuration and the health
    page can be withdrawn until the process has left.

    Args:
        quiet_seconds: time without arrivals and without work in progress before the process leaves.
    """

    def __init__(self, quiet_seconds: float = AGENT_LINGER_SECONDS) -> None:
        self._quiet_seconds = quiet_seconds
        self._signals: set[DrainSignal] = set()
        self._state = DrainState.SERVING
        self._requests = 0
        self._flows = 0
        self._quiet_since = 0.0
        self._next_notice_at = 0.0

    @classmethod
    def for_balancer(cls) -> Draining:
        """Return the drain state of a balancer."""
        return cls(BALANCER_QUIET_SECONDS)

    @property
    def state(self) -> DrainState:
        """Return the current state."""
        return self._state

    @property
    def signals(self) -> frozenset[DrainSignal]:
        """Return the signals that are set."""
        return frozenset(self._signals)

    @property
    def takes_new_work(self) -> bool:
        """Return whether the process takes new requests and flows."""
        return self._state is DrainState.SERVING

    @property
    def next_wake(self) -> float | None:
        """Return the time in seconds when `tick` is next due, or None."""
        match self._state:
            case DrainState.SERVING | DrainState.LEFT:
                return None
            case DrainState.DRAINING:
                return self._next_notice_at
            case DrainState.LINGERING:
                return min(self._next_notice_at, self._quiet_since + self._quiet_seconds)

    def signal(self, signal: DrainSignal, holds: bool, now: float) -> Sequence[DrainEffect]:
        """Set or withdraw a signal and return the effects.

        A final signal can't be withdrawn.
        """
        if self._state is DrainState.LEFT:
            return ()
        if holds:
            self._signals.add(signal)
        elif signal not in FINAL_SIGNALS:
            self._signals.discard(signal)
        if self._signals and self._state is DrainState.SERVING:
            return self._start_draining(now)
        if not self._signals and self._state is not DrainState.SERVING:
            return self._return_to_service()
        return ()

    def work(self, requests: int, flows: int, now: float) -> Sequence[DrainEffect]:
        """Update the numbers of requests in progress and open flows, and return the effects."""
        had_work = self._has_work
        self._requests = requests
        self._flows = flows
        if had_work or self._has_work:
            self._quiet_since = now
        return self._advance(now)

    def packet(self, now: float) -> None:
        """Record that a packet arrived from a caller, a balancer or the fabric."""
        self._quiet_since = now

    def tick(self, now: float) -> Sequence[DrainEffect]:
        """Return the effects that are due at `now`."""
        effects = list(self._advance(now))
        if self._is_leaving and now >= self._next_notice_at:
            self._next_notice_at = now + NOTICE_INTERVAL_SECONDS
            effects.append(NotifyPeers(True))
        return effects

    @property
    def _has_work(self) -> bool:
        return self._requests > 0 or self._flows > 0

    @property
    def _is_leaving(self) -> bool:
        return self._state in (DrainState.DRAINING, DrainState.LINGERING)

    def _start_draining(self, now: float) -> Sequence[DrainEffect]:
        self._state = DrainState.DRAINING
        self._quiet_since = now
        self._next_notice_at = now + NOTICE_INTERVAL_SECONDS
        return (StopNewWork(), NotifyPeers(True), SendGoaway(), *self._advance(now))

    def _return_to_service(self) -> Sequence[DrainEffect]:
        self._state = DrainState.SERVING
        return (ResumeNewWork(), NotifyPeers(False))

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
