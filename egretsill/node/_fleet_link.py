"""Heartbeats over UDP, and content from the peers that have newer content."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..directory import Directory, ReadPlan
from ..endpoints import dotted, numbered
from ..fleet import FLEET_TYPES, HEARTBEAT_SECONDS, Heartbeat, PeerTable
from ..observation import Journal, Metrics
from ..timing import ClockJump, TimerService
from ..wire import (
    BATCH_DATAGRAMS,
    Codec,
    MalformedMessage,
    close_datagram_socket,
    read_batches,
)
from ._content_exchange import ContentExchange, PeerContentUnavailable

MAXIMUM_HEARTBEAT_BYTES = 1_024
MAXIMUM_AGE_MILLISECONDS = 1_000_000
RETRY_SECONDS = 0.1  # before the next peer is asked for content
MILLISECONDS = 1000


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
        load: returns what to tell of the target.
        on_change: called after content in force changed.
    """

    def __init__(
        self,
        host: str,
        bound: socket.socket,
        failure_domain: str,
        is_balancer: bool,
        directory: Directory,
        peers: PeerTable,
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
        self._failure_domain = failure_domain
        self._is_balancer = is_balancer
        self._directory = directory
        self._peers = peers
        self._plan = plan
        self._exchange = exchange
        self._timer = timer
        self._metrics = metrics
        self._journal = journal
        self._load = load
        self._on_change = on_change
        self._codec: Codec[Heartbeat] = Codec("fleet", FLEET_TYPES)
        self._socket = bound
        self._incarnation = timer.epoch_milliseconds
        self._sequence = 0
        self._is_leaving = False
        self._silent: set[int] = set()
        self._behind = trio.Event()

    async def run(self) -> None:
        """Exchange heartbeats until cancelled."""
        self._timer.subscribe_jumps(self._note_jump)
        subscription = self._timer.subscribe(HEARTBEAT_SECONDS, self._tick)
        self.send_heartbeats()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_batches, self._socket, self._take_batch)
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
        """Tell every peer the state of this process now."""
        now = self._timer.now
        self._sequence += 1
        data = self._codec.encode(self._heartbeat(now))
        for host in self._peers.recipients(self._directory.hosts(), now):
            try:
                self._socket.sendto(data, (dotted(host), self._port))
            except OSError:
                self._metrics.datagrams_dropped.increment("gossip", "send-failed")

    def _heartbeat(self, now: float) -> Heartbeat:
        directory = self._directory
        load = self._load()
        age = min(max(now - directory.confirmed_at, 0.0) * MILLISECONDS, MAXIMUM_AGE_MILLISECONDS)
        return Heartbeat(
            host=self._host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            is_balancer=self._is_balancer,
            failure_domain=self._failure_domain,
            is_leaving=self._is_leaving,
            can_read=self._plan.can_read(now),
            version=directory.version,
            revision=directory.content_revision,
            age_milliseconds=int(age),
            pending=load.pending,
            flows=load.flows,
            delay_milliseconds=int(load.delay_seconds * MILLISECONDS),
            is_target_silent=load.is_target_silent,
            balancers=self._peers.told_balancers(now, self._sequence),
        )

    def _take_batch(self) -> bool:
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(MAXIMUM_HEARTBEAT_BYTES + 1)
            except BlockingIOError:
                return False
            self._take(data, sender[0])
        return True

    def _take(self, data: bytes, sender: str) -> None:
        try:
            heartbeat = self._codec.decode(data)
        except MalformedMessage as error:
            self._metrics.messages_malformed.increment(error.protocol, error.reason)
            return
        if dotted(heartbeat.host & 0xFFFFFFFF) != sender:
            self._metrics.datagrams_dropped.increment("gossip", "foreign-host")
            return
        now = self._timer.now
        if not self._peers.receive(heartbeat, now):
            return
        if heartbeat.host in self._silent:
            self._silent.discard(heartbeat.host)
            self._journal.record("peer-heard", peer=sender)
        if heartbeat.revision > self._directory.content_revision:
            self._behind.set()
        else:
            self._directory.confirm(
                heartbeat.revision, heartbeat.age_milliseconds / MILLISECONDS, now
            )

    def _tick(self, now: float) -> None:
        self.send_heartbeats()
        self._peers.tick(now)
        for host, peer in self._peers.peers.items():
            if host not in self._silent and self._peers.is_silent(host, now):
                self._silent.add(host)
                self._journal.record(
                    "peer-silent", peer=dotted(host), silence=round(now - peer.heard_at, 3)
                )
        self._silent &= self._peers.peers.keys()

    async def _catch_up(self) -> None:
        while True:
            await self._behind.wait()
            self._behind = trio.Event()
            await self._fetch_newest()

    async def _fetch_newest(self) -> None:
        """Ask the peers with newer content one after the other, the newest first."""
        now = self._timer.now
        ahead = sorted(
            (
                each.heartbeat
                for each in self._peers.heard(now)
                if each.heartbeat.revision > self._directory.content_revision
            ),
            key=lambda each: each.revision,
            reverse=True,
        )
        for heartbeat in ahead:
            if heartbeat.revision <= self._directory.content_revision:
                return
            host = dotted(heartbeat.host)
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
        self._journal.record("woke", seconds=round(jump.seconds, 3))
        self._metrics.clock_jumps.increment()
