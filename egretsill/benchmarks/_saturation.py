"""Forwarders in a process of their own, sent more datagrams than they can take."""

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
START_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Throughput:
    """What a saturated forwarder did.

    Attributes:
        packets: datagrams sent on.
        elapsed: seconds by the clock.
        processor: seconds of processor time.
    """

    packets: int
    elapsed: float
    processor: float

    @property
    def packets_per_second(self) -> float:
        """Return the rate by the clock."""
        return self.packets / self.elapsed

    @property
    def processor_microseconds(self) -> float:
        """Return processor time for each packet in microseconds."""
        return 1e6 * self.processor / max(self.packets, 1)


@dataclass(frozen=True, slots=True)
class Forwarder:
    """A forwarder that is ready to run.

    Attributes:
        address: where it takes datagrams.
        run: forwards until cancelled.
        packets: returns how many datagrams it has sent on.
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
        make: makes the forwarder, in the new process.
        arguments: for `make`; they must be picklable, as `make` itself.
        datagrams: sent in turn, again and again.
        sender: the socket to send from.

    Raises:
        TimeoutError: if the new process does not get ready.
    """
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=_run_child, args=(theirs, make, arguments))
    process.start()
    try:
        if not ours.poll(START_SECONDS):
            raise TimeoutError
        address = ours.recv()
        while not ours.poll():
            for datagram in datagrams:
                sender.sendto(datagram, address)
        result: Throughput = ours.recv()
        return result
    finally:
        process.terminate()
        process.join()


def open_socket() -> socket.socket:
    """Return a UDP socket on loopback."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind(LOOPBACK)
    return opened


def address_of(opened: socket.socket) -> Address:
    """Return the address that a socket is bound to."""
    return Address(*opened.getsockname())


def _run_child(
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
