"""Callers of the two users: subscriptions, look-ups, orders and uploads."""

from __future__ import annotations

import hashlib
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import trio

from ..caller import Caller, FlowNotOpened, Reply, open_caller
from ..configuration import Service
from ..outcomes import RefusalReason, Refused
from ._score import Score

MARKER_HEADER = b"x-request-marker"
INTENDED_HEADER = b"x-intended-service"
WEIGHT_HEADER = b"x-weight"
TRIES_AFTER_REFUSAL = 6
UPLOAD_PIECE_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What one caller keeps asking for.

    Attributes:
        path: may hold `{}` for a running number.
        weight: how heavy the backend server should find it.
        once: whether it must run at most once.
    """

    method: str
    path: str
    weight: int
    once: bool
    body: bytes = b""


class Traffic:
    """Makes callers and scores what they get.

    Args:
        authorities_file: what callers trust.
        keep_going: returns whether callers should ask again.
    """

    def __init__(
        self, authorities_file: Path, score: Score, keep_going: Callable[[], bool]
    ) -> None:
        self._authorities_file = authorities_file
        self._score = score
        self._keep_going = keep_going
        self._markers = itertools.count(1)

    async def ask_repeatedly(
        self, service: Service, kind: RequestKind, pause_seconds: float
    ) -> None:
        """Send requests of one kind, one after the other, for as long as the run goes."""
        address = service.addresses[0]
        async with open_caller(address, service.authority, self._authorities_file) as caller:
            while self._keep_going():
                await self._ask(caller, service, kind)
                await trio.sleep(pause_seconds)
            self._score.flows_opened += caller.flows_opened

    async def upload_slowly(
        self, service: Service, path: str, pieces: int, pause_seconds: float
    ) -> None:
        """Send one large upload in pieces and check the digest in its answer."""
        marker = self._next_marker(service.name, once=True)
        digest = hashlib.sha256()
        address = service.addresses[0]
        self._score.requests += 1
        async with open_caller(address, service.authority, self._authorities_file) as caller:
            call = await caller.start("POST", path, headers=_headers(service, marker, 1), end=False)
            for number in range(pieces):
                piece = bytes([number % 256]) * UPLOAD_PIECE_BYTES
                digest.update(piece)
                await call.send_data(piece, end=number == pieces - 1)
                await trio.sleep(pause_seconds)
            reply = await call.collect()
            answer = _parse(reply.body)
            whole = answer.get("digest") == digest.hexdigest()
            self._record(reply, marker, whole and answer.get("marker") == marker, once=True)
            self._score.flows_opened += caller.flows_opened

    async def subscribe(self, service: Service, path: str) -> None:
        """Hold a subscription to the end of the run; every revision must come, in order."""
        self._score.requests += 1
        address = service.addresses[0]
        async with open_caller(address, service.authority, self._authorities_file) as caller:
            marker = self._next_marker(service.name, once=False)
            call = await caller.start("GET", path, headers=_headers(service, marker, 1))
            revisions = _Revisions()
            while self._keep_going():
                with trio.move_on_after(1.0):
                    data = await call.receive_data()
                    if data is None:
                        break
                    revisions.feed(data)
            self._score.flows_opened += caller.flows_opened
            if call.outcome is not None or not revisions.contiguous:
                self._score.broken_flows += 1
                self._score.outcomes[f"subscription ended: {call.outcome}"] += 1
                return
            call.cancel()
            self._score.whole_answers += 1
            self._score.outcomes["subscription whole"] += 1

    async def _ask(self, caller: Caller, service: Service, kind: RequestKind) -> None:
        self._score.requests += 1
        for _ in range(TRIES_AFTER_REFUSAL):
            marker = self._next_marker(service.name, kind.once)
            reply = await self._try(caller, service, kind, marker)
            match reply.outcome:
                case Refused(retry_after_seconds=seconds):
                    self._score.refused_markers.add(marker)
                    self._score.repeats += 1
                    await trio.sleep(min(seconds, 1.0))
                case _:
                    own = _parse(reply.body).get("marker") == marker
                    self._record(reply, marker, own, kind.once)
                    return
        self._score.record(reply, own=False)

    async def _try(self, caller: Caller, service: Service, kind: RequestKind, marker: str) -> Reply:
        headers = _headers(service, marker, kind.weight)
        path = kind.path.format(marker)
        try:
            return await caller.call(kind.method, path, headers=headers, body=kind.body)
        except FlowNotOpened:
            return Reply(Refused(RefusalReason.FLOW_NOT_OPENED), None, {}, b"")

    def _record(self, reply: Reply, marker: str, own: bool, once: bool) -> None:
        if isinstance(reply.outcome, Refused):
            self._score.refused_markers.add(marker)
        self._score.record(reply, own)

    def _next_marker(self, service: str, once: bool) -> str:
        marker = f"{service}-{next(self._markers)}"
        if once:
            self._score.run_markers.add(marker)
        return marker


class _Revisions:
    """Checks that the lines of a subscription count on without a gap."""

    def __init__(self) -> None:
        self._rest = b""
        self._last: int | None = None
        self.contiguous = True

    def feed(self, data: bytes) -> None:
        """Take a piece of the stream."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if line:
                self._take(int(json.loads(line)["revision"]))

    def _take(self, revision: int) -> None:
        if self._last is not None and revision != self._last + 1:
            self.contiguous = False
        self._last = revision


def _headers(service: Service, marker: str, weight: int) -> list[tuple[bytes, bytes]]:
    return [
        (MARKER_HEADER, marker.encode()),
        (INTENDED_HEADER, service.name.encode()),
        (WEIGHT_HEADER, str(weight).encode()),
    ]


def _parse(body: bytes) -> dict[str, object]:
    try:
        answer = json.loads(body)
    except ValueError:
        return {}
    return answer if isinstance(answer, dict) else {}
