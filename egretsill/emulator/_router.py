"""The fabric's routers: they spread callers' packets over the ready balancers of a domain."""

from __future__ import annotations

import enum

import trio

from ..address_steering import FlowKey
from ..endpoints import Address, parse_ipv4
from ..ranking import bucket_of, rank
from ..wire import PageUnavailable, get_page
from ._network import Network
from ._stream_socket import CURRENT_HOST

PROBE_SECONDS = 0.5
MISSES = 2
LEAST_SHARE = 0.5  # ready balancers of a domain below which all of them are used
READY = 200


class Hashing(enum.Enum):
    """How a router chooses a balancer for a flow."""

    MODULO = "modulo"
    STEADY = "steady"


class Router:
    """The router of one failure domain.

    Args:
        host: its own address, from where it probes.
        port: where balancers take packets.
        health_port: where they serve their health page.
    """

    def __init__(
        self, host: str, port: int, health_port: int, hashing: Hashing, network: Network
    ) -> None:
        self._host = host
        self._port = port
        self._health_port = health_port
        self._hashing = hashing
        self._network = network
        self._missed: dict[str, int] = {}

    @property
    def host(self) -> str:
        """Return its address."""
        return self._host

    @property
    def balancers(self) -> list[str]:
        """Return the balancers in rotation, or all if too few are."""
        ready = [host for host, missed in self._missed.items() if missed < MISSES]
        return ready if len(ready) >= LEAST_SHARE * len(self._missed) else list(self._missed)

    def add(self, host: str) -> None:
        """Take a balancer on; it must show that it is ready first."""
        self._missed[host] = MISSES

    def route(self, flow: FlowKey) -> str | None:
        """Return the balancer that gets a flow's packets now."""
        balancers = self.balancers
        if not balancers:
            return None
        match self._hashing:
            case Hashing.MODULO:
                return balancers[bucket_of(flow.hash_key) % len(balancers)]
            case Hashing.STEADY:
                by_number = {parse_ipv4(host): host for host in balancers}
                return by_number[rank(flow.hash_key, by_number)[0]]

    def forward(self, data: bytes, flow: FlowKey, source: Address) -> None:
        """Give a caller's datagram to a balancer."""
        host = self.route(flow)
        if host is not None:
            self._network.send(data, source, Address(host, self._port))

    async def probe(self) -> None:
        """Probe the balancers until cancelled."""
        CURRENT_HOST.set(self._host)
        async with trio.open_nursery() as nursery:
            while True:
                for host in tuple(self._missed):
                    nursery.start_soon(self._probe_one, host)
                await trio.sleep(PROBE_SECONDS)

    async def _probe_one(self, host: str) -> None:
        try:
            page = await get_page(host, self._health_port, "/health", PROBE_SECONDS)
            is_ready = page.status == READY
        except PageUnavailable:
            is_ready = False
        self._missed[host] = 0 if is_ready else self._missed[host] + 1
