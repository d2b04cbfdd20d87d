"""A fleet of membership protocols over a datagram queue in memory, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..configuration import Address
from ..membership import (
    MEMBERSHIP_TYPES,
    TICK_SECONDS,
    Effect,
    Member,
    MemberChanged,
    Membership,
    MembershipMessage,
    MemberState,
    Role,
    Send,
)
from ..membership._messages import SyncEntries
from ..wire import Codec

DOMAIN_DELAY_SECONDS = 0.0045
LOCAL_DELAY_SECONDS = 0.0005
START_MILLISECONDS = 1_700_000_000_000
SNAPSHOT_UPDATES = 50
BYTES_SAMPLE = 8
BUFFER_DATAGRAMS = 200


@dataclass(slots=True)
class Process:
    """One process of the fleet.

    Attributes:
        running: False after a crash.
        paused: True during a scheduling pause; its datagrams wait in a bounded socket buffer.
        alive: names of the others that are alive in its view.
        side: processes on different sides of a partition can't reach each other.
    """

    member: Member
    membership: Membership
    running: bool = True
    paused: bool = False
    alive: set[str] = field(default_factory=set)
    side: int = 0
    buffer: list[tuple[MembershipMessage, Address]] = field(default_factory=list)
    sent: int = 0
    sampled: int = 0
    sampled_bytes: int = 0


@dataclass(frozen=True, slots=True)
class ObservedChange:
    """A change of state in one process's view."""

    time: float
    observer: str
    change: MemberChanged


