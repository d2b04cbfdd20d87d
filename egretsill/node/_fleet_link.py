"""Heartbeats over UDP, and fetching of content from peers that have newer content."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import trio

from ..address_steering import Candidates
from ..directory import NO_REVISION, Directory, ReadPlan
from ..endpoints import format_ipv4, parse_ipv4
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
from ..supervision import Part, Supervisor
from ..timing import ClockJump, TimerService
from ..wire import BATCH_DATAGRAMS, close_datagram_socket, read_batches
from ._content_exchange import ContentExchange
from ._content_fetching import ContentFetching

MAXIMUM_DATAGRAM_BYTES = 1_500
MAXIMUM_AGE_MILLISECONDS = 1_000_000
FAR_HEARTBEAT_PERIODS = 2  # less often, since traffic between failure domains is expensive
LAYOUT_CHECK_PERIODS = 4  # each looks at all peers
READ_PAUSE_SECONDS = 0.05  # between reads of the socket, so that one wake-up reads many heartbeats
CONFIRMATION_INTERVAL_SECONDS = 0.6  # a confirmation newer by this is announced between heartbeats
STARTUP_SECONDS = 3.0  # lifetime of a subscription to a hub, so that all processes learn of a start
MILLISECONDS = 1000

_FORWARDED = 0xB2  # followed by a heartbeat as its sender encoded it
_PUSHED = 0xB3  # followed by changes of content


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load of a process's target, as reported to peers; zeros for a balancer.

    Attributes:
        pending: requests in progress.
        flows: open flows.
        delay_seconds: recent mean time to first byte.
        is_target_silent: whether the target has not answered anything for a while.
        backlog_seconds: expected time until the target could start one more request.
        work_seconds: time that it takes for a usual request; 0 if unknown.
        is_target_failing: whether it has failed too many of its latest requests.
    """

    pending: int = 0
    flows: int = 0
    delay_seconds: float = 0.0
    is_target_silent: bool = False
    backlog_seconds: float = 0.0
    work_seconds: float = 0.0
    is_target_failing: bool = False


