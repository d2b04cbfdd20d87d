"""Stand-ins for the platform's store, targets and clients, on loopback, with the standard library.

They follow PROTOCOL.md. Every machine has an address of its own in one network of 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import re
import signal
import socket
import struct
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
METRICS = 9464  # stated by the templates of the deployment
PACKETS, HEALTH, CONTROL, OUTBOUND, APP, FIRST, LAST, STORE = range(24100, 24108)
HEARTBEAT_S = 1.2
SILENT_INTERVALS = 3
HEAD = struct.Struct(">IIIHHIIBIH")
SYN, ACK, FIN, RST, BOUNCED = 32, 16, 64, 1, 8


def choose_network() -> str:
    """Return the first three numbers of a network in which the ports are free."""
    for _ in range(200):
        network = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        try:
            for port in (STORE, METRICS):
                with socket.socket() as opened:
                    opened.bind((f"{network}.10", port))
            return network
        except OSError:
            continue
    raise SystemExit(2)


class Record:
    """Lines about what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, line: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {line}\n")
        self._file.flush()


class Store:
    """Items with revisions, their history, and entries that expire when their writer is silent."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.at = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self._changed = asyncio.Event()
        self._beats: dict[str, float] = {}

    def put(self, key: str, value: object) -> None:
        self.at += 1
        created = self.items.get(key, {}).get("created_revision", self.at)
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "revision": self.at, "created_revision": created}
        self.items[key] = {**item, "lease_id": 0}
        self._add_event(self.items[key])
        self._record.write(f"store: {key} written at {self.at}: {json.dumps(value)[:300]}")

    def remove(self, key: str, why: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.at += 1
        self._beats.pop(key, None)
        self._add_event({"key": key, "revision": self.at, "compacted": True})
        self._record.write(f"store: {key} removed at {self.at}, {why}")

    def beat(self, key: str, value: dict) -> None:
        """Take a target's status report; the entry changes if more than its sequence does."""
        self._beats[key] = time.monotonic()
        stored = self.items.get(key)
        if stored is not None:
            known = json.loads(base64.b64decode(stored["value"]))
            if {**known, "sequence": 0} == {**value, "sequence": 0}:
                return
        self.put(key, value)

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for key, at in tuple(self._beats.items()):
                if time.monotonic() - at > SILENT_INTERVALS * HEARTBEAT_S:
                    self.remove(key, "three status report intervals of silence")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                data = json.dumps(body).encode()
                lines = f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                writer.write(f"{lines}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[str, dict]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        await asyncio.sleep(0.004)
        if parts.path == "/api/kv-range":
            after = query.get("after", "")
            keys = sorted(each for each in self.items if each.startswith(prefix) and each > after)
            items = [self.items[each] for each in keys[:500]]
            return "200 OK", {"items": items, "has_more": len(keys) > 500, "at": self.at}
        if parts.path == "/api/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return "404 Not Found", {"at": self.at}
            return "200 OK", {**item, "at": self.at}
        if parts.path != "/api/kv-watch":
            return "404 Not Found", {}
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["wait_timeout_ms"]) / 1000
        while True:
            events = [
                each
                for each in self.history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return "200 OK", {"events": events, "at": self.at}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _add_event(self, event: dict) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def parse(data: bytes) -> dict | None:
    """Return the fields of a packet, None if it isn't one or was changed on its way."""
    if len(data) < HEAD.size:
        return None
    names = ("seq", "ack", "sum", "dport", "sport", "src", "dst", "flags", "echo", "len")
    fields = dict(zip(names, HEAD.unpack_from(data)))
    fields["data"] = data[HEAD.size :]
    return fields if fields["len"] == len(fields["data"]) else None


def build(src: int, sport: int, dst: int, dport: int, flags: int, seq: int, ack: int, data: bytes) -> bytes:
    head = HEAD.pack(seq, ack, 0, dport, sport, src, dst, flags, 0, len(data))
    total = zlib.crc32(head + data) | 1
    return HEAD.pack(seq, ack, total, dport, sport, src, dst, flags, 0, len(data)) + data


def number(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address))


