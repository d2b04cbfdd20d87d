"""Stand-in for the platform's metadata store (PROTOCOL.md), over HTTP/1.1."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Store:
    """Items with their revisions, and the history of changes."""

    def __init__(self) -> None:
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.calls = 0

    def put(self, key: str, value: bytes | dict) -> int:
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        created = self._items.get(key, {}).get("created_revision", self._revision)
        item = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self._revision,
            "created_revision": created,
            "lease_id": 0,
        }
        self._items[key] = item
        self._note(item)
        return self._revision

    def remove(self, key: str) -> None:
        self._revision += 1
        del self._items[key]
        self._note({"key": key, "revision": self._revision, "compacted": True})

    def _note(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self._answer(target)
                self.calls += 1
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, bytes]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix, after = query.get("prefix", ""), query.get("after", "")
        if parts.path == "/api/kv-range":
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            items = [self._items[key] for key in keys[:PAGE_ITEMS]]
            page = {"items": items, "has_more": len(keys) > PAGE_ITEMS, "at": self._revision}
            return 200, json.dumps(page).encode()
        if parts.path == "/api/kv-watch":
            wait_s = int(query["wait_timeout_ms"]) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    while not self._events_after(prefix, int(after)):
                        await self._changed.wait()
            except TimeoutError:
                pass
            found = self._events_after(prefix, int(after))
            return 200, json.dumps({"events": found, "at": self._revision}).encode()
        if parts.path == "/api/kv-key" and query.get("key") in self._items:
            return 200, json.dumps({**self._items[query["key"]], "at": self._revision}).encode()
        return 404, b"{}"

    def _events_after(self, prefix: str, revision: int) -> list[dict]:
        return [
            each
            for each in self._events
            if each["revision"] > revision and each["key"].startswith(prefix)
        ]
