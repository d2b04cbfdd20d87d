"""Two agents over loopback with a breakable relay between them."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

import trio

from ...configuration import Address, Service
from ...stand_ins.backend_server import BackendBehaviour, BackendServer
from ...supervision import PropagatingSupervisor
from ...timing import TimerService, VirtualTimerService
from ...wire import StreamDecoder
from .. import BackendClient, NullObserver, RequestObserver, RequestService
from .._message_link import RELAY_CODEC
from ._fakes import (
    HOST,
    NOWHERE,
    SimpleAdmission,
    SimplePlacement,
    make_service,
    make_target,
    running_backend,
)

MAXIMUM_WAITS = 5_000


@dataclass
class CountingObserver(NullObserver):
    malformed: list[str] = field(default_factory=list)

    def on_malformed(self, protocol: str) -> None:
        self.malformed.append(protocol)


@dataclass
class Fleet:
    """One requester and one gate behind a breakable relay.

    Attributes:
        declared: services in the requester's configuration, by name.
        declared_at_gate: services in the gate's configuration, by name.
    """

    timer: VirtualTimerService
    requester: RequestService
    gate: RequestService
    server: BackendServer
    observer: CountingObserver
    relay: Address
    declared: dict[str, Service]
    declared_at_gate: dict[str, Service]
    streams: list[trio.SocketStream] = field(default_factory=list)
    broken: int = 0

    def break_links(self) -> None:
        while self.streams:
            self.broken += 1
            self.streams.pop().socket.close()


@asynccontextmanager
async def running_fleet(
    behaviour: BackendBehaviour | None = None,
    order: tuple[int, ...] = (2,),
    shared: bool = False,
) -> AsyncIterator[Fleet]:
    """Run a fleet; `shared` gives the requester's own gate the same backend server."""
    timer = VirtualTimerService()
    observer = CountingObserver()
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    relay = Address(HOST, listeners[0].socket.getsockname()[1])
    service = make_service(make_target(1), make_target(2, relay=relay))
    declared, at_gate = {service.name: service}, {service.name: service}
    async with running_backend(behaviour) as (server, backend), trio.open_nursery() as nursery:
        own = backend if shared else NOWHERE
        requester = _request_service(1, timer, declared, own, SimplePlacement(order), observer)
        gate = _request_service(2, timer, at_gate, backend, SimplePlacement(()), observer)
        fleet = Fleet(timer, requester, gate, server, observer, relay, declared, at_gate)
        await nursery.start(requester.run)
        await nursery.start(gate.run)
        nursery.start_soon(trio.serve_listeners, partial(_serve_relay, fleet), listeners)
        yield fleet
        nursery.cancel_scope.cancel()


def _request_service(
    number: int,
    timer: TimerService,
    services: Mapping[str, Service],
    backend: Address,
    placement: SimplePlacement,
    observer: RequestObserver,
) -> RequestService:
    client = BackendClient(backend, timer)
    return RequestService(
        number,
        "catalog",
        7,
        timer,
        services.get,
        SimpleAdmission(),
        placement,
        client,
        PropagatingSupervisor(),
        observer,
    )


async def _serve_relay(fleet: Fleet, stream: trio.SocketStream) -> None:
    fleet.streams.append(stream)
    decoder = StreamDecoder(RELAY_CODEC)
    messages = decoder.feed(bytes(await stream.receive_some(65_536)))
    try:
        first = next(messages)
    except Exception:
        await stream.aclose()
        return
    await fleet.gate.serve_relay(stream, first, decoder)


async def until(condition: Callable[[], object]) -> None:
    for _ in range(MAXIMUM_WAITS):
        if condition():
            return
        await trio.sleep(0.001)
    raise AssertionError("condition never came true")
