"""The flows that one agent knows of, bounded in number and age."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ._packet import FlowKey

MAXIMUM_FLOWS = 20_000  # ten times what a target of 2,000 connections holds, some 8 MB
OPENING_SECONDS = 3.0  # a caller gives up opening after 1.4 s
ENDED_SECONDS = 10.0  # the target answers late packets of an ended flow for longer than that
DELAY_SHARE = 0.2  # of a new measurement in the mean delay


class FlowState(enum.Enum):
    """What an agent knows of a flow."""

    TRYING = "trying"
    OWNED = "owned"
    PASSED = "passed"


@dataclass(slots=True, eq=False)
class FlowEntry:
    """One flow; it changes with each packet.

    Attributes:
        state: what is known.
        balancer: the balancer that sent its last packet here.
        visited: agents that passed its last packet on before this one.
        seen_at: when its last packet passed.
        opened_at: when its first packet passed.
        passed_to: VM that has it, if it was passed on.
        pending_since: when its request in progress began to arrive, None if there is none.
        caller_closed: whether the caller has ended its direction.
        target_closed: whether the target has ended its direction.
    """

    state: FlowState
    balancer: int
    visited: tuple[int, ...]
    seen_at: float
    opened_at: float
    passed_to: int = 0
    pending_since: float | None = None
    caller_closed: bool = False
    target_closed: bool = False

    @property
    def has_ended(self) -> bool:
        """Return whether both ends have closed the flow."""
        return self.caller_closed and self.target_closed


class FlowTable:
    """Flows by key, with the load that they are.

    Args:
        retention_seconds: age at which any flow may be forgotten.
    """

    def __init__(self, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._flows: dict[FlowKey, FlowEntry] = {}
        self._pending = 0
        self._owned = 0
        self._delay_seconds = 0.0

    def __len__(self) -> int:
        return len(self._flows)

    @property
    def owned(self) -> int:
        """Return how many open flows the target has."""
        return self._owned

    @property
    def pending(self) -> int:
        """Return how many requests are in progress at the target."""
        return self._pending

    @property
    def delay_seconds(self) -> float:
        """Return the mean time to an answer's first byte lately, 0 if unknown."""
        return self._delay_seconds

    def get(self, flow: FlowKey) -> FlowEntry | None:
        """Return a flow, or None if it isn't known."""
        return self._flows.get(flow)

    def put(self, flow: FlowKey, entry: FlowEntry) -> None:
        """Add or replace a flow; of too many, the oldest is forgotten."""
        self.remove(flow)
        if len(self._flows) >= MAXIMUM_FLOWS:
            self.remove(next(iter(self._flows)))
        self._flows[flow] = entry
        self._owned += entry.state is FlowState.OWNED

    def own(self, entry: FlowEntry) -> None:
        """Note that the target has a flow."""
        if entry.state is not FlowState.OWNED:
            entry.state = FlowState.OWNED
            self._owned += 1

    def remove(self, flow: FlowKey) -> None:
        """Forget a flow."""
        entry = self._flows.pop(flow, None)
        if entry is None:
            return
        self._owned -= entry.state is FlowState.OWNED
        self.end_request(entry)

    def begin_request(self, entry: FlowEntry, now: float) -> None:
        """Note that a caller's data arrived."""
        if entry.pending_since is None:
            entry.pending_since = now
            self._pending += 1

    def answer_request(self, entry: FlowEntry, now: float) -> float | None:
        """Note that a target's data arrived; return how long the caller's had waited."""
        if entry.pending_since is None:
            return None
        delay = now - entry.pending_since
        self._delay_seconds += DELAY_SHARE * (delay - self._delay_seconds)
        self.end_request(entry)
        return delay

    def end_request(self, entry: FlowEntry) -> None:
        """Note that a flow has no request in progress."""
        if entry.pending_since is not None:
            entry.pending_since = None
            self._pending -= 1

    def clear(self) -> None:
        """Forget all flows."""
        for flow in tuple(self._flows):
            self.remove(flow)

    def oldest_pending(self, now: float) -> float:
        """Return for how long the longest request has waited, in seconds."""
        waits = [now - each.pending_since for each in self._flows.values() if each.pending_since]
        return max(waits, default=0.0)

    def sweep(self, now: float, idle_seconds: float) -> None:
        """Forget flows that are over or were silent for too long."""
        for flow, entry in tuple(self._flows.items()):
            if now - entry.seen_at > self._longest_silence(entry, idle_seconds):
                self.remove(flow)

    def _longest_silence(self, entry: FlowEntry, idle_seconds: float) -> float:
        if entry.has_ended:
            return ENDED_SECONDS
        match entry.state:
            case FlowState.TRYING:
                return OPENING_SECONDS
            case FlowState.PASSED:
                return self._retention_seconds
            case FlowState.OWNED:
                return max(idle_seconds, ENDED_SECONDS)
