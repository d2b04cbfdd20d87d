"""Stand-in for clients with long flows, and for the platform's routers (PROTOCOL.md)."""

import asyncio
import itertools
import random
import zlib

from packets import ACK, FIN, RST, SEQUENCE_LIMIT, SYN, Packet, decode, to_number
from record import Record

SYN_COPIES_SECONDS = (0.0, 0.2, 0.6)
OPEN_SECONDS = 1.4
RETRANSMIT_SECONDS, LONGEST_RETRANSMIT_SECONDS = 0.2, 1.6
PROBE_SECONDS, MISSES = 0.5, 2
RESET_DISTANCE = 76_800


class Router:
    """Forwards clients' packets to the balancers in rotation, by a hash (`mod`)."""

    def __init__(self, balancers: list[tuple[tuple[str, int], tuple[str, int]]]) -> None:
        self._balancers = balancers
        self._misses = {packets: MISSES for packets, _ in balancers}

    @property
    def rotation(self) -> list[tuple[str, int]]:
        ready = [each for each, _ in self._balancers if self._misses[each] < MISSES]
        if 2 * len(ready) < len(self._balancers):
            return [each for each, _ in self._balancers]
        return ready

    def choose(self, flow: tuple) -> tuple[str, int]:
        rotation = self.rotation
        return rotation[zlib.crc32(repr(flow).encode()) % len(rotation)]

    async def probe_forever(self) -> None:
        async with asyncio.TaskGroup() as group:
            for packets, ready in self._balancers:
                group.create_task(self._probe(packets, ready))

    async def _probe(self, packets: tuple[str, int], ready: tuple[str, int]) -> None:
        while True:
            if await is_ready(ready):
                self._misses[packets] = 0
            else:
                self._misses[packets] += 1
            await asyncio.sleep(PROBE_SECONDS)


async def is_ready(address: tuple[str, int]) -> bool:
    """Whether the health page, as `deploy/wire.toml` names it, answers with 200."""
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


class ClientHost(asyncio.DatagramProtocol):
    """One client address with its flows."""

    def __init__(self, host: str, router: Router, record: Record) -> None:
        self.host = to_number(host)
        self.router = router
        self.record = record
        self.flows: dict[int, Flow] = {}
        self._ports = itertools.count(random.randrange(20_000, 40_000))
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: tuple[str, int]) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def error_received(self, error: Exception) -> None:
        """A balancer is down."""

    def send(self, packet: Packet, via: tuple[str, int] | None) -> None:
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        self._transport.sendto(packet.signed(), via or self.router.choose(flow))

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        packet = decode(data)
        flow = self.flows.get(packet.dport)
        if flow is not None:
            flow.take(packet)

    def next_port(self) -> int:
        return next(self._ports)