class FleetLink:
    """Sends and receives heartbeats, and keeps content up to date with that of peers.

    Args:
        host: IPv4 address of this process.
        bound: UDP socket for heartbeats, which `close` closes; all VMs use its port.
        hubs: decides where this process sends its heartbeats.
        candidates: provides the cells of the directory's targets.
        load: returns the load of the target.
        is_serving: returns whether this process works; an agent that doesn't takes no new flows.
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
        supervisor: Supervisor,
        load: Callable[[], TargetLoad],
        is_serving: Callable[[], bool],
        on_change: Callable[[str], None],
        on_first_fetch: Callable[[], None] = lambda: None,
    ) -> None:
        self._host = parse_ipv4(host)
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
        self._supervisor = supervisor
        self._load = load
        self._is_serving = is_serving
        self._on_change = on_change
        self._socket = bound
        self._incarnation = timer.epoch_milliseconds
        self._started_at = timer.now
        self._sequence = 0
        self._period_count = 0
        self._is_leaving = False
        self._uses_former_layout = True  # until all that are heard decode the current one
        self._silent_peers: set[int] = set()
        self._pushed_revision = NO_REVISION
        self._announced_confirmed_at = float("-inf")
        self._confirmed_by: int | None = None
        self._fetching = ContentFetching(
            directory, exchange, journal, supervisor, on_change, on_first_fetch
        )
        timer.subscribe_jumps(self._note_scheduling_pause)

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        subscription = self._timer.subscribe(HEARTBEAT_SECONDS, self._tick)
        with self._supervisor.contain(Part.HEARTBEATS):
            self.send_heartbeats()
        run = self._supervisor.run
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run, Part.HEARTBEATS, self._receive_all)
                nursery.start_soon(run, Part.CONTENT_FETCHING, self._fetching.run)
        finally:
            subscription.cancel()

    def close(self) -> None:
        """Close the socket."""
        close_datagram_socket(self._socket)

    def leave(self) -> None:
        """Announce to the peers that this process takes no new flows."""
        self._is_leaving = True
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send the current state to the hubs and to this process's subscribers."""
        now = self._timer.now
        self._hubs.replace_cells(self._candidates.cells)
        self._contact_hubs(now)
        subscribers = self._hubs.subscribers()
        if subscribers:
            self._send_reports(subscribers, self._make_reports(subscribers, now), now)

    def announce_content(self, source: int | None) -> None:
        """Announce a change or a new confirmation of content to the processes that lack it.

        Args:
            source: the peer that it came from, or None if this process read it from the store, so
                that its hubs lack it too. Content from another cell is known in all other cells.
        """
        now = self._timer.now
        revision = self._directory.content_revision
        is_changed = revision > self._pushed_revision
        is_confirmed = (
            self._directory.confirmed_at - self._announced_confirmed_at
            >= CONFIRMATION_INTERVAL_SECONDS
        )
        if not is_changed and not is_confirmed:
            return
        self._hubs.replace_cells(self._candidates.cells)
        recipients = dict.fromkeys(self._hubs.subscribers())
        if source is None:
            recipients.update(dict.fromkeys(self._hubs.hubs(now)))
        if source is None or not self._hubs.is_far(source):
            recipients.update(dict.fromkeys(self._hubs.far_hubs(now)))
        if is_changed:
            # Peers that get no push fetch the changes.
            with self._supervisor.contain(Part.HEARTBEATS):
                self._push_changes(recipients)
            self._pushed_revision = revision
        self._announced_confirmed_at = self._directory.confirmed_at
        self._send_reports(tuple(recipients), (self._own_report(),), now)

    def _push_changes(self, recipients: Iterable[int]) -> None:
        changes = self._exchange.encode_push(self._pushed_revision)
        if changes is not None:
            self._send(bytes((_PUSHED,)) + changes, recipients)

    def _contact_hubs(self, now: float) -> None:
        hubs = self._hubs.hubs(now)
        self._send_reports(hubs, (self._own_report(),), now, is_subscribing=True)
        self._hubs.note_contacted(hubs, now)

    def _contact_far_hubs(self, now: float) -> None:
        """Exchange reports with the hubs of other cells."""
        far = self._hubs.far_hubs(now)
        if far:
            reports = self._make_reports(self._hubs.subscribers(), now)
            self._send_reports(far, reports, now, is_subscribing=True)
            self._send_reports(self._hubs.far_subscribers(far), reports, now)
        self._hubs.note_contacted(far, now)
        self._hubs.retain_contacts((*self._hubs.hubs(now), *far))

    def _send_reports(
        self,
        hosts: Sequence[int],
        reports: Sequence[PeerReport],
        now: float,
        is_subscribing: bool = False,
    ) -> None:
        if not hosts:
            return
        for start in range(0, len(reports), MAXIMUM_REPORTS):
            self._sequence += 1
            part = reports[start : start + MAXIMUM_REPORTS]
            head = self._make_head(now, is_subscribing)
            self._send(encode_heartbeat(Heartbeat(head, part), self._uses_former_layout), hosts)

    def _send(self, data: bytes, hosts: Iterable[int]) -> None:
        for host in hosts:
            try:
                self._socket.sendto(data, (format_ipv4(host), self._port))
            except OSError:
                self._metrics.datagrams_dropped.increment("gossip", "send-failed")
            except Exception as error:  # The other hosts get theirs.
                self._note_failure(error)

    def _make_head(self, now: float, is_subscribing: bool) -> HeartbeatHead:
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
            is_subscribing,
        )

    def _make_reports(self, subscribers: Sequence[int], now: float) -> Sequence[PeerReport]:
        return (self._own_report(), *self._peers.reports_of(subscribers, now))

    def _own_report(self) -> PeerReport:
        load = self._load()
        is_out = not self._is_balancer and not self._is_serving()
        return PeerReport(
            self._host,
            self._is_balancer,
            self._is_leaving or is_out,
            self._plan.can_read(self._timer.now),
            load.is_target_silent,
            load.pending,
            load.flows,
            int(load.delay_seconds * MILLISECONDS),
            is_new=self._timer.now - self._started_at < STARTUP_SECONDS,
            backlog_milliseconds=load.backlog_seconds * MILLISECONDS,
            work_milliseconds=load.work_seconds * MILLISECONDS,
            reads_levels=True,
            is_target_failing=load.is_target_failing,
        )

    async def _receive_all(self) -> None:
        await read_batches(
            self._socket, self._receive_batch, READ_PAUSE_SECONDS, self._note_failure
        )

    def _receive_batch(self) -> bool:
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                with self._supervisor.contain(Part.HEARTBEATS):
                    self.announce_content(self._confirmed_by)
                return False
            try:
                self._receive(data, sender[0])
            except Exception as error:  # It costs this datagram only.
                self._note_failure(error)
        return True

    def _note_failure(self, error: Exception) -> None:
        self._supervisor.note_failure(Part.HEARTBEATS, error)

    def _receive(self, data: bytes, sender: str) -> None:
        mark = data[0] if data else 0
        if mark == _PUSHED:
            self._apply_push(data[1:], sender)
            return
        is_forwarded = mark == _FORWARDED
        heartbeat = data[1:] if is_forwarded else data
        try:
            head = decode_head(heartbeat)
            if not is_forwarded and format_ipv4(head.host) != sender:
                self._metrics.datagrams_dropped.increment("gossip", "foreign-host")
                return
            now = self._timer.now
            if not self._peers.receive_head(head, now):
                return
            if is_forwarded:
                if self._hubs.should_read_reports(head, now):
                    self._peers.receive_reports(decode_reports(heartbeat), now)
            else:
                self._process_direct_heartbeat(head, heartbeat, now)
        except MalformedHeartbeat as error:
            self._metrics.messages_malformed.increment("fleet", error.reason)
            self._journal.record("heartbeat-malformed", peer=sender, part=error.reason)
            return
        self._compare_revisions(head, sender, now)

    def _process_direct_heartbeat(self, head: HeartbeatHead, heartbeat: bytes, now: float) -> None:
        """Process a heartbeat that came directly from its sender; forward another cell's."""
        reports = decode_reports(heartbeat)
        self._peers.receive_reports(reports, now)
        self._hubs.receive(head, now)
        if head.is_subscribing and head.revision == NO_REVISION and self._directory.has_content:
            # It has just started, and can't serve before it has content. Over a slow link the
            # store's takes several times as long as a peer's.
            self._send_reports((head.host,), (self._own_report(),), now)
        self._send(
            bytes((_FORWARDED,)) + heartbeat, self._hubs.forward_recipients(head, len(reports), now)
        )

    def _compare_revisions(self, head: HeartbeatHead, sender: str, now: float) -> None:
        """Merge a peer's confirmation of the content, or record the peer as a source of newer."""
        directory = self._directory
        if not directory.lacks(head.revision, head.version):
            before = directory.confirmed_at
            directory.confirm(head.revision, head.age_milliseconds / MILLISECONDS, now)
            if directory.confirmed_at > before:
                self._confirmed_by = head.host
            return
        # The process that forwarded the heartbeat is near and has the content, or will soon.
        self._fetching.note_offer(parse_ipv4(sender), head.revision, head.version)

    def _apply_push(self, data: bytes, sender: str) -> None:
        if self._exchange.apply_push(data):
            self._on_change(sender)

    def _tick(self, now: float) -> None:
        with self._supervisor.contain(Part.HEARTBEATS):
            self.send_heartbeats()
        self._period_count += 1
        if self._uses_former_layout or self._period_count % LAYOUT_CHECK_PERIODS == 0:
            self._choose_layout(now)
        if self._period_count % FAR_HEARTBEAT_PERIODS == 0:
            with self._supervisor.contain(Part.HEARTBEATS):
                self._contact_far_hubs(now)
        self._peers.tick(now)
        for host in self._hubs.tick(now):
            self._journal.record("hub-silent", peer=format_ipv4(host), cell=self._hubs.cell)
        self._log_silence_changes(now)

    def _choose_layout(self, now: float) -> None:
        uses_former = not self._peers.reads_levels(now)
        if uses_former != self._uses_former_layout:
            self._uses_former_layout = uses_former
            self._journal.record("heartbeat-layout", former=uses_former)

    def _log_silence_changes(self, now: float) -> None:
        for host, peer in self._peers.peers.items():
            is_silent = peer.is_silent
            if is_silent == (host in self._silent_peers):
                continue
            if is_silent:
                self._silent_peers.add(host)
                silence = round(now - peer.last_seen_at, 3)
                self._journal.record("peer-silent", peer=format_ipv4(host), silence=silence)
            else:
                self._silent_peers.discard(host)
                self._journal.record("peer-heard", peer=format_ipv4(host))
        self._silent_peers &= self._peers.peers.keys()

    def _note_scheduling_pause(self, jump: ClockJump) -> None:
        # Evidence from before the pause must not be used, whatever else fails.
        with self._supervisor.contain(Part.HEARTBEATS):
            self._peers.note_scheduling_pause(jump.after)
        with self._supervisor.contain(Part.HEARTBEATS):
            self._hubs.note_scheduling_pause(jump.after)
        with self._supervisor.contain(Part.HEARTBEATS):
            self._journal.record("woke", seconds=round(jump.seconds, 3))
        self._metrics.clock_jumps.increment()
