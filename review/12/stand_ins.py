"""Stand-ins of the platform's store, of targets and of clients, and the processes under test.

Standard library only. All addresses are loopback addresses of one drawn network 127.x.y.0.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEAD = struct.Struct(">IIIHHIIBIH")
RST, BOUNCED, ACK, SYN, FIN = 1, 8, 16, 32, 64
KEY = b"a key that the system isn't told"
BOUNDS = {
    "seed_staleness_s": 3,
    "address_reuse_s": 2,
    "stable_window_ms": 4000,
    "ack_timeout_ms": 5000,
    "sync_s": 4,
    "drain_timeout_ms": 3000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_skew_ms": 12000,
    "recovery_s": 12,
    "reorder_window_ms": 2000,
    "flow_ttl_s": 60,
}


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


def number_of(host: str) -> int:
    return struct.unpack(">I", socket.inet_aton(host))[0]


def host_of(number: int) -> str:
    return socket.inet_ntoa(struct.pack(">I", number))


def make_packet(src, sport, dst, dport, flags, seq, ack, data=b"") -> bytes:
    fields = struct.pack(">IIHHIIBH", seq, ack, dport, sport, src, dst, flags, len(data))
    total = zlib.crc32(KEY + fields + data)
    return HEAD.pack(seq, ack, total, dport, sport, src, dst, flags, 0, len(data)) + data


class Packet:
    """A packet as it was received."""

    def __init__(self, datagram: bytes) -> None:
        (
            self.seq,
            self.ack,
            self.sum,
            self.dport,
            self.sport,
            self.src,
            self.dst,
            self.flags,
            self.echo,
            length,
        ) = HEAD.unpack_from(datagram)
        self.data = datagram[HEAD.size :]
        self.is_whole = len(self.data) == length

    @property
    def is_valid(self) -> bool:
        """Return whether the sum is the sender's."""
        fields = struct.pack(
            ">IIHHIIBH",
            self.seq,
            self.ack,
            self.dport,
            self.sport,
            self.src,
            self.dst,
            self.flags & ~BOUNCED,
            len(self.data),
        )
        return self.is_whole and self.sum == zlib.crc32(KEY + fields + self.data)


