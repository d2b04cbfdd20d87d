"""The flows that one agent knows of, bounded in number and age."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ._packet import FlowKey
from ._tunnel import Envelope

MAXIMUM_FLOWS = 20_000  # ten times what a target of 2,000 connections holds, some 8 MB
OPENING_SECONDS = 3.0  # a caller gives up opening after 1.4 s
ENDED_SECONDS = 10.0  # the target answers late packets of an ended flow for longer than that
IDLE_SLACK_SECONDS = 0.9  # a packet sent in time may be lost twice, and is sent again 0.6 s later
WAKE_SECONDS = 1.0  # what waited in the sockets while this process stood still is read by then
STUCK_SECONDS = 2.0  # a request at the target for longer no longer counts against its capacity
SEQUENCE_NUMBERS = 2**32  # they wrap
FLOW_BYTES = 2**20  # far more than the 16 packets that a caller sends ahead of what is acknowledged
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
        domain_mark: mark of that balancer's failure domain.
        visited: agents that passed its last packet on before this one.
        seen_at: when its last packet passed.
        opened_at: when its first packet passed.
        passed_to: VM that has it, if it was passed on.
        pending_since: when its request in progress began to arrive, None if there is none.
        next_sequence: number of the byte after the last one that the caller sent.
        copy: how many opening packets the caller had sent before the one that came here.
        is_established: whether the target has sent more than its answer to an opening packet.
        homes: VMs whose agents were told of it.
        told_at: when they were told last.
        caller_closed: whether the caller has ended its direction.
        target_closed: whether the target has ended its direction.
    """

    state: FlowState
    balancer: int
    domain_mark: int
    visited: tuple[int, ...]
    seen_at: float
    opened_at: float
    passed_to: int = 0
    pending_since: float | None = None
    next_sequence: int | None = None
    copy: int = 0
    is_established: bool = False
    homes: Sequence[int] = ()
    told_at: float = float("-inf")
    caller_closed: bool = False
    target_closed: bool = False

    @classmethod
    def begin(cls, state: FlowState, envelope: Envelope, now: float) -> FlowEntry:
        """Return a flow whose first packet came so."""
        return cls(state, envelope.balancer, envelope.domain_mark, envelope.visited, now, now)

    def note_arrival(self, envelope: Envelope, now: float) -> None:
        """Note how a packet of the caller came."""
        self.seen_at = now
        self.balancer = envelope.balancer
        self.domain_mark = envelope.domain_mark
        self.visited = envelope.visited

    def envelope(self, version: int, service_mark: int) -> Envelope:
        """Return how the last packet came, to pass it on.

        Args:
            version: configuration version by which it is steered now.
            service_mark: of the service that it is steered to now.
        """
        return Envelope(self.balancer, version, service_mark, self.visited, self.domain_mark)

    @property
    def has_ended(self) -> bool:
        """Return whether both ends have closed the flow."""
        return self.caller_closed and self.target_closed

    def is_other(self, sequence: int) -> bool:
        """Return whether a caller's packet is surely of another flow with the same addresses.

        Args:
            sequence: number of the packet's first byte.
        """
        if self.next_sequence is None:
            return False
        ahead = (sequence - self.next_sequence) % SEQUENCE_NUMBERS
        return min(ahead, SEQUENCE_NUMBERS - ahead) > FLOW_BYTES


class FlowTable:
    """Flows by key, with the load that they are.

    Args:
        retention_seconds: age at which any flow may be forgotten.
        started_at: local time since which every packet of the target has been seen.
    """

    def __init__(self, retention_seconds: float, started_at: float = float("-inf")) -> None:
        self._complete_at = started_at + retention_seconds
        self._woken_at = float("-inf")
        self._retention_seconds = retention_seconds
        self._flows: dict[FlowKey, FlowEntry] = {}
        self._pending = 0
        self._owned = 0
        self._delay_seconds = 0.0
        self._service_seconds = 0.0

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
    def service_seconds(self) -> float:
        """Return the mean time that the target works on a request, 0 before the first answer."""
        return self._service_seconds

    @property
    def delay_seconds(self) -> float:
        """Return the mean time to an answer's first byte lately, 0 if unknown."""
        return self._delay_seconds

    def is_complete(self, now: float) -> bool:
        """Return whether the target has no flow that isn't here."""
        return now >= self._complete_at

    def get(self, flow: FlowKey) -> FlowEntry | None:
        """Return a flow, or None if it isn't known."""
        return self._flows.get(flow)

    def opened(self) -> Iterator[tuple[FlowKey, FlowEntry]]:
        """Yield the flows that are open at the target.

        Either it has sent more than its answer to the opening packet, or it took data and gave
        nothing back.
        """
        for flow, entry in self._flows.items():
            has_data = entry.state is FlowState.OWNED and entry.next_sequence is not None
            if (entry.is_established or has_data) and not entry.has_ended:
                yield flow, entry

    def put(self, flow: FlowKey, entry: FlowEntry) -> None:
        """Add or replace a flow; of too many, the oldest is forgotten."""
        self.remove(flow)
        if len(self._flows) >= MAXIMUM_FLOWS:
            oldest = next(iter(self._flows))
            if self._flows[oldest].state is FlowState.OWNED:
                self._complete_at = entry.opened_at + self._retention_seconds
            self.remove(oldest)
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

    def note_data(self, entry: FlowEntry, sequence: int, payload_bytes: int) -> bool:
        """Note a caller's data; return whether it is new and not sent again."""
        end = (sequence + payload_bytes) % SEQUENCE_NUMBERS
        ahead = 0 if entry.next_sequence is None else (end - entry.next_sequence) % SEQUENCE_NUMBERS
        if entry.next_sequence is not None and not 0 < ahead < SEQUENCE_NUMBERS // 2:
            return False
        entry.next_sequence = end
        return True

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
        share = DELAY_SHARE if self._service_seconds else 1.0
        self._service_seconds += share * (delay - self._service_seconds)
        self.end_request(entry)
        return delay

    def end_request(self, entry: FlowEntry) -> None:
        """Note that a flow has no request in progress."""
        if entry.pending_since is not None:
            entry.pending_since = None
            self._pending -= 1

    def note_wake(self, now: float) -> None:
        """Don't count the own sleep as the flows' silence."""
        self._woken_at = now

    def sweep(self, now: float, idle_seconds: float) -> None:
        """Forget flows that are over or were silent for too long."""
        if now - self._woken_at < WAKE_SECONDS:
            return
        for flow, entry in tuple(self._flows.items()):
            if now - entry.seen_at > self._longest_silence(entry, idle_seconds):
                self.remove(flow)
            elif entry.pending_since is not None and now - entry.pending_since > STUCK_SECONDS:
                self.end_request(entry)

    def _longest_silence(self, entry: FlowEntry, idle_seconds: float) -> float:
        if entry.has_ended:
            return ENDED_SECONDS
        match entry.state:
            case FlowState.TRYING:
                return OPENING_SECONDS
            case FlowState.PASSED:
                return self._retention_seconds
            case FlowState.OWNED:
                return max(idle_seconds, ENDED_SECONDS) + IDLE_SLACK_SECONDS
