"""Configuration services of a small fleet in one trio loop, connected in memory."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from random import Random

import trio

from ...stand_ins.platform import Down, PlatformStore, Silent
from ...supervision import PropagatingSupervisor
from ...timing import TimerService
from .. import (
    Address,
    Announcement,
    Bundle,
    ConfigurationRequest,
    ConfigurationResponse,
    ConfigurationService,
    Peer,
    PeerUnreachable,
    PlatformTimedOut,
    PlatformUnreachable,
    Publication,
    Unchanged,
    Value,
    ValueMissing,
    encode_publication,
    encode_vms,
)
from .fleets import DOMAINS, make_vms

DELAY_SECONDS = 0.005
POLL_SECONDS = 0.05
TICK_SECONDS = 0.25
READ_SECONDS = 2.0


class TrioClockTimer(TimerService):
    """A timer service that uses the clock of the trio loop, which may be virtual."""

    def _read_clock(self) -> float:
        return trio.current_time()

    @property
    def epoch_milliseconds(self) -> int:
        return int(self.now * 1000)

    async def run(self) -> None:
        while True:
            await trio.sleep(TICK_SECONDS)
            self.fire_due()


class MemoryPlatform:
    """A platform client of one process that reads from a store without sockets."""

    def __init__(self, store: PlatformStore, is_cut: Callable[[], bool]) -> None:
        self._store = store
        self._is_cut = is_cut

    async def read(self, key: str) -> Value:
        await self._simulate_request()
        stored = self._store.read(key)
        if stored is None:
            raise ValueMissing(key)
        return Value(key, stored.version, stored.content)

    async def watch(self, key: str, after: int, wait_seconds: float) -> Value | Unchanged:
        await self._simulate_request()
        until = trio.current_time() + wait_seconds
        while True:
            self._check()
            stored = self._store.read(key)
            if stored is None:
                raise ValueMissing(key)
            if stored.version > after:
                return Value(key, stored.version, stored.content)
            if trio.current_time() >= until:
                return Unchanged(key, stored.version)
            await trio.sleep(POLL_SECONDS)

    async def _simulate_request(self) -> None:
        await trio.sleep(DELAY_SECONDS)
        self._store.count_read(trio.current_time())
        if isinstance(self._store.fault, Silent):
            await trio.sleep(READ_SECONDS)
            raise PlatformTimedOut("memory", READ_SECONDS)
        self._check()

    def _check(self) -> None:
        if isinstance(self._store.fault, Down) or self._is_cut():
            raise PlatformUnreachable("memory", "down")


class ServiceFleet:
    """Starts, stops and connects configuration services."""

    def __init__(self, nursery: trio.Nursery, count: int, seed: int = 1) -> None:
        self.store = PlatformStore()
        self.cut_domains: set[str] = set()
        self.services: dict[str, ConfigurationService] = {}
        self.in_force: dict[str, list[int]] = {}
        self.alarms: list[str] = []
        self.timer = TrioClockTimer()
        self._nursery = nursery
        self._scopes: dict[str, trio.CancelScope] = {}
        self._peers = {
            vm.name: Peer(
                vm.name,
                vm.failure_domain,
                Address("10.0.0.1", number + 1),
                Address("10.0.0.2", number + 1),
            )
            for number, vm in enumerate(make_vms(count))
        }
        self._name_by_gossip = {peer.gossip: peer.name for peer in self._peers.values()}
        self._name_by_relay = {peer.relay: peer.name for peer in self._peers.values()}
        self._random = Random(seed)
        self.store.put("vms", encode_vms(make_vms(count)))
        nursery.start_soon(self.timer.run)

    @property
    def names(self) -> Collection[str]:
        return self._peers.keys()

    def publish(self, publication: Publication, keys: Collection[str] | None = None) -> None:
        values: Mapping[str, bytes] = encode_publication(publication)
        self.store.put_all({k: v for k, v in values.items() if keys is None or k in keys})

    def start(self, name: str) -> None:
        peer = self._peers[name]
        domain = peer.failure_domain
        platform = MemoryPlatform(self.store, lambda: domain in self.cut_domains)
        service = ConfigurationService(
            name=name,
            failure_domain=domain,
            relay=peer.relay,
            platform=platform,
            vm_platform=platform,
            timer=self.timer,
            random=Random(self._random.random()),
            peers=lambda: list(self._peers.values()),
            send=lambda to, message: self._send(peer.gossip, to, message),
            fetch=self._fetch,
            supervisor=PropagatingSupervisor(),
        )
        self.services[name] = service
        revisions = self.in_force[name] = []
        service.subscribe(lambda bundle: self._record_revision(revisions, bundle))
        service.subscribe_conflicts(lambda conflict: self.alarms.append(name))
        scope = self._scopes[name] = trio.CancelScope()
        self._nursery.start_soon(self._run, service, scope)

    def stop(self, name: str) -> None:
        self._scopes.pop(name).cancel()
        del self.services[name]

    def start_all(self) -> None:
        for name in self._peers:
            self.start(name)

    def replace_all(self) -> None:
        for name in list(self.services):
            self.stop(name)
        self.start_all()

    def revisions(self) -> set[int | None]:
        return {service.revision for service in self.services.values()}

    def _record_revision(self, revisions: list[int], bundle: Bundle) -> None:
        revisions.append(bundle.revision)

    async def _run(self, service: ConfigurationService, scope: trio.CancelScope) -> None:
        with scope:
            await service.run()

    def _send(self, source: Address, to: Address, message: Announcement) -> None:
        def deliver(now: float) -> None:
            service = self.services.get(self._name_by_gossip[to])
            if service is not None:
                service.receive(message, source)

        self.timer.call_later(DELAY_SECONDS, deliver)

    async def _fetch(self, relay: Address, question: ConfigurationRequest) -> ConfigurationResponse:
        await trio.sleep(2 * DELAY_SECONDS)
        service = self.services.get(self._name_by_relay[relay])
        if service is None:
            raise PeerUnreachable(str(relay), "stopped")
        return service.answer(question)


__all__ = ["DOMAINS", "ServiceFleet"]
