"""Heartbeats over UDP, and content from the peers that have newer content."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import trio

from ..address_steering import Candidates
from ..directory import Directory, ReadPlan
from ..endpoints import dotted, numbered
from ..fleet import (
    HEARTBEAT_SECONDS,
    MAXIMUM_REPORTS,
    Heartbeat,
    HeartbeatHead,
    HubPlan,
    MalformedHeartbeat,
    PeerReport,
    PeerTable,
    decode_head,
    decode_reports,
    encode_heartbeat,
)
from ..observation import Journal, Metrics
from ..timing import ClockJump, TimerService
from ..wire import BATCH_DATAGRAMS, close_datagram_socket, read_batches
from ._content_exchange import ContentExchange, PeerContentUnavailable

MAXIMUM_DATAGRAM_BYTES = 1_500
MAXIMUM_AGE_MILLISECONDS = 1_000_000
FAR_HEARTBEAT_PERIODS = 2  # bytes between failure domains are dear
REST_SECONDS = 0.05  # between two looks at the socket, so that many heartbeats cost one wake-up
CONFIRM_SECONDS = 0.6  # content confirmed so much later is worth a heartbeat of its own
PUSH_GRACE_SECONDS = 0.15  # changes are pushed at the same moment as they are announced
NEW_SECONDS = 3.0  # as long as a subscription to a hub, so everybody is told of a start
RETRY_SECONDS = 0.1  # before the next peer is asked for content
MAXIMUM_SOURCES = 8  # peers with newer content that are remembered
MILLISECONDS = 1000

_FORWARDED = 0xB2  # then a heartbeat, as its sender packed it
_PUSHED = 0xB3  # then changes of content


@dataclass(frozen=True, slots=True)
class Load:
    """What a process tells of its target; zeros for a balancer.

    Attributes:
        pending: requests in progress.
        flows: open flows.
        delay_seconds: mean time to an answer's first byte lately.
        is_target_silent: whether it has answered nothing for a while.
    """

    pending: int = 0
    flows: int = 0
    delay_seconds: float = 0.0
    is_target_silent: bool = False


class FleetLink:
    """Sends and takes heartbeats, and keeps content as new as that of the peers.

    Args:
        host: IPv4 address of this process.
        bound: UDP socket of heartbeats, closed in the end; their port is the same on all VMs.
        hubs: decides whom this process tells.
        candidates: knows the cells of the directory's targets.
        load: returns what to tell of the target.
        on_change: called after content in force changed.
    """

    def __init__(
        self,
        host: str,
        bound: socket.socket,
        is_balancer: bool,
        directory: Directory,
        peers: PeerTable,
        hubs: HubPlan,
        candidates: Candidates,
        plan: ReadPlan,
        exchange: ContentExchange,
        timer: TimerService,
        metrics: Metrics,
        journal: Journal,
        load: Callable[[], Load],
        on_change: Callable[[str], None],
    ) -> None:
        self._host = numbered(host)
        self._port: int = bound.getsockname()[1]
        self._is_balancer = is_balancer
        self._directory = directory
        self._peers = peers
        self._hubs = hubs
        self._candidates = candidates
        self._plan = plan
        self._exchange = exchange
        self._timer = timer
        self._metrics = metrics
        self._journal = journal
        self._load = load
        self._on_change = on_change
        self._socket = bound
        self._incarnation = timer.epoch_milliseconds
        self._started_at = timer.now
        self._sequence = 0
        self._period = 0
        self._is_leaving = False
        self._silent: set[int] = set()
        self._pushed_revision = 0
        self._told_confirmed_at = float("-inf")
        self._confirmed_by: int | None = None
        self._sources: dict[int, int] = {}
        self._behind = trio.Event()

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        self._timer.subscribe_jumps(self._note_jump)
        subscription = self._timer.subscribe(HEARTBEAT_SECONDS, self._tick)
        self.send_heartbeats()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._take_all)
                nursery.start_soon(self._catch_up)
        finally:
            subscription.cancel()
            self.close()

    def close(self) -> None:
        """Close the socket."""
        close_datagram_socket(self._socket)

    def leave(self) -> None:
        """Tell the peers that this process wants no new flows."""
        self._is_leaving = True
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Tell hubs, and those that this process is a hub of, what it knows now."""
        now = self._timer.now
        self._hubs.replace_cells(self._candidates.cells)
        self._tell_hubs(now)
        subscribers = self._hubs.subscribers()
        if subscribers:
            self._tell(subscribers, self._reports(subscribers, now), now)

    def announce_content(self, source: int | None) -> None:
        """Tell a change of content, and that it was confirmed, to those who rely on this process.

        Args:
            source: the peer that it is from; None if this process read it itself, so that its hubs
                don't know it yet. What comes from another cell is known in all others.
        """
        now = self._timer.now
        revision = self._directory.content_revision
        is_changed = revision > self._pushed_revision
        is_confirmed = self._directory.confirmed_at - self._told_confirmed_at >= CONFIRM_SECONDS
        if not is_changed and not is_confirmed:
            return
        self._hubs.replace_cells(self._candidates.cells)
        told = dict.fromkeys(self._hubs.subscribers())
        if source is None:
            told.update(dict.fromkeys(self._hubs.hubs(now)))
        if source is None or not self._hubs.is_far(source):
            told.update(dict.fromkeys(self._hubs.far_hubs(now)))
        if is_changed:
            changes = self._exchange.push(self._pushed_revision) if self._pushed_revision else None
            if changes is not None:
                self._send(bytes((_PUSHED,)) + changes, told)
            self._pushed_revision = revision
        self._told_confirmed_at = self._directory.confirmed_at
        self._tell(tuple(told), (self._own_report(),), now)

    def _tell_hubs(self, now: float) -> None:
        hubs = self._hubs.hubs(now)
        self._tell(hubs, (self._own_report(),), now, is_asking=True)
        self._hubs.note_told(hubs, now)

    def _tell_far(self, now: float) -> None:
        """Exchange with the hubs of other cells what each of them hears."""
        far = self._hubs.far_hubs(now)
        if far:
            reports = self._reports(self._hubs.subscribers(), now)
            self._tell(far, reports, now, is_asking=True)
            self._tell(self._hubs.far_subscribers(far), reports, now)
        self._hubs.note_told(far, now)
        self._hubs.stop_telling((*self._hubs.hubs(now), *far))

    def _tell(
        self,
        hosts: Sequence[int],
        reports: Sequence[PeerReport],
        now: float,
        is_asking: bool = False,
    ) -> None:
        if not hosts:
            return
        for start in range(0, len(reports), MAXIMUM_REPORTS):
            self._sequence += 1
            part = reports[start : start + MAXIMUM_REPORTS]
            head = self._head(now, is_asking)
            self._send(encode_heartbeat(Heartbeat(head, part)), hosts)

    def _send(self, data: bytes, hosts: Iterable[int]) -> None:
        for host in hosts:
            try:
                self._socket.sendto(data, (dotted(host), self._port))
            except OSError:
                self._metrics.datagrams_dropped.increment("gossip", "send-failed")

    def _head(self, now: float, is_asking: bool) -> HeartbeatHead:
        directory = self._directory
        age = min(max(now - directory.confirmed_at, 0.0) * MILLISECONDS, MAXIMUM_AGE_MILLISECONDS)
        return HeartbeatHead(
            self._host,
            self._incarnation,
            self._sequence,
            directory.version,
            directory.content_revision,
            int(age),
            self._hubs.cell,
            is_asking,
        )

    def _reports(self, subscribers: Sequence[int], now: float) -> Sequence[PeerReport]:
        return (self._own_report(), *self._peers.reports_of(subscribers, now))

    def _own_report(self) -> PeerReport:
        load = self._load()
        return PeerReport(
            self._host,
            self._is_balancer,
            self._is_leaving,
            self._plan.can_read(self._timer.now),
            load.is_target_silent,
            load.pending,
            load.flows,
            int(load.delay_seconds * MILLISECONDS),
            is_new=self._timer.now - self._started_at < NEW_SECONDS,
        )

    async def _take_all(self) -> None:
        await read_batches(self._socket, self._take_batch, REST_SECONDS)

    def _take_batch(self) -> bool:
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                self.announce_content(self._confirmed_by)
                return False
            self._take(data, sender[0])
        return True

    def _take(self, data: bytes, sender: str) -> None:
        mark = data[0] if data else 0
        if mark == _PUSHED:
            self._take_push(data[1:], sender)
            return
        is_forwarded = mark == _FORWARDED
        heartbeat = data[1:] if is_forwarded else data
        try:
            head = decode_head(heartbeat)
            if not is_forwarded and dotted(head.host) != sender:
                self._metrics.datagrams_dropped.increment("gossip", "foreign-host")
                return
            now = self._timer.now
            if not self._peers.receive_head(head, now):
                return
            if is_forwarded:
                if self._hubs.is_news(head, now):
                    self._peers.receive_reports(decode_reports(heartbeat), now)
            else:
                self._take_from_sender(head, heartbeat, now)
        except MalformedHeartbeat as error:
            self._metrics.messages_malformed.increment("fleet", error.reason)
            return
        self._compare(head, sender, now)

    def _take_from_sender(self, head: HeartbeatHead, heartbeat: bytes, now: float) -> None:
        """Take a heartbeat that nobody passed on, and pass it on if it is another cell's."""
        reports = decode_reports(heartbeat)
        self._peers.receive_reports(reports, now)
        self._hubs.receive(head, now)
        self._send(bytes((_FORWARDED,)) + heartbeat, self._hubs.onward(head, len(reports), now))

    def _compare(self, head: HeartbeatHead, sender: str, now: float) -> None:
        """Take a peer's word on the content that this process has, or note that it has newer."""
        directory = self._directory
        if head.revision <= directory.content_revision:
            before = directory.confirmed_at
            directory.confirm(head.revision, head.age_milliseconds / MILLISECONDS, now)
            if directory.confirmed_at > before:
                self._confirmed_by = head.host
            return
        # Who passed a heartbeat on is near, and has what it announces or will have it soon.
        source = numbered(sender)
        if source in self._sources or len(self._sources) < MAXIMUM_SOURCES:
            self._sources[source] = max(head.revision, self._sources.get(source, 0))
        self._behind.set()

    def _take_push(self, data: bytes, sender: str) -> None:
        if self._exchange.take_push(data):
            self._on_change(sender)

    def _tick(self, now: float) -> None:
        self.send_heartbeats()
        self._period += 1
        if self._period % FAR_HEARTBEAT_PERIODS == 0:
            self._tell_far(now)
        self._peers.tick(now)
        for host in self._hubs.tick(now):
            self._journal.record("hub-silent", peer=dotted(host), cell=self._hubs.cell)
        self._note_silence(now)

    def _note_silence(self, now: float) -> None:
        for host, peer in self._peers.peers.items():
            is_silent = peer.is_silent
            if is_silent == (host in self._silent):
                continue
            if is_silent:
                self._silent.add(host)
                silence = round(now - peer.heard_at, 3)
                self._journal.record("peer-silent", peer=dotted(host), silence=silence)
            else:
                self._silent.discard(host)
                self._journal.record("peer-heard", peer=dotted(host))
        self._silent &= self._peers.peers.keys()

    async def _catch_up(self) -> None:
        while True:
            await self._behind.wait()
            if self._directory.has_content:
                await trio.sleep(PUSH_GRACE_SECONDS)
            self._behind = trio.Event()
            sources, self._sources = self._sources, {}
            await self._fetch_newest(sources)

    async def _fetch_newest(self, sources: dict[int, int]) -> None:
        """Ask the peers with newer content one after the other, the newest first."""
        for source in sorted(sources, key=sources.__getitem__, reverse=True):
            if sources[source] <= self._directory.content_revision:
                return
            host = dotted(source)
            try:
                changed = await self._exchange.fetch(host)
            except PeerContentUnavailable as error:
                self._journal.record("content-unavailable", peer=host, reason=error.reason)
                await trio.sleep(RETRY_SECONDS)
                continue
            if changed:
                self._on_change(host)

    def _note_jump(self, jump: ClockJump) -> None:
        self._peers.note_wake(jump.after)
        self._hubs.note_wake(jump.after)
        self._journal.record("woke", seconds=round(jump.seconds, 3))
        self._metrics.clock_jumps.increment()
