"""Emulated routers, which spread packets over the ready balancers of a failure domain."""

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
MAXIMUM_FAILED_PROBES = 2
MINIMUM_READY_SHARE = 0.5  # all balancers are used if a smaller share of them is ready
HTTP_OK = 200


class Hashing(enum.Enum):
    """How a router chooses a balancer for a flow."""

    MODULO = "modulo"
    STEADY = "steady"


class Router:
    """The router of one failure domain.

    Args:
        host: address of the router, the source of its probes.
        port: port of balancers for packets.
        health_port: port of balancers for the health page.
    """

    def __init__(
        self, host: str, port: int, health_port: int, hashing: Hashing, network: Network
    ) -> None:
        self._host = host
        self._port = port
        self._health_port = health_port
        self._hashing = hashing
        self._network = network
        self._failed_probes: dict[str, int] = {}

    @property
    def host(self) -> str:
        """Return its address."""
        return self._host

    @property
    def balancers(self) -> list[str]:
        """Return the ready balancers, or all if too few are ready."""
        ready = [
            host for host, missed in self._failed_probes.items() if missed < MAXIMUM_FAILED_PROBES
        ]
        return (
            ready
            if len(ready) >= MINIMUM_READY_SHARE * len(self._failed_probes)
            else list(self._failed_probes)
        )

    def add(self, host: str) -> None:
        """Add a balancer; it gets no packets until a probe succeeds, unless too few are ready."""
        self._failed_probes[host] = MAXIMUM_FAILED_PROBES

    def route(self, flow: FlowKey) -> str | None:
        """Return the balancer for a flow's packets, or None if there is no balancer."""
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
        """Forward a caller's datagram to a balancer."""
        host = self.route(flow)
        if host is not None:
            self._network.send(data, source, Address(host, self._port))

    async def probe(self) -> None:
        """Probe the balancers' health periodically until cancelled."""
        CURRENT_HOST.set(self._host)
        async with trio.open_nursery() as nursery:
            while True:
                for host in tuple(self._failed_probes):
                    nursery.start_soon(self._probe_balancer, host)
                await trio.sleep(PROBE_SECONDS)

    async def _probe_balancer(self, host: str) -> None:
        try:
            page = await get_page(host, self._health_port, "/health", PROBE_SECONDS)
            is_ready = page.status == HTTP_OK
        except PageUnavailable:
            is_ready = False
        self._failed_probes[host] = 0 if is_ready else self._failed_probes[host] + 1