class Fleet:
    """Drives memberships with ticks, datagrams, crashes, pauses and partitions."""

    def __init__(self, size: int, seed: int, loss: float = 0.0, domains: int = 3) -> None:
        self.buffer_datagrams = BUFFER_DATAGRAMS
        self.now = 100.0
        self.loss = loss
        self.changes: list[ObservedChange] = []
        self.processes: dict[str, Process] = {}
        self._domains = domains
        self._random = random.Random(seed)
        self._codec: Codec[MembershipMessage] = Codec("membership", MEMBERSHIP_TYPES)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._by_address: dict[Address, Process] = {}
        for number in range(1, size + 1):
            self.add(number)
        self._share_snapshot()

    @property
    def live(self) -> list[Process]:
        """Return the processes that run, paused ones included."""
        return [each for each in self.processes.values() if each.running]

    def add(self, number: int, name: str | None = None, listed: Iterable[Member] = ()) -> Process:
        """Start a process at the address of this number."""
        member = self._member(number, name or f"process-{number}")
        incarnation = START_MILLISECONDS + int(self.now * 1000) + number
        membership = Membership(member, incarnation, random.Random(self._random.random()), self.now)
        process = Process(member, membership)
        self.processes[member.name] = process
        self._by_address[member.gossip] = process
        self._perform(process, membership.on_vm_list(list(listed), self.now))
        self._schedule(self.now + TICK_SECONDS * self._random.random(), lambda: self._tick(process))
        return process

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float, step: float = 0.1) -> float:
        """Advance time until the condition holds, and return the seconds, at most `limit`."""
        start = self.now
        while not condition():
            if self.now - start >= limit:
                return limit
            self.run(step)
        return self.now - start

    def crash(self, process: Process) -> None:
        """Stop a process without an announcement."""
        process.running = False

    def stop(self, process: Process) -> None:
        """Stop a process that announces it."""
        self._perform(process, process.membership.announce_stopping(self.now))
        process.running = False

    def leave(self, process: Process) -> None:
        """Announce that a process leaves."""
        self._perform(process, process.membership.announce_leaving(self.now))

    def stay(self, process: Process) -> None:
        """Withdraw the announcement that a process leaves."""
        self._perform(process, process.membership.announce_available(self.now))

    def pause(self, process: Process) -> None:
        """Pause a process."""
        process.paused = True

    def wake(self, process: Process, jump: bool = True) -> None:
        """Resume a paused process; with `jump` it detects the pause before it reads its socket."""
        process.paused = False
        if jump:
            self._perform(process, process.membership.on_clock_jump(self.now))
        buffered, process.buffer = process.buffer, []
        for message, sender in buffered:
            self._perform(process, process.membership.on_message(message, sender, self.now))
        self._tick(process)

    def split(self, sides: Sequence[Sequence[Process]]) -> None:
        """Cut the links between groups of processes."""
        for side, processes in enumerate(sides):
            for process in processes:
                process.side = side

    def heal(self) -> None:
        """Restore all links."""
        self.split([list(self.processes.values())])

    def believes(self, observer: Process, about: Process) -> MemberState | None:
        """Return the state of one process in the view of another."""
        return observer.membership.state_of(about.member.name)

    def agree(self) -> bool:
        """Return whether every running process sees exactly the other running ones as alive."""
        live = self.live
        names = {each.member.name for each in live}
        return all(
            {member.name for member in each.membership.view.alive} == names - {each.member.name}
            for each in live
        )

    def _member(self, number: int, name: str) -> Member:
        host = f"10.{number >> 16}.{(number >> 8) & 255}.{number & 255}"
        balancer = number % 10 == 0
        return Member(
            name=name,
            role=Role.BALANCER if balancer else Role.AGENT,
            target_number=0 if balancer else number,
            gossip=Address(host, 7003),
            tunnel=Address(host, 7001),
            relay=Address(host, 7002),
            failure_domain=f"domain-{number % self._domains}",
        )

    def _share_snapshot(self) -> None:
        """Give every process the complete view, as after a long time without changes."""
        members = [each.member for each in self.processes.values()]
        updates = [each.membership.own_update for each in self.processes.values()]
        messages = [
            SyncEntries(0, 0, 1, False, tuple(updates[first : first + SNAPSHOT_UPDATES]))
            for first in range(0, len(updates), SNAPSHOT_UPDATES)
        ]
        for process in self.processes.values():
            process.membership.on_targets(members, self.now)
            for message in messages:
                effects = process.membership.on_message(message, process.member.gossip, self.now)
                self._perform(process, effects)

    def _schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._order), action))

    def _tick(self, process: Process) -> None:
        if not process.running or process.paused:
            return
        self._perform(process, process.membership.tick(self.now))
        self._schedule(self.now + TICK_SECONDS, lambda: self._tick(process))

    def _perform(self, process: Process, effects: Iterable[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(address, message):
                    self._transmit(process, address, message)
                case MemberChanged():
                    self._record_change(process, effect)

    def _record_change(self, process: Process, change: MemberChanged) -> None:
        if change.after is MemberState.ALIVE:
            process.alive.add(change.member.name)
        else:
            process.alive.discard(change.member.name)
        if change.before is not MemberState.CANDIDATE:
            self.changes.append(ObservedChange(self.now, process.member.name, change))

    def _transmit(self, source: Process, address: Address, message: MembershipMessage) -> None:
        source.sent += 1
        if source.sent % BYTES_SAMPLE == 0:
            source.sampled += 1
            source.sampled_bytes += len(self._codec.encode(message))
        if self._random.random() < self.loss:
            return
        target = self._by_address.get(address)
        if target is None:
            return
        near = target.member.failure_domain == source.member.failure_domain
        delay = LOCAL_DELAY_SECONDS if near else DOMAIN_DELAY_SECONDS
        delay += 0.001 * self._random.random()
        sender = source.member.gossip
        self._schedule(self.now + delay, lambda: self._deliver(source, address, message, sender))

    def _deliver(
        self, source: Process, address: Address, message: MembershipMessage, sender: Address
    ) -> None:
        target = self._by_address[address]
        if not target.running or target.side != source.side:
            return
        if target.paused:
            if len(target.buffer) < self.buffer_datagrams:
                target.buffer.append((message, sender))
            return
        self._perform(target, target.membership.on_message(message, sender, self.now))
