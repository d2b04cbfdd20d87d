"""An emulated VM with one egretsill process, which can be started, stopped and killed."""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from typing import cast

import trio

from ..boot import NodeSettings, NodeSockets
from ..endpoints import Address
from ..node import Node
from ..supervision import PropagatingSupervisor
from ..timing import TrioTimerService
from ._adapter import Adapter
from ._datagram_socket import EmulatedDatagramSocket
from ._network import Network
from ._stream_socket import CURRENT_HOST

START_SECONDS = 0.3  # approximate time that a process takes to load its libraries
EPOCH_SECONDS = 1_700_000_000  # arbitrary start of the wall clock
MILLISECONDS = 1_000


class EmulatedTimerService(TrioTimerService):
    """Clock of one process: virtual time, with an adjustable wall clock."""

    def __init__(self, wall_offset: Callable[[], float]) -> None:
        self._wall_offset = wall_offset
        super().__init__()

    @property
    def epoch_milliseconds(self) -> int:
        """Return the wall-clock time of the VM in milliseconds since 1970."""
        return int((EPOCH_SECONDS + trio.current_time() + self._wall_offset()) * MILLISECONDS)

    def _read_clock(self) -> float:
        return trio.current_time()


class Machine:
    """An emulated VM.

    Args:
        settings: settings of its process.
        nursery: nursery in which processes run.
        random: source of the seeds of its processes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        adapter: Adapter,
        network: Network,
        nursery: trio.Nursery,
        random: Random,
    ) -> None:
        self.settings = settings
        self.wall_offset = 0.0
        self.disturbed_at = trio.current_time()
        self.starts = 0
        self._adapter = adapter
        self._network = network
        self._nursery = nursery
        self._random = random
        self._scope: trio.CancelScope | None = None
        self._node: Node | None = None
        network.add_host(settings.host, settings.failure_domain)

    @property
    def host(self) -> str:
        """Return its address."""
        return self.settings.host

    @property
    def node(self) -> Node | None:
        """Return its process, or None if none is running."""
        return self._node

    def note_disturbance(self) -> None:
        """Record that the VM is disturbed now."""
        self.disturbed_at = trio.current_time()

    def start(self) -> None:
        """Start its process if none is running."""
        if self._scope is None:
            self._scope = trio.CancelScope()
            self._nursery.start_soon(self._run, self._scope)

    def kill(self) -> None:
        """Kill its process."""
        self.note_disturbance()
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
            self._node = None

    def stop(self) -> None:
        """Shut down its process gracefully."""
        if self._node is not None:
            self._node.shut_down()

    async def _run(self, scope: trio.CancelScope) -> None:
        CURRENT_HOST.set(self.host)
        with scope:
            sockets = self._bind()
            await trio.sleep(START_SECONDS)
            node = Node(
                self.settings,
                sockets,
                self._adapter.codec,
                self._adapter.make_store,
                EmulatedTimerService(lambda: self.wall_offset),
                lambda: None,
                Random(self._random.random()),
                PropagatingSupervisor,
            )
            self._node = node
            self.starts += 1
            await node.run()
        if self._scope is scope:
            self._scope = None
            self._node = None

    def _bind(self) -> NodeSockets:
        settings = self.settings
        packets = settings.packets if settings.agent is None else settings.agent.outbound
        addresses = (
            packets,
            Address(settings.host, settings.tunnel_port),
            Address(settings.host, settings.gossip_port),
        )
        sockets = [EmulatedDatagramSocket(self._network, each) for each in addresses]
        # Processes use only the socket methods that the emulated socket has.
        return NodeSockets(*(cast(socket.socket, each) for each in sockets))