class Flow:
    """One flow of a client; the request and its answer fit in one packet each.

    Its packets go through the routers, or directly to one balancer (`via`), as those of the few
    flows on routes that were just removed do.
    """

    _attempts = itertools.count(1)

    def __init__(
        self, host: ClientHost, service: tuple[int, int], via: tuple[str, int] | None = None
    ) -> None:
        self._host = host
        self._via = via
        self.port = host.next_port()
        self.key = (host.host, self.port, *service)
        host.flows[self.port] = self
        self._next_sent = random.randrange(SEQUENCE_LIMIT)
        self._next_received = 0
        self._opened = asyncio.Event()
        self._answered = asyncio.Event()
        self._answer = b""
        self.is_open = False
        self.opened_at = 0.0
        self.last_packet_at = 0.0
        self.reset_by: str | None = None
        self._first_ack = 0

    async def open(self) -> bool:
        """Open the flow; return whether it opened."""
        started = asyncio.get_running_loop().time()
        for copy, delay in enumerate(SYN_COPIES_SECONDS):
            await self._wait(self._opened, started + delay)
            if self._opened.is_set():
                break
            self._send(SYN, self._next_sent, copy)
        await self._wait(self._opened, started + OPEN_SECONDS)
        if not self.is_open:
            self.forget()
            return False
        self._next_sent = (self._next_sent + 1) % SEQUENCE_LIMIT
        self.opened_at = self.last_packet_at = self._host.record.now
        self._send(ACK, self._next_sent, self._next_received)
        return True

    async def request(self, line: str, limit_s: float) -> tuple[str, str]:
        """Send a request; return the attempt's id and what became of it."""
        attempt = f"a{next(self._attempts)}"
        data = f"{line} HTTP/1.1\r\nHost: x\r\nAttempt-Id: {attempt}\r\n\r\n".encode()
        self._answered.clear()
        self._answer = b""
        record = self._host.record
        record.write("sent", attempt=attempt, flow=self.key)
        end = asyncio.get_running_loop().time() + limit_s
        delay = RETRANSMIT_SECONDS
        while not self._answered.is_set() and asyncio.get_running_loop().time() < end:
            self._send(ACK, self._next_sent, self._next_received, data)
            await self._wait(self._answered, min(asyncio.get_running_loop().time() + delay, end))
            delay = min(2 * delay, LONGEST_RETRANSMIT_SECONDS)
        self._next_sent = (self._next_sent + len(data)) % SEQUENCE_LIMIT
        if self.reset_by is not None:
            outcome = "reset"
        elif not self._answered.is_set():
            outcome = "no-answer"
        elif f"Attempt-Id: {attempt}\r\n".encode() in self._answer:
            outcome = "answered"
        else:
            outcome = "foreign-answer"
        record.write("ended", attempt=attempt, flow=self.key, outcome=outcome)
        return attempt, outcome

    def close(self) -> None:
        if self.is_open and self.reset_by is None:
            self._send(ACK | FIN, self._next_sent, self._next_received)
        asyncio.get_running_loop().call_later(2.0, self.forget)

    def forget(self) -> None:
        self._host.flows.pop(self.port, None)

    def take(self, packet: Packet) -> None:
        if packet.flags & RST:
            self._take_reset(packet)
            return
        if packet.sum != packet.expected_sum:
            self._host.record.write("forged-answer", flow=self.key)
            return
        self.last_packet_at = self._host.record.now
        if packet.flags & SYN:
            if not self.is_open:
                self.is_open = True
                self._next_received = (packet.seq + 1) % SEQUENCE_LIMIT
                self._first_ack = self._next_received
                self._opened.set()
            return
        if not packet.data:
            return
        if packet.seq == self._next_received:
            self._next_received = (packet.seq + len(packet.data)) % SEQUENCE_LIMIT
            self._answer += packet.data
            head, found, body = self._answer.partition(b"\r\n\r\n")
            size = int(head.rpartition(b"Content-Length: ")[2].split(b"\r\n")[0] or 0)
            if found and len(body) >= size:
                self._answered.set()
        self._send(ACK, self._next_sent, self._next_received)

    def _take_reset(self, packet: Packet) -> None:
        """Take a reset: one of the target's, or one of the system's near the last `ack`."""
        distance = (packet.seq - self._next_received) % SEQUENCE_LIMIT
        is_near = min(distance, SEQUENCE_LIMIT - distance) <= RESET_DISTANCE
        is_targets = packet.sum == packet.expected_sum
        if self.is_open and not is_targets and not is_near:
            self._host.record.write("reset-ignored", flow=self.key)
            return
        self.reset_by = "target" if is_targets else "system"
        self._host.record.write(
            "reset", flow=self.key, by=self.reset_by, was_open=self.is_open
        )
        self._opened.set()
        self._answered.set()

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        _, port, host, service_port = self.key
        packet = Packet(seq, ack, 0, service_port, port, self.key[0], host, flags, bytes(4), data)
        self._host.send(packet, self._via)

    async def _wait(self, event: asyncio.Event, until: float) -> None:
        try:
            async with asyncio.timeout_at(until):
                await event.wait()
        except TimeoutError:
            return