class Target(asyncio.DatagramProtocol):
    """A target: answers one request a flow, and tells the store of itself."""

    _starts = itertools.count(1)

    def __init__(self, store: Store, record: Record, host: str, service: str, zone: str) -> None:
        self._store, self._record, self._host = store, record, host
        self._zone, self._service = zone, service
        self.id = f"i-{random.randrange(16**8):08x}-{next(self._starts)}"
        self.born = int(time.time() * 1000)
        self.phase = "ready"
        self.runs = 0
        self._sequence = 0
        self._flows: dict[tuple, dict] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._beating: asyncio.Task | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, APP)
        )
        self._beating = asyncio.create_task(self._beat())
        self._record.write(f"target {self.id}: started on {self._host}, born {self.born}")

    def report(self) -> None:
        """Tell the store of itself."""
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": f"{self._host}:{APP}",
            "zone": self._zone,
            "version": "v1",
            "capacity": 4,
            "phase": self.phase,
            "warmup_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        self._store.beat(f"servers/{self.id}", entry)

    def drain(self) -> None:
        self.phase = "draining"
        self.report()
        self._record.write(f"target {self.id}: draining")

    def crash(self) -> None:
        """End at once, and say nothing."""
        self._end()
        self._record.write(f"target {self.id}: lost power")

    def leave(self) -> None:
        """End as planned: the entry goes with it."""
        self._end()
        self._store.remove(f"servers/{self.id}", "its target has left")
        self._record.write(f"target {self.id}: left")

    def _end(self) -> None:
        if self._beating is not None and self._transport is not None:
            self._beating.cancel()
            self._transport.close()

    async def _beat(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        packet = parse(data)
        if packet is None or packet["flags"] & BOUNCED:
            return
        key = tuple(packet[each] for each in ("src", "sport", "dst", "dport"))
        flow = self._flows.get(key)
        if packet["flags"] & SYN:
            if flow is None:
                flow = self._flows[key] = {"seq": random.randrange(2**32), "answer": None}
                flow["expected"] = (packet["seq"] + 1) % 2**32
            self._send(key, SYN | ACK, flow["seq"], flow["expected"], b"")
            return
        if flow is None:
            bounced = bytearray(data)
            bounced[24] |= BOUNCED
            self._transport.sendto(bytes(bounced), (self._host, OUTBOUND))
            return
        if packet["flags"] & RST:
            del self._flows[key]
            return
        first = (flow["seq"] + 1) % 2**32
        if packet["data"] and packet["seq"] == flow["expected"]:
            flow["expected"] = (flow["expected"] + len(packet["data"])) % 2**32
            self.runs += 1
            name = re.search(rb"Attempt-Id: (\S+)", packet["data"])[1].decode()
            self._record.write(f"target {self.id}: runs {name}")
            body = f"answer to {name}".encode()
            lines = f"HTTP/1.1 200 OK\r\nServer-Signature: {self.id}\r\n"
            flow["answer"] = f"{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body
        if flow["answer"] is not None and packet["data"]:
            self._send(key, ACK, first, flow["expected"], flow["answer"])
        elif packet["flags"] & FIN:
            end = (first + len(flow["answer"] or b"")) % 2**32
            expected = (packet["seq"] + 1) % 2**32
            self._send(key, FIN | ACK, end, expected, b"")

    def _send(self, key: tuple, flags: int, seq: int, ack: int, data: bytes) -> None:
        src, sport, dst, dport = key
        packet = build(dst, dport, src, sport, flags, seq, ack, data)
        self._transport.sendto(packet, (self._host, OUTBOUND))


class Process:
    """A program of the deploy file on one machine."""

    def __init__(self, folder: Path, fields: dict[str, str], role: str, record: Record) -> None:
        deployment = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self._role = deployment["roles"][role]
        self._fields, self._record = fields, record
        self._path = folder / f"{fields['node_name']}.ini"
        self._log = (folder / f"{fields['node_name']}.log").open("ab")
        self.host = fields["ip"]
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, is_first: bool) -> None:
        template = (ROOT / self._role["template"]).read_text(encoding="utf-8")
        fields = {**self._fields, "bootstrap": str(is_first).lower()}
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda match: fields.get(match[1], ""), template)
        self._path.write_text(text, encoding="utf-8")
        passed = {each: os.environ[each] for each in ("PATH", "HOME", "LANG") if each in os.environ}
        self._process = await asyncio.create_subprocess_exec(
            *self._role["run"].split(),
            cwd=ROOT,
            env={
                **passed,
                "EGRETSILL_BOOT": str(self._path),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.write(f"process {self._fields['node_name']}: started")

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def stop(self, number: signal.Signals) -> None:
        if self._process is not None and self.is_running:
            self._process.send_signal(number)
            await self._process.wait()
        self._record.write(f"process {self._fields['node_name']}: ended by {number.name}")


class Router:
    """Probes the balancers' health, and chooses the balancer of each packet by a hash."""

    def __init__(self, hosts: list[str]) -> None:
        self._hosts = hosts
        self._misses = dict.fromkeys(hosts, 2)

    async def run(self) -> None:
        while True:
            await asyncio.gather(*(self._probe(each) for each in self._hosts))
            await asyncio.sleep(0.5)

    def choose(self, key: tuple) -> str:
        ready = [each for each in self._hosts if self._misses[each] < 2]
        usable = ready if 2 * len(ready) >= len(self._hosts) else self._hosts
        return usable[zlib.crc32(repr(key).encode()) % len(usable)]

    @property
    def all_ready(self) -> bool:
        return not any(self._misses.values())

    async def _probe(self, host: str) -> None:
        self._misses[host] += 1
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(host, HEALTH)
                writer.write(f"GET /health HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
                status = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return
        if status.split()[1:2] == [b"200"]:
            self._misses[host] = 0


class Client(asyncio.DatagramProtocol):
    """A client that opens a flow for each request, and retries after any failure."""

    def __init__(self, host: str, service: tuple[str, int], router: Router, record: Record) -> None:
        self._host, self._service, self._router, self._record = host, service, router, record
        self._ports = itertools.count(random.randrange(2000, 9000))
        self._transport: asyncio.DatagramTransport | None = None
        self._waiting: dict[int, asyncio.Queue] = {}
        self.outcomes: list[tuple[float, bool]] = []

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, PACKETS)
        )

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        packet = parse(data)
        if packet is not None and packet["dport"] in self._waiting:
            self._waiting[packet["dport"]].put_nowait(packet)

    async def request(self, name: str, limit_s: float = 4.0, retries: int = 2) -> bool:
        """Send a request, and return whether it was answered with success."""
        sent_at = time.monotonic()
        served = False
        for attempt in range(1 + retries):
            left = limit_s - (time.monotonic() - sent_at)
            if left <= 0:
                break
            ending = "time limit"
            try:
                async with asyncio.timeout(left):
                    ending = await self._attempt(f"{name}-{attempt}")
            except TimeoutError:
                pass
            self._record.write(f"client: {name}-{attempt} {ending}")
            if ending == "served":
                served = True
                break
            await asyncio.sleep(0.1)
        self.outcomes.append((sent_at, served))
        return served

    async def _attempt(self, name: str) -> str:
        port = next(self._ports)
        queue = self._waiting[port] = asyncio.Queue()
        try:
            return await self._exchange(name, port, queue)
        finally:
            del self._waiting[port]

    async def _exchange(self, name: str, port: int, queue: asyncio.Queue) -> str:
        seq = random.randrange(2**32)
        self._record.write(f"client: sends {name} from port {port}")
        opened = None
        started = time.monotonic()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self._send(port, SYN, seq, copy, b"")
            opened = await _next(queue, started + until - time.monotonic())
            if opened is not None:
                break
        if opened is None:
            return "no SYN+ACK"
        if opened["flags"] & RST:
            return "reset before the flow was open"
        ack, seq = (opened["seq"] + 1) % 2**32, (seq + 1) % 2**32
        data = f"GET /{name} HTTP/1.1\r\nHost: x\r\nAttempt-Id: {name}\r\n\r\n".encode()
        wait = 0.2
        while True:
            self._send(port, ACK, seq, ack, data)
            answer = await _next(queue, wait, lambda each: each["data"] or each["flags"] & RST)
            wait = min(2 * wait, 1.6)
            if answer is None:
                continue
            if answer["flags"] & RST:
                return "reset on the open flow"
            is_own = answer["data"].endswith(f"answer to {name}".encode())
            if not is_own or b"Server-Signature" not in answer["data"]:
                return "foreign answer"
            end = (seq + len(data)) % 2**32
            self._send(port, FIN | ACK, end, (ack + len(answer["data"])) % 2**32, b"")
            await _next(queue, 0.2, lambda each: each["flags"] & FIN)
            return "served"

    def _send(self, port: int, flags: int, seq: int, ack: int, data: bytes) -> None:
        host, service_port = self._service
        key = (self._host, port, host, service_port)
        packet = build(number(self._host), port, number(host), service_port, flags, seq, ack, data)
        self._transport.sendto(packet, (self._router.choose(key), PACKETS))


async def _next(queue: asyncio.Queue, seconds: float, wanted=lambda _: True) -> dict | None:
    """Return the next wanted packet, None if there is none in time."""
    try:
        async with asyncio.timeout(max(seconds, 0)):
            while True:
                packet = await queue.get()
                if wanted(packet):
                    return packet
    except TimeoutError:
        return None


def machine_fields(name: str, host: str, zone: str, store: str, seeds: list[str]) -> dict[str, str]:
    """Return the platform's fields for the settings of a machine."""
    return {
        "node_name": name,
        "ip": host,
        "zone": zone,
        "bind_addresses.datagram_address": f"{host}:{PACKETS}",
        "bind_addresses.ready": f"{host}:{HEALTH}",
        "bind_addresses.outbound": f"{host}:{OUTBOUND}",
        "app": f"{host}:{APP}",
        "port_range.0": str(FIRST),
        "port_range.1": str(LAST),
        "platform.address": f"{store}:{STORE}",
        "seed_nodes": ",".join(f"{each}:{CONTROL}" for each in seeds),
        "bounds.flow_ttl_s": "60",
        "bounds.grace_period_s": "6",
    }