class Store:
    """The platform's store: items, their history, reads and watches, at one or more addresses."""

    def __init__(self, record: Record) -> None:
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self._changed = asyncio.Event()
        self._record = record
        self._servers: dict[tuple[str, int], asyncio.AbstractServer] = {}
        self._writers: dict[tuple[str, int], set[asyncio.StreamWriter]] = {}
        self.calls: dict[tuple[str, int], int] = {}

    def put(self, key: str, value: object) -> None:
        self.revision += 1
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "key": key,
            "value": raw,
            "revision": self.revision,
            "created_revision": self.items.get(key, {}).get("created_revision", self.revision),
            "lease_id": 0,
        }
        self.items[key] = item
        self._append(item)

    def delete(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self._append({"key": key, "revision": self.revision, "compacted": True})

    def _append(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def listen(self, host: str, port: int) -> None:
        address = (host, port)
        self._writers[address] = set()
        self.calls[address] = 0
        self._servers[address] = await asyncio.start_server(
            lambda reader, writer: self._serve(address, reader, writer), host, port
        )

    async def close(self, host: str, port: int) -> None:
        """Stop serving an address, with its open connections."""
        address = (host, port)
        self._servers.pop(address).close()
        for writer in list(self._writers[address]):
            writer.transport.abort()

    async def _serve(self, address, reader, writer) -> None:
        self._writers[address].add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                self.calls[address] += 1
                status, body = await self._answer(target)
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers[address].discard(writer)
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        if url.path == "/api/kv-range":
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > query.get("after", "")
            )
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "at": self.revision}
        if url.path == "/api/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if url.path == "/api/kv-watch":
            after = int(query["after"])
            end = time.monotonic() + int(query["wait_timeout_ms"]) / 1000
            while True:
                found = [
                    e
                    for e in self.events
                    if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at": self.revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    pass
        return 404, {}


class Target(asyncio.DatagramProtocol):
    """A target: opens flows, runs one request a flow, and reports to the store."""

    def __init__(self, fleet, name: str, host: str, service: str, zone: str) -> None:
        self.fleet, self.name, self.host, self.service, self.zone = fleet, name, host, service, zone
        self.flows: dict[tuple, dict] = {}
        self.phase = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)

    def connection_made(self, transport) -> None:
        self.transport = transport

    def report(self) -> None:
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.fleet.ports['target']}",
            "zone": self.zone,
            "version": "v1",
            "capacity": 4,
            "phase": self.phase,
            "warmup_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.fleet.store.put(f"servers/{self.name}", entry)

    def send(self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        datagram = make_packet(
            packet.dst, packet.dport, packet.src, packet.sport, flags, seq, ack, data
        )
        self.transport.sendto(datagram, (self.host, self.fleet.ports["outbound"]))

    def datagram_received(self, datagram: bytes, address) -> None:
        packet = Packet(datagram)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if not packet.is_valid:
            self.fleet.record.write(f"target {self.name} got a packet that nobody wrote: {key}")
            self.fleet.forged += 1
            return
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["isn"] != (packet.seq + 1) % 2**32:
                flow = {"seq": random.getrandbits(32), "peer": (packet.seq + 1) % 2**32, "ended": False}
                flow["isn"] = flow["peer"]
                flow["next"] = (flow["seq"] + 1) % 2**32
                self.flows[key] = flow
            self.send(packet, SYN | ACK, flow["seq"], flow["isn"])
            return
        if flow is not None and flow["ended"] and packet.data:
            self.send(packet, RST, flow["next"], 0)
            return
        if flow is None or (packet.ack - flow["seq"]) % 2**32 > 100_000:
            bounced = bytearray(datagram)
            bounced[24] |= BOUNCED
            self.transport.sendto(bytes(bounced), (self.host, self.fleet.ports["outbound"]))
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data:
            if packet.seq == flow["peer"] % 2**32:
                request = re.search(rb"Attempt-Id: (\S+)", packet.data)[1].decode()
                self.fleet.note_run(request, self)
                flow["peer"] = (packet.seq + len(packet.data)) % 2**32
                body = f"{self.service} {self.name}".encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                flow["answer"] = (flow["next"], head + body)
                flow["next"] = (flow["next"] + len(head + body)) % 2**32
            number, answer = flow["answer"]
            self.send(packet, ACK, number, flow["peer"], answer)
        elif packet.flags & FIN:
            # A flow that has ended: its FIN packet is answered again, data with RST.
            flow["ended"] = True
            self.send(packet, ACK | FIN, flow["next"], (packet.seq + 1) % 2**32)


class Router:
    """The platform's routers: hash by `mod` over the daemons in rotation, probed twice a second."""

    def __init__(self, fleet, names: list[str]) -> None:
        self.fleet = fleet
        self.names = names
        self.rotation = list(names)
        self._misses = dict.fromkeys(names, 0)

    def balancer_of(self, src: int, sport: int, dst: int, dport: int) -> str:
        names = self.rotation or self.names
        key = struct.pack(">IHIH", src, sport, dst, dport)
        return self.fleet.machines[names[zlib.crc32(key) % len(names)]][1]

    async def run(self) -> None:
        while True:
            answers = await asyncio.gather(*(self.fleet.is_ready(name) for name in self.names))
            for name, is_ready in zip(self.names, answers):
                self._misses[name] = 0 if is_ready else self._misses[name] + 1
            rotation = [name for name in self.names if self._misses[name] < 2]
            if rotation != self.rotation:
                self.rotation = rotation
                self.fleet.record.write(f"in rotation: {rotation}")
            await asyncio.sleep(0.5)


class Flow:
    """A flow that its client keeps open for several requests."""

    def __init__(self, client, port: int, route: tuple[str, int]) -> None:
        self.client, self.port, self.route = client, port, route
        self.src, self.dst = number_of(client.host), number_of(route[0])
        self.queue: asyncio.Queue = asyncio.Queue()
        # RFC 6528: a clock of 4 microseconds, and a hash of both addresses and ports.
        mark = zlib.crc32(struct.pack(">IHIH", self.src, port, self.dst, route[1]) + KEY)
        self.seq = (int(time.time() * 250_000) + mark) % 2**32
        self.theirs = 0
        self.is_open = False
        self.target = ""

    def send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        host = self.client.router.balancer_of(self.src, self.port, self.dst, self.route[1])
        datagram = make_packet(
            self.src, self.port, self.dst, self.route[1], flags, seq % 2**32, ack % 2**32, data
        )
        self.client.transport.sendto(datagram, (host, self.client.fleet.ports["packets"]))

    async def next(self, wait: float) -> Packet | None:
        try:
            return await asyncio.wait_for(self.queue.get(), wait)
        except TimeoutError:
            return None

    async def open(self) -> bool:
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.seq, copy)
            packet = await self.next(wait)
            if packet is not None and packet.flags & SYN:
                self.seq += 1
                self.theirs = packet.seq + 1
                return True
            if packet is not None and packet.flags & RST:
                return False
        return False

    async def ask(self, request: str) -> str:
        """Return `answered`, `reset` or `no answer`."""
        data = f"GET / HTTP/1.1\r\nAttempt-Id: {request}\r\n\r\n".encode()
        for wait in (0.2, 0.4, 0.8, 1.6, 1.0):
            self.send(ACK, self.seq, self.theirs, data)
            end = time.monotonic() + wait
            while (left := end - time.monotonic()) > 0:
                packet = await self.next(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    near = (packet.seq - self.theirs) % 2**32
                    if min(near, 2**32 - near) <= 76_800:
                        return "reset"
                elif packet.data and packet.seq == self.theirs % 2**32:
                    self.seq += len(data)
                    self.theirs += len(packet.data)
                    self.target = packet.data.split(b" ")[-1].decode()
                    self.is_open = True
                    return "answered"
        return "no answer"

    async def close(self) -> None:
        for wait in (0.2, 0.4):
            self.send(ACK | FIN, self.seq, self.theirs)
            packet = await self.next(wait)
            if packet is not None and packet.flags & FIN:
                return


class Client(asyncio.DatagramProtocol):
    """A client with one address, which opens flows from ports that it chooses."""

    def __init__(self, fleet, host: str) -> None:
        self.fleet, self.host = fleet, host
        self.router: Router | None = None
        self._flows: dict[int, Flow] = {}

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, datagram: bytes, address) -> None:
        packet = Packet(datagram)
        flow = self._flows.get(packet.dport)
        if flow is not None:
            flow.queue.put_nowait(packet)

    def flow(self, port: int, route: tuple[str, int]) -> Flow:
        self._flows[port] = Flow(self, port, route)
        return self._flows[port]


