"""Stand-in for a target (PROTOCOL.md, "Flows" and "Targets")."""

import asyncio
import random
import time
from collections import deque

from packets import ACK, BOUNCED, FIN, RST, SEQUENCE_LIMIT, SYN, Packet, decode
from record import Record

RETRANSMIT_SECONDS, LONGEST_RETRANSMIT_SECONDS, RETRANSMISSIONS = 0.2, 1.6, 8
ACK_DELAY_SECONDS = 0.04


class Connection:
    """One flow at the target."""

    def __init__(self, target: "Target", syn: Packet) -> None:
        self._target = target
        self._peer = (syn.src, syn.sport, syn.dst, syn.dport)
        self._own_seq = random.randrange(SEQUENCE_LIMIT)
        self.next_sent = (self._own_seq + 1) % SEQUENCE_LIMIT
        self.next_received = (syn.seq + 1) % SEQUENCE_LIMIT
        self.is_open = False
        self.has_ended = False
        self._buffer = b""
        self._unacknowledged: deque[Packet] = deque()
        self._retry: asyncio.TimerHandle | None = None
        self._tries = 0
        self._received_since_ack = 0
        self._fin_received = False
        self._fin_sent = False

    def answer_syn(self) -> None:
        self._send(SYN | ACK, self._own_seq)

    def may_be_opened_by(self, packet: Packet) -> bool:
        return packet.ack == (self._own_seq + 1) % SEQUENCE_LIMIT

    def take(self, packet: Packet) -> None:
        if packet.flags & RST:
            self.close()
            return
        self._note_acknowledged(packet.ack)
        if packet.data:
            self._take_data(packet)
        if packet.flags & FIN and packet.seq + len(packet.data) == self.next_received:
            self._fin_received = True
            self.next_received = (self.next_received + 1) % SEQUENCE_LIMIT
            self._send_ack()
            if not self._fin_sent:
                self.send_fin()
        if self._fin_received and self._fin_sent and not self._unacknowledged:
            self.close()

    def _take_data(self, packet: Packet) -> None:
        if packet.seq != self.next_received:
            self._send_ack()
            return
        self.next_received = (packet.seq + len(packet.data)) % SEQUENCE_LIMIT
        self._buffer += packet.data
        self._received_since_ack += 1
        if self._received_since_ack >= 2:
            self._send_ack()
        else:
            asyncio.get_running_loop().call_later(ACK_DELAY_SECONDS, self._send_delayed_ack)
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head = self._buffer[:end].decode()
            fields = dict(
                line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
            )
            size = int(fields.get("Content-Length", "0"))
            if len(self._buffer) < end + 4 + size:
                return
            body = self._buffer[end + 4 : end + 4 + size]
            self._buffer = self._buffer[end + 4 + size :]
            self._target.run(self, head.split("\r\n")[0], fields.get("Attempt-Id", ""), body)

    def respond(self, data: bytes) -> None:
        for start in range(0, len(data), 1200):
            self._send_reliably(ACK, data[start : start + 1200])

    def send_fin(self) -> None:
        self._fin_sent = True
        self._send_reliably(ACK | FIN, b"")

    def close(self) -> None:
        self.has_ended = True
        self._unacknowledged.clear()
        if self._retry is not None:
            self._retry.cancel()

    def _note_acknowledged(self, ack: int) -> None:
        while self._unacknowledged:
            first = self._unacknowledged[0]
            end = first.seq + len(first.data) + (1 if first.flags & FIN else 0)
            if (ack - end) % SEQUENCE_LIMIT >= SEQUENCE_LIMIT // 2:
                return
            self._unacknowledged.popleft()
            self._tries = 0

    def _send_reliably(self, flags: int, data: bytes) -> None:
        packet = self._send(flags, self.next_sent, data)
        used = len(data) + (1 if flags & FIN else 0)
        self.next_sent = (self.next_sent + used) % SEQUENCE_LIMIT
        self._unacknowledged.append(packet)
        self._schedule_retry()

    def _schedule_retry(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
        delay = min(RETRANSMIT_SECONDS * 2**self._tries, LONGEST_RETRANSMIT_SECONDS)
        self._retry = asyncio.get_running_loop().call_later(delay, self._retransmit)

    def _retransmit(self) -> None:
        if self.has_ended or not self._unacknowledged:
            return
        self._tries += 1
        if self._tries > RETRANSMISSIONS:
            self.close()
            return
        first = self._unacknowledged[0]
        self._target.send(first._replace(ack=self.next_received))
        self._schedule_retry()

    def _send_delayed_ack(self) -> None:
        if self._received_since_ack and not self.has_ended:
            self._send_ack()

    def _send_ack(self) -> None:
        self._send(ACK, self.next_sent)

    def _send(self, flags: int, seq: int, data: bytes = b"") -> Packet:
        self._received_since_ack = 0
        host, port, own_host, own_port = self._peer
        packet = Packet(
            seq, self.next_received, 0, port, own_port, own_host, host, flags, bytes(4), data
        )
        self._target.send(packet)
        return packet


class Target(asyncio.DatagramProtocol):
    """A target at `app`; it is reached from its own machine only.

    Its entry in the store is written by the site.
    """

    def __init__(self, name: str, service: str, slots: int, work_s: float, record: Record) -> None:
        self.name = name
        self.service = service
        self.started_ms = int(time.time() * 1000)
        self._slots = slots
        self._work_s = work_s
        self._record = record
        self._connections: dict[tuple, Connection] = {}
        self._queue: deque[tuple[Connection, str, bytes]] = deque()
        self._running = 0
        self._outbound: tuple[str, int] = ("", 0)
        self._transport: asyncio.DatagramTransport | None = None
        self.runs: dict[str, int] = {}
        self.syns: list[float] = []  # when the flows that it took were first offered to it

    async def start(self, app: tuple[str, int], outbound: tuple[str, int]) -> None:
        self._outbound = outbound
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=app)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def error_received(self, error: Exception) -> None:
        """The agent is down: nobody takes the packet."""

    def send(self, packet: Packet) -> None:
        if self._transport is not None:
            self._transport.sendto(packet.signed(), self._outbound)

    def holds(self, flow: tuple) -> bool:
        """Whether a flow is open here."""
        found = self._connections.get(flow)
        return found is not None and found.is_open and not found.has_ended

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        packet = decode(data)
        if packet.sum != packet.expected_sum or packet.flags & (SYN | ACK) == SYN | ACK:
            self._record.write("forged-packet", target=self.name)
            return
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        known = self._connections.get(flow)
        if packet.flags & SYN:
            if known is None or known.has_ended:
                known = self._connections[flow] = Connection(self, packet)
                self.syns.append(self._record.now)
            if not known.is_open:
                known.answer_syn()
            return
        if known is not None and not known.is_open and known.may_be_opened_by(packet):
            known.is_open = True
            self._record.write("opened", target=self.name, flow=flow)
        if known is not None and known.has_ended:
            if packet.flags & FIN:
                known.next_received = (packet.seq + 1) % SEQUENCE_LIMIT
                known._send_ack()
            elif packet.data:
                known._send(RST, known.next_sent)
            return
        if known is None or not known.is_open:
            bounced = bytearray(data)
            bounced[24] |= BOUNCED
            self._transport.sendto(bytes(bounced), self._outbound)
            return
        known.take(packet)

    def run(self, connection: Connection, line: str, attempt: str, body: bytes) -> None:
        self._queue.append((connection, attempt, body))
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and self._running < self._slots:
            connection, attempt, body = self._queue.popleft()
            self._running += 1
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            self._record.write("run", target=self.name, attempt=attempt)
            asyncio.get_running_loop().call_later(self._work_s, self._finish, connection, attempt)

    def _finish(self, connection: Connection, attempt: str) -> None:
        self._running -= 1
        if not connection.has_ended:
            text = f"entry for {attempt} from {self.name}".encode()
            connection.respond(
                f"HTTP/1.1 200 OK\r\nServer-Signature: {self.name}\r\n"
                f"Attempt-Id: {attempt}\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                + text
            )
        self._start_next()
