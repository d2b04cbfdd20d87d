"""Keeps the configuration of one process current.

Reads it from the platform and from peers, and passes it on to subscribers within the process.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol, TypeAlias

import trio

from ..supervision import Part, Supervisor
from ..timing import ClockJump, TimerService
from ..wire import Address
from ._bundle_codec import HEAD_KEY, Publication, decode_head
from ._core import CoreEffect, DistributionCore, DistributionTimes
from ._exceptions import ConfigurationError, PeerFailure, PlatformFailure, TornPublication
from ._exchange import Announce, FetchFrom, Peer
from ._ledger import PutInForce, RevisionConflict
from ._messages import Announcement, ConfigurationRequest, ConfigurationResponse
from ._model import Bundle
from ._platform_client import Unchanged, Value, WatchAnswer
from ._readers import ReadOnce, Wait, Watch
from ._sources import PeerSource, PlatformSource, answer_request, read_publication
from ._vms import VMS_KEY, Vm, decode_vms

TICK_SECONDS = 0.25
TORN_RETRY_SECONDS = 0.2
LONGEST_WAIT_SECONDS = 5.0
FIRST_VM_LIST_BACKOFF_SECONDS = 1.0
LONGEST_VM_LIST_BACKOFF_SECONDS = 30.0
FAILURE_PAUSE_SECONDS = 1.0  # after a step that failed unexpectedly
NO_VERSION = 0  # before all versions that the platform gives to values

SendAnnouncement: TypeAlias = Callable[[Address, Announcement], object]
Fetch: TypeAlias = Callable[[Address, ConfigurationRequest], Awaitable[ConfigurationResponse]]


class PlatformReader(Protocol):
    """Interface of a platform client."""

    async def read(self, key: str) -> Value:
        """Return a value."""

    async def watch(self, key: str, after: int, wait_seconds: float) -> WatchAnswer:
        """Return a value with a version above `after`, or Unchanged."""


@dataclass(slots=True)
class DistributionCounters:
    """Event counts since the start, for metrics.

    Attributes:
        torn: publications with values of different revisions.
        malformed: values that don't have the published format.
    """

    platform_reads: int = 0
    platform_failures: int = 0
    peer_fetches: int = 0
    peer_failures: int = 0
    announcements_sent: int = 0
    announcements_received: int = 0
    torn: int = 0
    malformed: int = 0


class ConfigurationService:
    """The configuration in force at this process, with notification of changes.

    Args:
        name: of this process, as in the VM list.
        relay: TCP endpoint at which this process answers requests from peers.
        platform: reads values; it serves one read at a time.
        vm_platform: reads the VM list; a separate client, so that a pending watch doesn't delay it.
        peers: returns the processes known at present.
        seeds: gossip endpoints to which announcements are sent at the start.
        send: sends an announcement to a gossip endpoint.
        fetch: sends a request to a relay endpoint; raises `PeerFailure`.
        supervisor: contains unexpected exceptions of subscribers and of single reads.
    """

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        relay: Address,
        platform: PlatformReader,
        vm_platform: PlatformReader,
        timer: TimerService,
        random: Random,
        peers: Callable[[], Sequence[Peer]],
        send: SendAnnouncement,
        fetch: Fetch,
        supervisor: Supervisor,
        seeds: Sequence[Address] = (),
        times: DistributionTimes | None = None,
    ) -> None:
        self._times = times if times is not None else DistributionTimes()
        self._platform = platform
        self._vm_platform = vm_platform
        self._timer = timer
        self._random = random
        self._peers = peers
        self._send = send
        self._fetch = fetch
        self._supervisor = supervisor
        self._core = DistributionCore(
            name=name,
            failure_domain=failure_domain,
            relay=relay,
            seeds=seeds,
            random=random,
            now=timer.now,
            times=self._times,
        )
        self._read_scheduler = self._core.read_scheduler
        self._ledger = self._core.ledger
        self._subscribers: list[Callable[[Bundle], None]] = []
        self._vm_subscribers: list[Callable[[Sequence[Vm]], None]] = []
        self._conflict_subscribers: list[Callable[[RevisionConflict], None]] = []
        self._vms: Sequence[Vm] = ()
        self._vms_bytes = 0
        self._vms_version = NO_VERSION
        self._counters = DistributionCounters()
        self._fetch_sender, self._fetch_receiver = trio.open_memory_channel[FetchFrom](8)
        self._schedule_changed = trio.Event()
        self._head_version = NO_VERSION

    @property
    def bundle(self) -> Bundle | None:
        """Return the configuration in force, or None before the first."""
        publication = self._ledger.in_force
        return publication.bundle if publication else None

    @property
    def revision(self) -> int | None:
        """Return the revision in force, or None before the first."""
        bundle = self.bundle
        return bundle.revision if bundle else None

    @property
    def vms(self) -> Sequence[Vm]:
        """Return the platform's latest VM list."""
        return self._vms

    @property
    def is_reader(self) -> bool:
        """Return whether this process watches the platform for its failure domain."""
        return self._read_scheduler.is_reader

    @property
    def platform_age_seconds(self) -> float | None:
        """Return the time since the platform's latest known response to any process."""
        return self._core.local_state(self._timer.now).contact_age_seconds

    @property
    def older_ignored(self) -> int:
        """Return how many lower revisions were received and ignored."""
        return self._ledger.older_ignored

    @property
    def conflicts(self) -> int:
        """Return how many pairs of different contents with one revision number were seen."""
        return self._ledger.conflicts

    @property
    def counters(self) -> DistributionCounters:
        """Return the event counts since the start."""
        return self._counters

    def subscribe(self, callback: Callable[[Bundle], None]) -> None:
        """Call `callback(bundle)` for the bundle in force, if any, and for each later one."""
        self._subscribers.append(callback)
        if self.bundle is not None:
            callback(self.bundle)

    def subscribe_vms(self, callback: Callable[[Sequence[Vm]], None]) -> None:
        """Call `callback(vms)` for each VM list read from the platform."""
        self._vm_subscribers.append(callback)

    def subscribe_conflicts(self, callback: Callable[[RevisionConflict], None]) -> None:
        """Call `callback(conflict)` when two contents have one revision number."""
        self._conflict_subscribers.append(callback)

    def set_unreachable(self, names: Collection[str]) -> None:
        """Set the names of unreachable processes, which are not picked as readers."""
        self._read_scheduler.set_excluded(names, self._timer.now)
        self._notify_schedule_changed()

    def receive(self, message: Announcement, sender: Address) -> None:
        """Process an announcement received from a gossip endpoint."""
        self._counters.announcements_received += 1
        self._apply_effects(self._core.receive(message, sender, self._timer.now))

    def answer(self, question: ConfigurationRequest) -> ConfigurationResponse:
        """Return the response to a peer's request."""
        return answer_request(question, self._ledger.held)

    async def run(self) -> None:
        """Keep the configuration current until cancelled."""
        self._timer.subscribe_jumps(self._on_jump)
        tick = self._timer.subscribe(TICK_SECONDS, self._on_tick)
        run = self._supervisor.run
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run, Part.PLATFORM_READING, self._read_platform)
                nursery.start_soon(run, Part.PLATFORM_READING, self._read_vms)
                nursery.start_soon(run, Part.CONFIGURATION, self._fetch_from_peers)
        finally:
            tick.cancel()

    def _on_tick(self, now: float) -> None:
        self._apply_effects(self._core.tick(now, self._peers))

    def _on_jump(self, jump: ClockJump) -> None:
        self._apply_effects(self._core.compare_after_pause(jump.after, self._peers()))

    def _offer(self, publication: Publication) -> None:
        self._apply_effects(self._core.offer(publication, self._timer.now, self._peers()))

    def _apply_effects(self, effects: Sequence[CoreEffect]) -> None:
        for effect in effects:
            with self._supervisor.contain(Part.CONFIGURATION):
                self._apply_effect(effect)

    def _apply_effect(self, effect: CoreEffect) -> None:
        match effect:
            case PutInForce(publication):
                for subscriber in self._subscribers:
                    with self._supervisor.contain(Part.CONFIGURATION):
                        subscriber(publication.bundle)
            case RevisionConflict():
                for alarm in self._conflict_subscribers:
                    with self._supervisor.contain(Part.CONFIGURATION):
                        alarm(effect)
            case Announce(to, message):
                self._counters.announcements_sent += 1
                self._send(to, message)
            case FetchFrom():
                self._fetch_sender.send_nowait(effect)

    async def _fetch_from_peers(self) -> None:
        async for effect in self._fetch_receiver:
            with self._supervisor.contain(Part.CONFIGURATION):
                await self._fetch_from_peer(effect.relay)
            self._apply_effects(self._core.fetch_ended(effect.relay, self._timer.now))

    async def _fetch_from_peer(self, relay: Address) -> None:
        self._counters.peer_fetches += 1
        source = PeerSource(lambda question: self._fetch(relay, question))
        try:
            with trio.fail_after(self._times.fetch):
                known = self._ledger.held
                head = await source.head(known)
                if self._ledger.is_newer(head.rank):
                    self._offer(await read_publication(source, head, known))
        except (PeerFailure, trio.TooSlowError):
            self._counters.peer_failures += 1
        except ConfigurationError as error:
            self._count_bad_content(error)

    async def _read_platform(self) -> None:
        while True:
            try:
                await self._do_next_read()
            except Exception as error:
                self._supervisor.note_failure(Part.PLATFORM_READING, error)
                # What was read is unknown, so the head is read again whatever its version.
                self._head_version = NO_VERSION
                await trio.sleep(FAILURE_PAUSE_SECONDS)

    async def _do_next_read(self) -> None:
        match self._read_scheduler.decide(self._timer.now):
            case Wait(seconds):
                await self._wait_for_schedule(seconds)
            case Watch():
                await self._read_head(self._times.watch)
            case ReadOnce():
                await self._read_head(0.0)

    async def _wait_for_schedule(self, seconds: float) -> None:
        with trio.move_on_after(min(seconds, LONGEST_WAIT_SECONDS)):
            await self._schedule_changed.wait()

    def _notify_schedule_changed(self) -> None:
        self._schedule_changed.set()
        self._schedule_changed = trio.Event()

    async def _read_head(self, wait_seconds: float) -> None:
        try:
            await self._spend_token()
            answer = await self._platform.watch(HEAD_KEY, self._head_version, wait_seconds)
            self._read_scheduler.note_success(self._timer.now)
            if isinstance(answer, Value):
                await self._read_content(answer)
            self._head_version = _next_watched_version(answer, self._head_version)
        except PlatformFailure:
            self._head_version = NO_VERSION
            self._counters.platform_failures += 1
            self._read_scheduler.note_failure(self._timer.now)
        except ConfigurationError as error:
            self._count_bad_content(error)
            await trio.sleep(TORN_RETRY_SECONDS * self._random.uniform(1.0, 2.0))

    async def _read_content(self, value: Value) -> None:
        head = decode_head(value.content)
        known = self._ledger.held
        if not self._ledger.is_newer(head.rank):
            self._apply_effects(self._core.note_platform_rank(head.rank, self._timer.now))
            return
        source = PlatformSource(self._read_value)
        self._offer(await read_publication(source, head, known))

    async def _read_value(self, key: str) -> Value:
        await self._spend_token()
        return await self._platform.read(key)

    async def _spend_token(self) -> None:
        self._counters.platform_reads += 1
        await trio.sleep(self._read_scheduler.take_token(self._timer.now))

    def _count_bad_content(self, error: ConfigurationError) -> None:
        if isinstance(error, TornPublication):
            self._counters.torn += 1
        else:
            self._counters.malformed += 1

    async def _read_vms(self) -> None:
        await trio.sleep(self._random.uniform(0.0, self._times.start_spread))
        backoff = FIRST_VM_LIST_BACKOFF_SECONDS
        while True:
            if await self._read_vms_once():
                backoff = FIRST_VM_LIST_BACKOFF_SECONDS
                minimum_seconds = self._read_scheduler.vm_list_seconds(self._vms_bytes)
                seconds = max(self._times.vm_list, minimum_seconds)
                await trio.sleep(seconds * self._random.uniform(0.75, 1.25))
            else:
                await trio.sleep(backoff * self._random.uniform(1.0, 2.0))
                backoff = min(2 * backoff, LONGEST_VM_LIST_BACKOFF_SECONDS)

    async def _read_vms_once(self) -> bool:
        self._counters.platform_reads += 1
        try:
            answer = await self._vm_platform.watch(VMS_KEY, self._vms_version, 0.0)
            if isinstance(answer, Value):
                self._apply_vms(answer)
            self._vms_version = _next_watched_version(answer, self._vms_version)
        except PlatformFailure:
            self._vms_version = NO_VERSION
            self._counters.platform_failures += 1
            return False
        except ConfigurationError as error:
            self._count_bad_content(error)
            return False
        except Exception as error:
            self._supervisor.note_failure(Part.PLATFORM_READING, error)
            self._vms_version = NO_VERSION
            return False
        return True

    def _apply_vms(self, value: Value) -> None:
        vms = decode_vms(value.content)
        self._read_scheduler.set_vms(vms, self._timer.now)
        self._vms = vms
        self._vms_bytes = len(value.content)
        self._notify_schedule_changed()
        for subscriber in self._vm_subscribers:
            with self._supervisor.contain(Part.CONFIGURATION):
                subscriber(vms)


def _next_watched_version(answer: WatchAnswer, watched: int) -> int:
    """Return the version after which to watch next.

    A platform that came back from a copy gives versions out again, so after a failure, or an answer
    with a lower version, the content is read again whatever its version.
    """
    is_older = isinstance(answer, Unchanged) and answer.version < watched
    return NO_VERSION if is_older else answer.version
