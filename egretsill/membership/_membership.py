"""The membership protocol of one process: takes typed events and the time, returns typed effects.

It implements SWIM (Das, Gupta, Motivala, 2002): in each period, each process probes a constant
number of others, first directly and then through helpers. A member that does not answer becomes
suspect and is declared dead unless it refutes the suspicion in time with a higher incarnation.
Claims are piggybacked on probes and sent in gossip of bounded size. A process that detects that it
is slow itself uses longer timeouts.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

from ..configuration import Address
from ._claims import Claims
from ._dissemination import GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND, ByteBudget
from ._effects import Effect, Send
from ._member import Member, MembershipView, MemberState, Role, identifier_of
from ._messages import (
    ANY_MEMBER,
    MAXIMUM_UPDATES,
    Ack,
    Gossip,
    MemberQuery,
    MemberRecords,
    MembershipMessage,
    MemberUpdate,
    Ping,
    PingRequest,
    SyncDigests,
    SyncEntries,
)
from ._probing import PROBE_SECONDS, Probe, Prober, ProbeStep, SelfHealth
from ._synchronization import Synchronization

TICK_SECONDS = 0.1
LATE_TICK_SECONDS = 0.4
GOSSIP_PEERS = 3
UNREACHABLE_PING_SECONDS = 0.5
HEALING_SECONDS = 2.0
HEALING_PINGS = 4
SEED_SECONDS = 5.0
SWEEP_SECONDS = 10.0
ANNOUNCEMENT_PEERS = 8
MAXIMUM_SEEDS = 64


class Membership:
    """Tracks which processes of the fleet are reachable.

    Args:
        own: this process.
        incarnation: start of this process in milliseconds since 1970.
        random_source: used to choose the members to probe and to gossip with.
        now: seconds on the timer service.
        seeds: gossip endpoints to ping regularly, more often while no member is reachable.
    """

    def __init__(
        self,
        own: Member,
        incarnation: int,
        random_source: random.Random,
        now: float,
        seeds: Sequence[Address] = (),
    ) -> None:
        self._outbox: list[Effect] = []
        self._random = random_source
        self._seeds = [each for each in seeds if each != own.gossip][:MAXIMUM_SEEDS]
        health = SelfHealth()
        gossip_budget = ByteBudget(GOSSIP_BYTES_PER_SECOND, GOSSIP_BURST_BYTES, now)
        self._claims = Claims(own, incarnation, health, gossip_budget, self._outbox)
        self._roster = self._claims.roster
        first_probe = now + PROBE_SECONDS * random_source.random()
        self._prober = Prober(own.identifier, self._roster, random_source, first_probe, health)
        self._synchronization = Synchronization(
            self._claims, self._prober, random_source, self._outbox, now
        )
        self._candidates: dict[str, frozenset[int]] = {}
        self._last_tick = now
        self._next_unreachable_ping = now
        self._next_seed = now
        self._next_sweep = now + SWEEP_SECONDS

    @property
    def own(self) -> Member:
        """Return this process."""
        return self._claims.own

    @property
    def incarnation(self) -> int:
        """Return this process's current incarnation."""
        return self._claims.incarnation

    @property
    def own_update(self) -> MemberUpdate:
        """Return the current claim of this process about itself."""
        return self._claims.own_update

    @property
    def view(self) -> MembershipView:
        """Return the current view of the other processes."""
        return self._roster.view

    @property
    def counts(self) -> Mapping[tuple[Role, MemberState], int]:
        """Return the number of other processes by role and state."""
        counts = {(role, state): 0 for role in Role for state in MemberState}
        for entry in self._roster.entries:
            counts[entry.member.role, entry.state] += 1
        return counts

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is fresh enough to choose where new work goes."""
        return self._synchronization.refresh.is_fresh(now)

    def state_of(self, name: str) -> MemberState | None:
        """Return the state of the member with this name, or None if it is unknown."""
        entry = self._roster.get(identifier_of(name))
        return None if entry is None else entry.state

    def tick(self, now: float) -> list[Effect]:
        """Perform the steps that are due; call this every `TICK_SECONDS`."""
        self._compensate_for_late_tick(now)
        self._claims.check_suspicions(now)
        self._advance_probes(now)
        self._start_probes(now)
        self._answer_expired_relays(now)
        self._ping_unreachable(now)
        self._ping_seed(now)
        self._synchronization.tick(now)
        self._gossip(now)
        if now >= self._next_sweep:
            self._next_sweep = now + SWEEP_SECONDS
            self._claims.remove_obsolete(self._candidate_identifiers(), now)
        return self._drain_outbox()

    def on_message(self, message: MembershipMessage, sender: Address, now: float) -> list[Effect]:
        """Handle a received message."""
        match message:
            case Ping():
                self._on_ping(message, sender, now)
            case Ack():
                self._on_ack(message, sender, now)
            case PingRequest():
                self._on_ping_request(message, sender, now)
            case Gossip():
                self._claims.merge_all(message.updates, sender, now)
            case SyncDigests():
                self._synchronization.on_digests(message, sender, now)
            case SyncEntries():
                self._synchronization.on_entries(message, sender, now)
            case MemberQuery():
                self._synchronization.on_query(message, sender)
            case MemberRecords():
                self._synchronization.on_records(message, sender, now)
        return self._drain_outbox()

    def on_vm_list(self, members: Sequence[Member], now: float) -> list[Effect]:
        """Add the VMs listed by the platform as candidates; the list does not show their state."""
        return self._on_candidates("vm-list", members, now)

    def on_targets(self, members: Sequence[Member], now: float) -> list[Effect]:
        """Add the agents of the configured targets as candidates."""
        return self._on_candidates("targets", members, now)

    def on_clock_jump(self, now: float) -> list[Effect]:
        """Handle a clock jump: mark the view as stale, cancel probes and extend suspicions."""
        self._last_tick = now
        self._prober.cancel_all()
        self._prober.next_probe = now
        self._prober.health.increase_slowness()
        self._claims.restart_suspicion_timeouts(now)
        self._synchronization.refresh.begin(now)
        self._synchronization.tick(now)
        return self._drain_outbox()

    def announce_leaving(self, now: float) -> list[Effect]:
        """Announce that this process accepts no new work."""
        return self._announce(MemberState.LEAVING)

    def announce_available(self, now: float) -> list[Effect]:
        """Announce that this process accepts new work again."""
        return self._announce(MemberState.ALIVE)

    def announce_stopping(self, now: float) -> list[Effect]:
        """Announce that this process is about to end."""
        return self._announce(MemberState.DEAD)

    def _drain_outbox(self) -> list[Effect]:
        effects = list(self._outbox)
        self._outbox.clear()
        return effects

    def _send(self, address: Address, message: MembershipMessage) -> None:
        self._outbox.append(Send(address, message))

    def _announce(self, state: MemberState) -> list[Effect]:
        self._claims.set_own_state(state)
        for peer in self._prober.sample_peers(ANNOUNCEMENT_PEERS):
            entry = self._roster.get(peer)
            if entry is not None:
                self._send(entry.member.gossip, Gossip((self._claims.own_update,)))
        return self._drain_outbox()

    def _on_candidates(self, source: str, members: Sequence[Member], now: float) -> list[Effect]:
        others = [each for each in members if each.name != self.own.name]
        for member in others:
            self._roster.add(member, now)
        self._candidates[source] = frozenset(each.identifier for each in others)
        self._claims.remove_obsolete(self._candidate_identifiers(), now)
        return self._drain_outbox()

    def _candidate_identifiers(self) -> frozenset[int]:
        return frozenset().union(*self._candidates.values())

    def _merge_sender(self, identifier: int, incarnation: int, source: Address, now: float) -> None:
        alive = MemberUpdate(identifier, incarnation, MemberState.ALIVE.value)
        self._claims.merge(alive, source, now)

    def _on_ping(self, message: Ping, sender: Address, now: float) -> None:
        self._claims.merge_all(message.updates, sender, now)
        self._merge_sender(message.sender, message.incarnation, sender, now)
        updates = self._claims.piggyback_for(message.sender, now)
        own = self._claims
        answer = Ack(message.sequence, own.identifier, own.incarnation, True, updates)
        self._send(sender, answer)

    def _on_ack(self, message: Ack, sender: Address, now: float) -> None:
        self._claims.merge_all(message.updates, sender, now)
        if message.reached:
            self._merge_sender(message.sender, message.incarnation, sender, now)
        relay = self._prober.relays.pop(message.sequence, None)
        if relay is not None:
            answer = Ack(relay.requester_sequence, message.sender, message.incarnation, True)
            self._send(relay.requester, answer)
            return
        if not message.reached or self._prober.is_from_other_process(message, sender):
            self._prober.note_negative_ack(message.sequence)
            return
        probe = self._prober.finish(message.sequence)
        if probe is not None and probe.target != message.sender:
            self._on_address_taken_over(probe.target, now)

    def _on_address_taken_over(self, target: int, now: float) -> None:
        """Declare a member dead because another process answers at its address."""
        entry = self._roster.get(target)
        if entry is not None:
            self._claims.declare_dead(entry, now)

    def _on_ping_request(self, message: PingRequest, sender: Address, now: float) -> None:
        self._claims.merge_all(message.updates, sender, now)
        self._merge_sender(message.sender, message.incarnation, sender, now)
        entry = self._roster.get(message.target)
        if entry is None:
            return
        sequence = self._prober.begin_relay(sender, message.sequence, message.target, now)
        if sequence is not None:
            self._ping(entry.member.gossip, message.target, sequence, now)

    def _ping(self, address: Address, target: int, sequence: int, now: float) -> None:
        own = self._claims
        updates = own.piggyback_for(target, now)
        self._send(address, Ping(sequence, own.identifier, own.incarnation, target, updates))

    def _compensate_for_late_tick(self, now: float) -> None:
        late = now - self._last_tick - TICK_SECONDS
        self._last_tick = now
        if late > LATE_TICK_SECONDS:
            self._prober.extend_probes(late)
            self._prober.health.increase_slowness()
            self._claims.restart_suspicion_timeouts(now)

    def _start_probes(self, now: float) -> None:
        for target in self._prober.due_targets(now):
            self._start_probe(target, now)

    def _start_probe(self, target: int, now: float) -> None:
        entry = self._roster.get(target)
        if entry is not None:
            address = entry.member.gossip
            self._ping(address, target, self._prober.begin(target, address, now), now)

    def _advance_probes(self, now: float) -> None:
        for sequence, probe, step in self._prober.steps(now):
            entry = self._roster.get(probe.target)
            if entry is None:
                continue
            match step:
                case ProbeStep.FAILED:
                    self._claims.suspect(entry, now)
                case ProbeStep.RETRY:
                    self._ping(probe.address, probe.target, sequence, now)
                    self._send_ping_requests(sequence, probe.target, now)
                    self._probe_next_on_ring(probe, now)

    def _probe_next_on_ring(self, probe: Probe, now: float) -> None:
        """On the first retry of a probe, probe the next member of the ring as well."""
        target = self._prober.next_on_ring() if probe.retries == 1 else None
        if target is not None:
            self._start_probe(target, now)

    def _send_ping_requests(self, sequence: int, target: int, now: float) -> None:
        own = self._claims
        for helper in self._prober.choose_helpers(sequence, target):
            entry = self._roster.get(helper)
            if entry is not None:
                updates = own.piggyback_for(helper, now)
                message = PingRequest(sequence, own.identifier, own.incarnation, target, updates)
                self._send(entry.member.gossip, message)

    def _answer_expired_relays(self, now: float) -> None:
        for relay in self._prober.expired_relays(now):
            self._send(relay.requester, Ack(relay.requester_sequence, relay.target, 0, False))

    def _ping_unreachable(self, now: float) -> None:
        """Ping dead members and candidates, more often while members return after a partition."""
        if now < self._next_unreachable_ping:
            return
        isolated = len(self._roster.reachable) == 0
        healing = now - self._claims.last_recovery < HEALING_SECONDS
        self._next_unreachable_ping = now + (
            TICK_SECONDS if isolated or healing else UNREACHABLE_PING_SECONDS
        )
        ordered = self._roster.unreachable.ordered
        count = min(HEALING_PINGS if healing else 1, len(ordered))
        for target in self._random.sample(ordered, count):
            entry = self._roster.get(target)
            if entry is not None:
                self._ping(entry.member.gossip, target, self._prober.next_sequence(), now)

    def _ping_seed(self, now: float) -> None:
        if not self._seeds or now < self._next_seed:
            return
        isolated = len(self._roster.reachable) == 0
        self._next_seed = now + (UNREACHABLE_PING_SECONDS if isolated else SEED_SECONDS)
        self._ping(self._random.choice(self._seeds), ANY_MEMBER, self._prober.next_sequence(), now)

    def _gossip(self, now: float) -> None:
        """Send queued claims to `GOSSIP_PEERS` members, limited by the byte budget."""
        if len(self._claims.dissemination) == 0:
            return
        for peer in self._prober.sample_peers(GOSSIP_PEERS):
            count = min(len(self._claims.dissemination), MAXIMUM_UPDATES)
            entry = self._roster.get(peer)
            if count == 0 or entry is None or not self._claims.budget.spend(count, now):
                return
            self._send(entry.member.gossip, Gossip(tuple(self._claims.dissemination.take(count))))
