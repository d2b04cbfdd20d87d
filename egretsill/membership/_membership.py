"""The membership protocol of one process: typed events and a time in, typed effects out.

It is SWIM (Das, Gupta, Motivala, 2002): each process probes a constant number of others in each
period, straight and then through helpers; one that does not answer is suspected first, may refute
that with a higher incarnation, and is dead when nobody heard it in time. Claims travel on the
probes and in bounded gossip. A process that finds itself slow gives others more time.
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
    ANYONE,
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
REVIVAL_SECONDS = 0.5
HEALING_SECONDS = 2.0
HEALING_PINGS = 4
SEED_SECONDS = 5.0
SWEEP_SECONDS = 10.0
FAREWELL_PEERS = 8
MAXIMUM_SEEDS = 64


class Membership:
    """Knows which processes of the fleet answer.

    Args:
        own: this process.
        incarnation: start of this process in milliseconds since 1970.
        random_source: draws the members to probe and to gossip with.
        now: seconds on the timer service.
        seeds: gossip endpoints to try while no member is known.
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
        self._next_revival = now
        self._next_seed = now
        self._next_sweep = now + SWEEP_SECONDS

    @property
    def own(self) -> Member:
        """Return this process."""
        return self._claims.own

    @property
    def incarnation(self) -> int:
        """Return this process's present incarnation."""
        return self._claims.incarnation

    @property
    def own_update(self) -> MemberUpdate:
        """Return what this process claims about itself."""
        return self._claims.own_update

    @property
    def view(self) -> MembershipView:
        """Return what is known of the other processes."""
        return self._roster.view

    @property
    def counts(self) -> Mapping[tuple[Role, MemberState], int]:
        """Return the number of other processes by role and state."""
        counts = {(role, state): 0 for role in Role for state in MemberState}
        for entry in self._roster.entries:
            counts[entry.member.role, entry.state] += 1
        return counts

    def is_fresh(self, now: float) -> bool:
        """Return whether the view may choose where new work goes."""
        return self._synchronization.refresh.is_fresh(now)

    def state_of(self, name: str) -> MemberState | None:
        """Return what is known of the member with this name, or None if nothing is."""
        entry = self._roster.get(identifier_of(name))
        return None if entry is None else entry.state

    def tick(self, now: float) -> list[Effect]:
        """Do what has become due; call it every `TICK_SECONDS`."""
        self._allow_for_lateness(now)
        self._claims.check_suspicions(now)
        self._step_probes(now)
        self._start_probes(now)
        self._answer_for_relays(now)
        self._try_unreachable(now)
        self._try_seeds(now)
        self._synchronization.tick(now)
        self._gossip(now)
        if now >= self._next_sweep:
            self._next_sweep = now + SWEEP_SECONDS
            self._claims.forget(self._listed(), now)
        return self._take_effects()

    def on_message(self, message: MembershipMessage, sender: Address, now: float) -> list[Effect]:
        """Take in a datagram."""
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
        return self._take_effects()

    def on_vm_list(self, members: Sequence[Member], now: float) -> list[Effect]:
        """Take the platform's list of VMs; it names candidates, and proves none alive or dead."""
        return self._on_candidates("vm-list", members, now)

    def on_targets(self, members: Sequence[Member], now: float) -> list[Effect]:
        """Take the agents of the configured targets as candidates."""
        return self._on_candidates("targets", members, now)

    def on_jump(self, now: float) -> list[Effect]:
        """Stop relying on the view after this process did not run for a while."""
        self._last_tick = now
        self._prober.abandon()
        self._prober.next_probe = now
        self._prober.health.worse()
        self._claims.restart_suspicions(now)
        self._synchronization.refresh.begin(now)
        self._synchronization.tick(now)
        return self._take_effects()

    def announce_leaving(self, now: float) -> list[Effect]:
        """Tell the others that this process takes no new work."""
        return self._announce(MemberState.LEAVING)

    def announce_staying(self, now: float) -> list[Effect]:
        """Tell the others that this process takes new work after all."""
        return self._announce(MemberState.ALIVE)

    def announce_gone(self, now: float) -> list[Effect]:
        """Tell the others that this process is about to end."""
        return self._announce(MemberState.DEAD)

    def _take_effects(self) -> list[Effect]:
        effects = list(self._outbox)
        self._outbox.clear()
        return effects

    def _send(self, address: Address, message: MembershipMessage) -> None:
        self._outbox.append(Send(address, message))

    def _announce(self, state: MemberState) -> list[Effect]:
        self._claims.declare(state)
        for peer in self._prober.draw(FAREWELL_PEERS):
            entry = self._roster.get(peer)
            if entry is not None:
                self._send(entry.member.gossip, Gossip((self._claims.own_update,)))
        return self._take_effects()

    def _on_candidates(self, source: str, members: Sequence[Member], now: float) -> list[Effect]:
        others = [each for each in members if each.name != self.own.name]
        for member in others:
            self._roster.add(member, now)
        self._candidates[source] = frozenset(each.identifier for each in others)
        self._claims.forget(self._listed(), now)
        return self._take_effects()

    def _listed(self) -> frozenset[int]:
        return frozenset().union(*self._candidates.values())

    def _merge_sender(self, identifier: int, incarnation: int, source: Address, now: float) -> None:
        alive = MemberUpdate(identifier, incarnation, MemberState.ALIVE.value)
        self._claims.merge(alive, source, now)

    def _on_ping(self, message: Ping, sender: Address, now: float) -> None:
        self._claims.merge_all(message.updates, sender, now)
        self._merge_sender(message.sender, message.incarnation, sender, now)
        updates = self._claims.for_message_to(message.sender, now)
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
        if not message.reached or self._prober.is_hearsay(message, sender):
            self._prober.note_unreached(message.sequence)
            return
        probe = self._prober.end(message.sequence)
        if probe is not None and probe.target != message.sender:
            self._on_stranger(probe.target, now)

    def _on_stranger(self, target: int, now: float) -> None:
        """Another process answers at a member's address, so that member is gone."""
        entry = self._roster.get(target)
        if entry is not None:
            self._claims.bury(entry, now)

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
        updates = own.for_message_to(target, now)
        self._send(address, Ping(sequence, own.identifier, own.incarnation, target, updates))

    def _allow_for_lateness(self, now: float) -> None:
        late = now - self._last_tick - TICK_SECONDS
        self._last_tick = now
        if late > LATE_TICK_SECONDS:
            self._prober.shift(late)
            self._prober.health.worse()
            self._claims.restart_suspicions(now)

    def _start_probes(self, now: float) -> None:
        for target in self._prober.due_targets(now):
            self._start_probe(target, now)

    def _start_probe(self, target: int, now: float) -> None:
        entry = self._roster.get(target)
        if entry is not None:
            address = entry.member.gossip
            self._ping(address, target, self._prober.begin(target, address, now), now)

    def _step_probes(self, now: float) -> None:
        for sequence, probe, step in self._prober.steps(now):
            entry = self._roster.get(probe.target)
            if entry is None:
                continue
            match step:
                case ProbeStep.FAILED:
                    self._claims.suspect(entry, now)
                case ProbeStep.RETRY:
                    self._ping(probe.address, probe.target, sequence, now)
                    self._ask_helpers(sequence, probe.target, now)
                    self._probe_beyond(probe, now)

    def _probe_beyond(self, probe: Probe, now: float) -> None:
        """At a probe's first retry, probe one more member of the ring."""
        target = self._prober.next_on_ring() if probe.retries == 1 else None
        if target is not None:
            self._start_probe(target, now)

    def _ask_helpers(self, sequence: int, target: int, now: float) -> None:
        own = self._claims
        for helper in self._prober.choose_helpers(sequence, target):
            entry = self._roster.get(helper)
            if entry is not None:
                updates = own.for_message_to(helper, now)
                message = PingRequest(sequence, own.identifier, own.incarnation, target, updates)
                self._send(entry.member.gossip, message)

    def _answer_for_relays(self, now: float) -> None:
        for relay in self._prober.expired_relays(now):
            self._send(relay.requester, Ack(relay.requester_sequence, relay.target, 0, False))

    def _try_unreachable(self, now: float) -> None:
        """Ping dead members and candidates, faster while some come back after a partition."""
        if now < self._next_revival:
            return
        alone = len(self._roster.reachable) == 0
        healing = now - self._claims.last_return < HEALING_SECONDS
        self._next_revival = now + (TICK_SECONDS if alone or healing else REVIVAL_SECONDS)
        ordered = self._roster.unreachable.ordered
        count = min(HEALING_PINGS if healing else 1, len(ordered))
        for target in self._random.sample(ordered, count):
            entry = self._roster.get(target)
            if entry is not None:
                self._ping(entry.member.gossip, target, self._prober.next_sequence(), now)

    def _try_seeds(self, now: float) -> None:
        if not self._seeds or now < self._next_seed:
            return
        alone = len(self._roster.reachable) == 0
        self._next_seed = now + (REVIVAL_SECONDS if alone else SEED_SECONDS)
        self._ping(self._random.choice(self._seeds), ANYONE, self._prober.next_sequence(), now)

    def _gossip(self, now: float) -> None:
        """Pass claims on to a few members, as far as there are any and the budget allows."""
        if len(self._claims.dissemination) == 0:
            return
        for peer in self._prober.draw(GOSSIP_PEERS):
            count = min(len(self._claims.dissemination), MAXIMUM_UPDATES)
            entry = self._roster.get(peer)
            if count == 0 or entry is None or not self._claims.budget.spend(count, now):
                return
            self._send(entry.member.gossip, Gossip(tuple(self._claims.dissemination.take(count))))
