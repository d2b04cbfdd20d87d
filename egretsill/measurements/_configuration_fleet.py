"""A fleet of configuration cores over in-memory queues, in virtual time.

The decision classes are the real ones. Content is counted by its encoded size but passed as an
object, because every process would decode the same bytes.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ..configuration import (
    CONFIGURATION_TYPES,
    Address,
    Announcement,
    ConfigurationRequest,
    ConfigurationResponse,
    DistributionTimes,
    Peer,
    Publication,
    Vm,
    encode_vms,
)
from ..configuration._core import CoreEffect, DistributionCore
from ..configuration._exchange import Announce, FetchFrom
from ..configuration._ledger import PutInForce
from ..configuration._readers import ReadOnce, Wait, Watch
from ..configuration._sources import PeerSource, answer_request, read_publication
from ..wire import Codec
from ._configuration_content import DOMAINS, content_reads

DOMAIN_DELAY_SECONDS = 0.005
LOCAL_DELAY_SECONDS = 0.0005
PLATFORM_SECONDS = 0.004
FAILED_READ_SECONDS = 0.1
LOSS = 0.05
TICK_SECONDS = 0.25
LONGEST_WAIT_SECONDS = 1.0
DATAGRAM_HEADER_BYTES = 28
QUESTION_HEADER_BYTES = 160
SEEDS = 3
FIRST_VM_LIST_BACKOFF_SECONDS = 1.0
LONGEST_VM_LIST_BACKOFF_SECONDS = 30.0


@dataclass(slots=True)
class Process:
    """One process of the fleet.

    Attributes:
        peers: the peers in its view; empty before its first VM list.
        waiting_until: end of its open watch, or None.
        version: the platform's version that it last read; a watch waits for a higher one.
        revisions: those that were in force here, in order.
    """

    peer: Peer
    core: DistributionCore
    peers: Sequence[Peer] = ()
    running: bool = True
    waiting_until: float | None = None
    version: int = 0
    revisions: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Platform:
    """The state of the platform.

    Attributes:
        cut: failure domains that can't reach it.
        reads: by second.
    """

    publication: Publication | None = None
    version: int = 0
    down: bool = False
    cut: set[str] = field(default_factory=set)
    reads: Counter[int] = field(default_factory=Counter)


class ConfigurationFleet:
    """Simulates processes, a platform and the links between them."""

    def __init__(self, size: int, seed: int) -> None:
        self.now = 0.0
        self.platform = Platform()
        self.bytes_sent = 0
        self.backwards = 0
        self._random = Random(seed)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._codec: Codec[Any] = Codec("configuration", CONFIGURATION_TYPES)
        self._peers = [_make_peer(number) for number in range(size)]
        self._vms = [_make_vm(peer) for peer in self._peers]
        self._vms_bytes = len(encode_vms(self._vms))
        self._numbers_by_gossip = {peer.gossip: number for number, peer in enumerate(self._peers)}
        self._numbers_by_relay = {peer.relay: number for number, peer in enumerate(self._peers)}
        self._costs_by_ranks: dict[tuple[object, object], tuple[int, int]] = {}
        self.processes = [self._start(peer) for peer in self._peers]

    @property
    def vm_list_bytes_per_second(self) -> float:
        """Return the bytes that one process receives if the VM list changes before each read."""
        interval = self._vm_list_seconds(self.processes[0])
        return (self._vms_bytes + QUESTION_HEADER_BYTES) / interval

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def run_until_in_force(self, revision: int, limit_seconds: float) -> float:
        """Return the seconds until a revision is in force everywhere, or the limit."""
        start = self.now
        while self.now - start < limit_seconds:
            if self.in_force_everywhere(revision):
                break
            self.run(0.02)
        return self.now - start

    def in_force_everywhere(self, revision: int) -> bool:
        """Return whether a revision is in force at every running process."""
        return all(
            bool(process.revisions) and process.revisions[-1] == revision
            for process in self.processes
            if process.running
        )

    def publish(self, publication: Publication) -> None:
        """Serve a publication on the platform; it may be older than the current one."""
        self.platform.publication = publication
        self.platform.version += 1
        for process in self.processes:
            if process.waiting_until is not None and self._reachable(process):
                process.waiting_until = None
                self._schedule(
                    PLATFORM_SECONDS, self._if_running(process, self._handle_platform_answer)
                )

    def replace(self, number: int) -> None:
        """Stop a process and start one without state in its place."""
        self.processes[number].running = False
        self.processes[number] = self._start(self._peers[number])

    def stop_readers(self) -> None:
        """Stop all processes that watch the platform."""
        for process in self.processes:
            process.running = process.running and not process.core.read_scheduler.is_reader

    def _start(self, peer: Peer) -> Process:
        random = Random(self._random.random())
        seeds = [each.gossip for each in random.sample(self._peers, SEEDS)]
        times = DistributionTimes()
        core = DistributionCore(
            name=peer.name,
            failure_domain=peer.failure_domain,
            relay=peer.relay,
            seeds=seeds,
            random=random,
            now=self.now,
            times=times,
        )
        process = Process(peer, core)
        self._schedule(random.uniform(0, TICK_SECONDS), self._if_running(process, self._tick))
        self._schedule(0.0, self._if_running(process, self._read_platform))
        delay = random.uniform(0.0, times.start_spread)
        self._schedule(delay, lambda: self._read_vms(process, FIRST_VM_LIST_BACKOFF_SECONDS))
        return process

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + seconds, next(self._order), action))

    def _if_running(
        self, process: Process, action: Callable[[Process], None]
    ) -> Callable[[], None]:
        def act() -> None:
            if process.running:
                action(process)

        return act

    def _tick(self, process: Process) -> None:
        self._apply_effects(process, process.core.tick(self.now, lambda: process.peers))
        self._schedule(TICK_SECONDS, self._if_running(process, self._tick))

    def _read_vms(self, process: Process, backoff: float) -> None:
        if not process.running:
            return
        self._count_read()
        if not self._reachable(process):
            longer = min(2 * backoff, LONGEST_VM_LIST_BACKOFF_SECONDS)
            delay = FAILED_READ_SECONDS + backoff * self._random.uniform(1.0, 2.0)
            self._schedule(delay, lambda: self._read_vms(process, longer))
            return
        process.peers = self._peers
        process.core.read_scheduler.set_vms(self._vms, self.now)
        seconds = self._vm_list_seconds(process)
        delay = seconds * self._random.uniform(0.75, 1.25)
        self._schedule(delay, lambda: self._read_vms(process, FIRST_VM_LIST_BACKOFF_SECONDS))

    def _read_platform(self, process: Process) -> None:
        match process.core.read_scheduler.decide(self.now):
            case Wait(seconds):
                delay = min(seconds, LONGEST_WAIT_SECONDS)
                self._schedule(max(delay, 0.001), self._if_running(process, self._read_platform))
            case Watch():
                self._read_with_token(process, self._watch)
            case ReadOnce():
                self._read_with_token(process, self._handle_platform_answer)

    def _read_with_token(self, process: Process, action: Callable[[Process], None]) -> None:
        delay = process.core.read_scheduler.take_token(self.now)

        def act(process: Process) -> None:
            self._count_read()
            if self._reachable(process):
                self._schedule(PLATFORM_SECONDS, self._if_running(process, action))
            else:
                self._schedule(
                    FAILED_READ_SECONDS, self._if_running(process, self._handle_failed_read)
                )

        self._schedule(delay, self._if_running(process, act))

    def _handle_failed_read(self, process: Process) -> None:
        process.core.read_scheduler.note_failure(self.now)
        self._read_platform(process)

    def _watch(self, process: Process) -> None:
        if self.platform.version > process.version:
            self._handle_platform_answer(process)
            return
        until = process.waiting_until = self.now + DistributionTimes().watch

        def end(process: Process) -> None:
            if process.waiting_until == until:
                process.waiting_until = None
                self._handle_platform_answer(process)

        self._schedule(DistributionTimes().watch, self._if_running(process, end))

    def _handle_platform_answer(self, process: Process) -> None:
        if not self._reachable(process):
            self._handle_failed_read(process)
            return
        process.core.read_scheduler.note_success(self.now)
        publication = self.platform.publication
        process.version = self.platform.version
        if publication is None:
            self._schedule(PLATFORM_SECONDS, self._if_running(process, self._read_platform))
            return
        rank = publication.head.rank
        if not process.core.ledger.is_newer(rank):
            self._apply_effects(process, process.core.note_platform_rank(rank, self.now))
            self._read_platform(process)
            return
        self._read_content(process, publication)

    def _read_content(self, process: Process, publication: Publication) -> None:
        reads = content_reads(publication, process.core.ledger.held)
        delay = 0.0
        for _ in range(reads):
            wait = process.core.read_scheduler.take_token(self.now)
            delay = max(delay + PLATFORM_SECONDS, wait + PLATFORM_SECONDS)
            self._schedule(delay, self._count_read)

        def take(process: Process) -> None:
            self._offer(process, publication)
            self._read_platform(process)

        self._schedule(delay, self._if_running(process, take))

    def _offer(self, process: Process, publication: Publication) -> None:
        self._apply_effects(process, process.core.offer(publication, self.now, process.peers))

    def _apply_effects(self, process: Process, effects: Sequence[CoreEffect]) -> None:
        for effect in effects:
            match effect:
                case Announce(to, message):
                    self._send(process, to, message)
                case FetchFrom(relay, _):
                    self._fetch(process, relay)
                case PutInForce(publication):
                    self._note_in_force(process, publication.head.revision)

    def _note_in_force(self, process: Process, revision: int) -> None:
        if process.revisions and revision <= process.revisions[-1]:
            self.backwards += 1
        process.revisions.append(revision)

    def _send(self, process: Process, to: Address, message: Announcement) -> None:
        self.bytes_sent += len(self._codec.encode(message)) + DATAGRAM_HEADER_BYTES
        if self._random.random() < LOSS:
            return
        receiver = self.processes[self._numbers_by_gossip[to]]
        source = process.peer.gossip

        def deliver(receiver: Process) -> None:
            self._apply_effects(receiver, receiver.core.receive(message, source, self.now))

        self._schedule(_delay(process, receiver), self._if_running(receiver, deliver))

    def _fetch(self, process: Process, relay: Address) -> None:
        source = self.processes[self._numbers_by_relay[relay]]
        held = source.core.ledger.held if source.running else None
        size, questions = self._fetch_cost(held, process.core.ledger.held)
        self.bytes_sent += size
        delay = 2 * questions * _delay(process, source)

        def take(process: Process) -> None:
            if held is not None and process.core.ledger.is_newer(held.head.rank):
                self._offer(process, held)
            self._apply_effects(process, process.core.fetch_ended(relay, self.now))

        self._schedule(delay, self._if_running(process, take))

    def _fetch_cost(self, held: Publication | None, known: Publication | None) -> tuple[int, int]:
        """Return the bytes and the number of questions of a fetch, measured once and cached."""
        pair = (held.head.rank if held else None, known.head.rank if known else None)
        if pair not in self._costs_by_ranks:
            self._costs_by_ranks[pair] = self._make_fetch(held, known)
        return self._costs_by_ranks[pair]

    def _make_fetch(self, held: Publication | None, known: Publication | None) -> tuple[int, int]:
        sizes: list[int] = []

        async def ask(question: ConfigurationRequest) -> ConfigurationResponse:
            answer = answer_request(question, held)
            encoded = len(self._codec.encode(question)) + len(self._codec.encode(answer))
            sizes.append(encoded + QUESTION_HEADER_BYTES)
            return answer

        async def fetch() -> None:
            if held is None:
                return
            source = PeerSource(ask)
            await read_publication(source, await source.head(known), known)

        run_without_waiting(fetch)
        return sum(sizes), max(1, len(sizes))

    def _reachable(self, process: Process) -> bool:
        platform = self.platform
        return not platform.down and process.peer.failure_domain not in platform.cut

    def _vm_list_seconds(self, process: Process) -> float:
        least = process.core.read_scheduler.vm_list_seconds(self._vms_bytes)
        return max(DistributionTimes().vm_list, least)

    def _count_read(self) -> None:
        self.platform.reads[int(self.now)] += 1


def run_without_waiting(action: Callable[[], Any]) -> None:
    """Run a coroutine that never suspends."""
    coroutine = action()
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("coroutine suspended; it must complete without waiting")


def _delay(process: Process, other: Process) -> float:
    same = process.peer.failure_domain == other.peer.failure_domain
    return LOCAL_DELAY_SECONDS if same else DOMAIN_DELAY_SECONDS


def _make_peer(number: int) -> Peer:
    host = f"10.0.{number >> 8}.{number & 255}"
    domain = DOMAINS[number % len(DOMAINS)]
    return Peer(f"vm-{number}", domain, Address(host, 7000), Address(host, 7001))


def _make_vm(peer: Peer) -> Vm:
    addresses = {"gossip": peer.gossip, "relay": peer.relay, "tunnel": peer.gossip}
    return Vm(peer.name, "agent", peer.failure_domain, addresses=addresses)