class Fleet:
    """A small deployment: balancers, and agents each beside a target, as separate processes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.network = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
        names = ("packets", "ready", "outbound", "target", "metrics", "tunnel", "gossip")
        base = random.randint(12_000, 19_000)
        self.ports = {name: base + index for index, name in enumerate(names)}
        self.ports["store"] = base + 20
        self.store = Store(record)
        self.store_address = (f"{self.network}.200", self.ports["store"])
        self.runs: dict[str, list[Target]] = {}
        self.forged = 0
        self.targets: list[Target] = []
        self.machines: dict[str, tuple[str, str, str, str]] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="egretsill-review-"))
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.version = 0

    def host(self, number: int) -> str:
        return f"{self.network}.{number}"

    def note_run(self, request: str, target: Target) -> None:
        self.runs.setdefault(request, []).append(target)
        self.record.write(f"run {request} by {target.service} at {target.name}")

    def put_config(self, routes: dict[tuple[str, int], str]) -> None:
        self.version += 3
        services = sorted({target.service for target in self.targets})
        config = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{host}-{port}",
                    "host": host,
                    "prefix": f"/{port}/",
                    "type": "idempotent",
                    "timeout_ms": 4000,
                    "aim_ms": 325,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                }
                for (host, port), service in routes.items()
            ],
            "services": [
                {
                    "name": each,
                    "health_path": "/healthz",
                    "max_connections": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for each in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op/config", config)
        self.record.write(f"store confirms configuration {self.version}: {routes}")

    async def add_target(self, name: str, number: int, service: str, zone: str) -> Target:
        loop = asyncio.get_running_loop()
        target = Target(self, name, self.host(number), service, zone)
        await loop.create_datagram_endpoint(
            lambda: target, local_addr=(target.host, self.ports["target"])
        )
        self.targets.append(target)
        target.report()
        return target

    async def add_client(self, number: int) -> Client:
        loop = asyncio.get_running_loop()
        client = Client(self, self.host(number))
        await loop.create_datagram_endpoint(
            lambda: client, local_addr=(client.host, self.ports["packets"])
        )
        return client

    def write_settings(self, name: str, is_first_start: bool = True) -> Path:
        """Render the template of a machine's role, as the platform does."""
        role, host, zone, service = self.machines[name]
        fields = {
            "node_name": name,
            "ip": host,
            "zone": zone,
            "service": service,
            "bootstrap": "true" if is_first_start else "false",
            "app": f"{host}:{self.ports['target']}",
            "bind_addresses.datagram_address": f"{host}:{self.ports['packets']}",
            "bind_addresses.ready": f"{host}:{self.ports['ready']}",
            "bind_addresses.outbound": f"{host}:{self.ports['outbound']}",
            "port_range.0": str(self.ports["tunnel"]),
            "port_range.1": str(self.ports["gossip"]),
            "platform.address": "%s:%d" % self.store_address,
            "seed_nodes": ",".join(f"{self.host(n)}:{self.ports['store'] + 1}" for n in (10, 11)),
            **{f"bounds.{key}": str(value) for key, value in BOUNDS.items()},
        }
        template = (ROOT / self._deploy["roles"][role]["template"]).read_text(encoding="utf-8")
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: fields.get(m[1], ""), template)
        path = self._folder / f"{name}.ini"
        fresh = self._folder / f"{name}.new"
        fresh.write_text(text, encoding="utf-8")
        fresh.replace(path)
        return path

    def start(self, name: str, role: str, number: int, zone: str, service: str = "") -> None:
        self.machines[name] = (role, self.host(number), zone, service)
        self._run(name, is_first_start=True)

    def _run(self, name: str, is_first_start: bool) -> None:
        path = self.write_settings(name, is_first_start)
        role = self.machines[name][0]
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["EGRETSILL_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                shlex.split(self._deploy["roles"][role]["run"]),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self._processes[name].send_signal(number)

    async def roll(self, name: str) -> None:
        """Stop a process as the platform does, and start it again."""
        self.record.write(f"SIGTERM to {name}")
        self.send_signal(name, signal.SIGTERM)
        await self._wait_for_end(name)
        await asyncio.sleep(0.5)
        self._run(name, is_first_start=False)

    async def _wait_for_end(self, name: str) -> None:
        end = time.monotonic() + BOUNDS["grace_period_s"]
        while self._processes[name].poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if self._processes[name].poll() is None:
            self._processes[name].kill()
            self._processes[name].wait()
        self.record.write(f"{name} has ended")

    async def remove(self, name: str, target: Target) -> None:
        """Take a target away: it drains, leaves, and its machine goes after it."""
        target.phase = "draining"
        target.report()
        self.record.write(f"store confirms that {target.name} drains")
        await asyncio.sleep(BOUNDS["drain_timeout_ms"] / 1000 + 0.5)
        target.transport.close()
        self.store.delete(f"servers/{target.name}")
        self.targets.remove(target)
        self.record.write(f"{target.name} has left")
        self.send_signal(name, signal.SIGTERM)
        await self._wait_for_end(name)
        del self._processes[name]
        del self.machines[name]

    def ended(self) -> list[str]:
        return [name for name, each in self._processes.items() if each.poll() is not None]

    def log_of(self, name: str) -> str:
        return (self._folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    async def is_ready(self, name: str) -> bool:
        host = self.machines[name][1]
        try:
            reader, writer = await asyncio.open_connection(host, self.ports["ready"])
            writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self, seconds: float) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await self.is_ready(name) for name in self.machines]):
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self) -> None:
        """End all processes that were started."""
        for each in self._processes.values():
            if each.poll() is None:
                each.send_signal(signal.SIGCONT)
                each.kill()
        for each in self._processes.values():
            each.wait()
