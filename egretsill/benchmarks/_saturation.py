"""Throughput of forwarders that run in their own process under more load than they can carry."""

from __future__ import annotations

import multiprocessing
import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from multiprocessing.connection import Connection

import trio

from ..configuration import Address

WARM_UP_SECONDS = 0.2
RUN_SECONDS = 1.0
LOOPBACK = Address("127.0.0.1", 0)
START_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Throughput:
    """Throughput of a saturated forwarder.

    Attributes:
        packets: datagrams forwarded.
        elapsed: seconds of wall-clock time.
        processor: seconds of processor time.
    """

    packets: int
    elapsed: float
    processor: float

    @property
    def packets_per_second(self) -> float:
        """Return the rate in wall-clock time."""
        return self.packets / self.elapsed

    @property
    def processor_microseconds(self) -> float:
        """Return the processor time per packet in microseconds."""
        return 1e6 * self.processor / max(self.packets, 1)


@dataclass(frozen=True, slots=True)
class Forwarder:
    """A forwarder under test.

    Attributes:
        address: endpoint that receives datagrams.
        run: forwards until cancelled.
        packets: returns the number of datagrams forwarded.
    """

    address: Address
    run: Callable[[], Awaitable[None]]
    packets: Callable[[], int]


def saturate(
    make: Callable[..., Forwarder],
    arguments: Sequence[object],
    datagrams: Sequence[bytes],
    sender: socket.socket,
) -> Throughput:
    """Send datagrams to a forwarder in a new process as fast as possible.

    Args:
        make: picklable function that makes the forwarder in the new process.
        arguments: picklable arguments of `make`.
        datagrams: sent in order, repeatedly.
        sender: socket to send from.

    Raises:
        TimeoutError: if the new process does not become ready in time.
    """
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    process = context.Process(target=_run_subprocess, args=(child_pipe, make, arguments))
    process.start()
    try:
        if not parent_pipe.poll(START_TIMEOUT_SECONDS):
            raise TimeoutError
        address = parent_pipe.recv()
        while not parent_pipe.poll():
            for datagram in datagrams:
                sender.sendto(datagram, address)
        result: Throughput = parent_pipe.recv()
        return result
    finally:
        process.terminate()
        process.join()


def open_socket() -> socket.socket:
    """Return a UDP socket on loopback."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind(LOOPBACK)
    return udp_socket


def address_of(udp_socket: socket.socket) -> Address:
    """Return the address that a socket is bound to."""
    return Address(*udp_socket.getsockname())


def _run_subprocess(
    pipe: Connection, make: Callable[..., Forwarder], arguments: Sequence[object]
) -> None:
    pipe.send(trio.run(_run_forwarder, pipe, make, arguments))


async def _run_forwarder(
    pipe: Connection, make: Callable[..., Forwarder], arguments: Sequence[object]
) -> Throughput:
    forwarder = make(*arguments)
    pipe.send(forwarder.address)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(forwarder.run)
        await trio.sleep(WARM_UP_SECONDS)
        packets, elapsed, processor = forwarder.packets(), time.perf_counter(), time.process_time()
        await trio.sleep(RUN_SECONDS)
        throughput = Throughput(
            forwarder.packets() - packets,
            time.perf_counter() - elapsed,
            time.process_time() - processor,
        )
        nursery.cancel_scope.cancel()
    return throughput
