"""Table of the flows that one agent knows of, bounded in number and age."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from ._packet import FlowKey, FlowPacket, PacketKind
from ._sequence_numbers import SEQUENCE_NUMBERS, are_of_one_flow
from ._slot_times import SlotTimes
from ._target_failures import is_failure
from ._tunnel import Envelope
from ._work_estimates import RouteAddress, WorkEstimates

MAXIMUM_ASKED_PACKETS = 4  # of a flow; its caller sends others again after 0.2 s
MAXIMUM_FLOWS = 20_000  # ten times what a target of 2,000 connections holds, about 8 MB
HANDSHAKE_SECONDS = 3.0  # a caller gives up opening a flow after 1.4 s
# The target answers late packets of an ended flow for longer than that. Until the table is
# complete, ended flows are kept longer, as the target would be asked for later ones of their ports.
ENDED_SECONDS = 10.0
IDLE_SLACK_SECONDS = 0.9  # a packet sent in time may be lost twice; its copy comes 0.6 s later
RESUME_GRACE_SECONDS = 1.0  # packets queued in sockets during a scheduling pause are read by then
STUCK_SECONDS = 2.0  # a request at the target for longer no longer counts against its capacity
DELAY_SMOOTHING = 0.2  # weight of a new measurement in the mean delay


class FlowState(enum.Enum):
    """State of a flow at an agent.

    It was offered to the target, or the target was asked for it; it is owned by the target; it was
    passed on; or the target doesn't have it, though it had an earlier flow of the same key.
    """

    TRYING = "trying"
    OWNED = "owned"
    PASSED = "passed"
    ABSENT = "absent"


@dataclass(slots=True, eq=False)
class FlowEntry:
    """State of one flow, updated with each packet.

    Attributes:
        state: where the flow is.
        balancer: the balancer that sent its last packet here.
        domain_hash: hash of that balancer's failure domain.
        visited: agents that passed its last packet on before this one.
        last_packet_at: when its last packet passed.
        first_packet_at: when its first packet passed.
        passed_to: VM to which it was passed on, if it was.
        pending_since: when its request in progress began to arrive, None if there is none.
        next_sequence: number of the byte after the last one that the caller sent.
        next_answer_sequence: number of the byte after the last one that the target sent.
        asked: packets of a flow that wasn't known here, which were delivered to learn whether the
            target has the flow; removed with the target's answer.
        opening_delay: seconds between the caller's first SYN packet and the one that was delivered.
        is_transferred: whether its SYN packet was passed on because of an offer of capacity.
        is_established: whether the target has sent more than a SYN-ACK packet.
        homes: VMs whose agents were notified of it.
        announced_at: when all of them were notified last.
        caller_closed: whether the caller has closed its direction.
        target_closed: whether the target has closed its direction.
        is_counted: whether it is included in the number of flows at the target.
        route: service address of its requests.
        expected_seconds: how long the request in progress was expected to take when it was
            delivered; 0 if that wasn't known.
    """

    state: FlowState
    balancer: int
    domain_hash: int
    visited: tuple[int, ...]
    last_packet_at: float
    first_packet_at: float
    passed_to: int = 0
    pending_since: float | None = None
    next_sequence: int | None = None
    next_answer_sequence: int | None = None
    asked: tuple[FlowPacket, ...] = ()
    opening_delay: float = 0.0
    is_transferred: bool = False
    is_established: bool = False
    homes: Sequence[int] = ()
    announced_at: float = float("-inf")
    caller_closed: bool = False
    target_closed: bool = False
    is_counted: bool = False
    route: RouteAddress | None = None
    expected_seconds: float = 0.0

    @classmethod
    def begin(cls, state: FlowState, envelope: Envelope, now: float) -> FlowEntry:
        """Return the entry of a flow whose first packet came with an envelope."""
        return cls(state, envelope.balancer, envelope.domain_hash, envelope.visited, now, now)

    def note_arrival(self, envelope: Envelope, now: float) -> None:
        """Record the arrival of a packet of the caller."""
        self.last_packet_at = now
        self.balancer = envelope.balancer
        self.domain_hash = envelope.domain_hash
        self.visited = envelope.visited

    def envelope(self, version: int, service_hash: int) -> Envelope:
        """Return the envelope with which the last packet is passed on.

        Args:
            version: configuration version by which it is steered now.
            service_hash: hash of the service that it is steered to now.
        """
        return Envelope(self.balancer, version, service_hash, self.visited, self.domain_hash)

    def was_transferred_since(self, earliest: float) -> bool:
        """Return whether its SYN packet was passed on because of an offer at a time or later."""
        return self.is_transferred and self.first_packet_at >= earliest

    @property
    def has_ended(self) -> bool:
        """Return whether both ends have closed the flow."""
        return self.caller_closed and self.target_closed

    def is_from_other_flow(self, packet: FlowPacket) -> bool:
        """Return whether a caller's packet certainly belongs to another flow with the same key.

        Each flow begins with numbers of its own in both directions. The caller of a copy of the
        SYN packet that another target answered first acknowledges that target's number.
        """
        if self.next_sequence is not None and not are_of_one_flow(
            packet.sequence, self.next_sequence
        ):
            return True
        if packet.kind is PacketKind.SYN or self.next_answer_sequence is None:
            return False
        return not are_of_one_flow(packet.acknowledged, self.next_answer_sequence)

    def note_answer(self, packet: FlowPacket) -> None:
        """Record a packet that the target sent."""
        length = packet.payload_bytes or packet.kind in (PacketKind.SYN_ACK, PacketKind.FIN)
        self.next_answer_sequence = (packet.sequence + length) % SEQUENCE_NUMBERS

    def is_broken_off_by(self, packet: FlowPacket) -> bool:
        """Return whether the target resets the flow while its caller still waits for an answer."""
        is_open = not (self.caller_closed or self.target_closed)
        return packet.kind is PacketKind.RST and is_open and self.pending_since is not None

    def note_asked(self, packet: FlowPacket) -> None:
        """Keep a packet that is delivered before it is known whether the target has the flow."""
        if packet.kind is not PacketKind.RST and len(self.asked) < MAXIMUM_ASKED_PACKETS:
            self.asked = (*self.asked, packet)

    def is_proof(self, answer: FlowPacket) -> bool:
        """Return whether a target's answer shows that it has the flow that it was asked for.

        A target also answers packets of a flow that has ended there, which may have had the same
        key: data with an RST packet, and a FIN packet with the numbers of the ended flow.
        """
        if answer.kind is PacketKind.RST:
            return False
        return are_of_one_flow(answer.sequence, self.asked[-1].acknowledged)


class FlowTable:
    """Flows by key, and the target's load that follows from them.

    Args:
        retention_seconds: age at which any flow may be removed.
        started_at: local time since which the agent has seen every packet of the target.
        capacity: returns how many requests the target works on at once; 0 if unknown.
    """

    def __init__(
        self,
        retention_seconds: float,
        started_at: float = float("-inf"),
        capacity: Callable[[], int] = lambda: 0,
    ) -> None:
        self._capacity = capacity
        self._slots: SlotTimes[FlowEntry] = SlotTimes()
        self._work = WorkEstimates()
        self._complete_at = started_at + retention_seconds
        self._resumed_at = float("-inf")
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
        """Return the number of flows at the target that have not ended."""
        return self._owned

    @property
    def pending(self) -> int:
        """Return the number of requests in progress at the target."""
        return self._pending

    @property
    def service_seconds(self) -> float:
        """Return the mean time from a request to its answer, 0 before the first answer."""
        return self._service_seconds

    @property
    def delay_seconds(self) -> float:
        """Return the recent mean time to the first byte of an answer, 0 if unknown."""
        return self._delay_seconds

    @property
    def work(self) -> WorkEstimates:
        """Return what the target's requests cost, learned from its answers."""
        return self._work

    def remaining_seconds(self, now: float) -> float:
        """Return the work that the target has left to do for the requests in progress."""
        work = self._work
        return sum(
            work.remaining_seconds(entry.route, now - since)
            for entry, since in self._slots.started.items()
        ) + sum(work.seconds(entry.route) for entry in self._slots.waiting)

    def is_complete(self, now: float) -> bool:
        """Return whether the table has every flow of the target."""
        return now >= self._complete_at

    def get(self, flow: FlowKey) -> FlowEntry | None:
        """Return the entry of a flow, or None if there is none."""
        return self._flows.get(flow)

    def open_flows(self) -> Iterator[tuple[FlowKey, FlowEntry]]:
        """Yield the flows that are open at the target.

        A flow is open once the target has sent more than a SYN-ACK packet, or has accepted data
        without bouncing it.
        """
        for flow, entry in self._flows.items():
            has_data = entry.state is FlowState.OWNED and entry.next_sequence is not None
            if (entry.is_established or has_data) and not entry.has_ended:
                yield flow, entry

    def update_count(self, entry: FlowEntry) -> None:
        """Update the number of flows at the target after a change of a flow's state."""
        is_counted = entry.state is FlowState.OWNED and not entry.has_ended
        if is_counted is not entry.is_counted:
            self._owned += 1 if is_counted else -1
            entry.is_counted = is_counted

    def put(self, flow: FlowKey, entry: FlowEntry) -> None:
        """Add or replace a flow; if the table is full, the oldest one is removed."""
        self.remove(flow)
        if len(self._flows) >= MAXIMUM_FLOWS:
            oldest = next(iter(self._flows))
            if self._flows[oldest].state is FlowState.OWNED:
                self._complete_at = entry.first_packet_at + self._retention_seconds
            self.remove(oldest)
        self._flows[flow] = entry
        entry.route = (flow.service_host, flow.service_port)

    def remove(self, flow: FlowKey, now: float | None = None) -> None:
        """Remove a flow."""
        entry = self._flows.pop(flow, None)
        if entry is None:
            return
        self._owned -= entry.is_counted
        entry.is_counted = False
        self.end_request(entry, entry.last_packet_at if now is None else now)

    def note_data(self, entry: FlowEntry, sequence: int, payload_bytes: int) -> bool:
        """Record a caller's data; return whether it is new and not a retransmission."""
        end = (sequence + payload_bytes) % SEQUENCE_NUMBERS
        ahead = 0 if entry.next_sequence is None else (end - entry.next_sequence) % SEQUENCE_NUMBERS
        if entry.next_sequence is not None and not 0 < ahead < SEQUENCE_NUMBERS // 2:
            return False
        entry.next_sequence = end
        return True

    def begin_request(self, entry: FlowEntry, now: float) -> None:
        """Record that a caller's data arrived."""
        if entry.pending_since is None:
            entry.pending_since = now
            self._pending += 1
            slots = self._capacity()
            entry.expected_seconds = self._work.seconds(entry.route)
            if slots and self._slots.is_full(slots):
                entry.expected_seconds += self.remaining_seconds(now) / slots
            self._slots.begin(entry, slots, now)

    def take_answer(
        self, entry: FlowEntry, packet: FlowPacket, now: float
    ) -> tuple[float | None, bool]:
        """Record a packet that the target sent on a flow that it has.

        Returns:
            The time since the request arrived, None if it isn't answered by the packet, and whether
            the target failed.
        """
        entry.state = FlowState.OWNED
        entry.last_packet_at = now
        entry.note_answer(packet)
        if packet.kind is not PacketKind.SYN_ACK:
            entry.is_established = True
        # The FIN packet may overtake the data of the answer after which the target closes.
        is_closing = packet.kind is PacketKind.FIN and not entry.caller_closed
        is_answer = packet.payload_bytes > 0 or is_closing
        has_failed = is_failure(packet.status)
        delay = self.answer_request(entry, now, has_failed) if is_answer else None
        if delay is None:
            has_failed = entry.is_broken_off_by(packet)
        if packet.kind is PacketKind.FIN:
            entry.target_closed = True
            self.end_request(entry, now)
        self.update_count(entry)
        return delay, has_failed

    def answer_request(
        self, entry: FlowEntry, now: float, has_failed: bool = False
    ) -> float | None:
        """Record that a target's data arrived; return the time since the request arrived.

        Args:
            entry: the flow.
            now: local time.
            has_failed: whether the target failed; a fast failure must not look like a fast target.
        """
        if entry.pending_since is None:
            return None
        delay = now - entry.pending_since
        if not has_failed:
            self._delay_seconds += DELAY_SMOOTHING * (delay - self._delay_seconds)
            share = DELAY_SMOOTHING if self._service_seconds else 1.0
            self._service_seconds += share * (delay - self._service_seconds)
        slot_seconds = self.end_request(entry, now)
        if slot_seconds is not None and entry.route is not None:
            self._work.record_answer(entry.route, slot_seconds, has_failed)
        return delay

    def end_request(self, entry: FlowEntry, now: float) -> float | None:
        """End a flow's request in progress, if any; return how long it had a slot, if known."""
        if entry.pending_since is None:
            return None
        entry.pending_since = None
        self._pending -= 1
        return self._slots.end(entry, self._capacity(), now)

    def note_scheduling_pause(self, now: float) -> None:
        """Record that this process resumed; its pause doesn't count as idle time of flows."""
        self._resumed_at = now

    def sweep(self, now: float, idle_seconds: float) -> Sequence[FlowKey]:
        """Remove flows that have ended or were idle for too long.

        Returns:
            The flows on which neither end said anything for `STUCK_SECONDS` after a request.
        """
        stuck: list[FlowKey] = []
        if now - self._resumed_at < RESUME_GRACE_SECONDS:
            return stuck
        for flow, entry in tuple(self._flows.items()):
            if now - entry.last_packet_at > self._idle_limit(entry, idle_seconds, now):
                self.remove(flow, now)
            elif entry.pending_since is not None and now - entry.pending_since > STUCK_SECONDS:
                self.end_request(entry, now)
                if not entry.caller_closed and now - entry.last_packet_at > STUCK_SECONDS:
                    stuck.append(flow)
        return stuck

    def _idle_limit(self, entry: FlowEntry, idle_seconds: float, now: float) -> float:
        if entry.has_ended:
            return ENDED_SECONDS if self.is_complete(now) else self._retention_seconds
        match entry.state:
            case FlowState.TRYING | FlowState.ABSENT:
                return HANDSHAKE_SECONDS
            case FlowState.PASSED:
                return self._retention_seconds
            case FlowState.OWNED:
                return max(idle_seconds, ENDED_SECONDS) + IDLE_SLACK_SECONDS
