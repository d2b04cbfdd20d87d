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
MAXIMUM_TRIES = 6
UPLOAD_PIECE_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request that a caller sends repeatedly.

    Attributes:
        path: may contain `{}`, which is replaced by the request marker.
        weight: scales the service time at the backend server.
        at_most_once: whether each request must run at most once.
    """

    method: str
    path: str
    weight: int
    at_most_once: bool
    body: bytes = b""


class Traffic:
    """Runs callers and records their results.

    Args:
        authorities_file: certificate authorities that callers trust.
        keep_going: returns whether callers should send further requests.
    """

    def __init__(
        self, authorities_file: Path, score: Score, keep_going: Callable[[], bool]
    ) -> None:
        self._authorities_file = authorities_file
        self._score = score
        self._keep_going = keep_going
        self._markers = itertools.count(1)

    async def send_repeatedly(
        self, service: Service, kind: RequestKind, pause_seconds: float
    ) -> None:
        """Send requests of one kind, one after the other, until the run ends."""
        address = service.addresses[0]
        async with open_caller(address, service.authority, self._authorities_file) as caller:
            while self._keep_going():
                await self._send_with_retries(caller, service, kind)
                await trio.sleep(pause_seconds)
            self._score.flows_opened += caller.flows_opened

    async def upload_slowly(
        self, service: Service, path: str, pieces: int, pause_seconds: float
    ) -> None:
        """Send one large upload in pieces and check the digest in its answer."""
        marker = self._next_marker(service.name, at_most_once=True)
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
            answer = _parse_json_object(reply.body)
            digest_matches = answer.get("digest") == digest.hexdigest()
            self._record(
                reply, marker, digest_matches and answer.get("marker") == marker, at_most_once=True
            )
            self._score.flows_opened += caller.flows_opened

    async def subscribe(self, service: Service, path: str) -> None:
        """Hold a subscription until the run ends; every revision must arrive, in order."""
        self._score.requests += 1
        address = service.addresses[0]
        async with open_caller(address, service.authority, self._authorities_file) as caller:
            marker = self._next_marker(service.name, at_most_once=False)
            call = await caller.start("GET", path, headers=_headers(service, marker, 1))
            revisions = _RevisionChecker()
            while self._keep_going():
                with trio.move_on_after(1.0):
                    data = await call.receive_data()
                    if data is None:
                        break
                    revisions.add_data(data)
            self._score.flows_opened += caller.flows_opened
            if call.outcome is not None or not revisions.contiguous:
                self._score.broken_flows += 1
                self._score.outcomes[f"subscription ended: {call.outcome}"] += 1
                return
            call.cancel()
            self._score.whole_answers += 1
            self._score.outcomes["subscription whole"] += 1

    async def _send_with_retries(self, caller: Caller, service: Service, kind: RequestKind) -> None:
        self._score.requests += 1
        for _ in range(MAXIMUM_TRIES):
            marker = self._next_marker(service.name, kind.at_most_once)
            reply = await self._send_once(caller, service, kind, marker)
            match reply.outcome:
                case Refused(retry_after_seconds=seconds):
                    self._score.refused_markers.add(marker)
                    self._score.repeats += 1
                    await trio.sleep(min(seconds, 1.0))
                case _:
                    own = _parse_json_object(reply.body).get("marker") == marker
                    self._record(reply, marker, own, kind.at_most_once)
                    return
        self._score.record(reply, own=False)

    async def _send_once(
        self, caller: Caller, service: Service, kind: RequestKind, marker: str
    ) -> Reply:
        headers = _headers(service, marker, kind.weight)
        path = kind.path.format(marker)
        try:
            return await caller.call(kind.method, path, headers=headers, body=kind.body)
        except FlowNotOpened:
            return Reply(Refused(RefusalReason.FLOW_NOT_OPENED), None, {}, b"")

    def _record(self, reply: Reply, marker: str, own: bool, at_most_once: bool) -> None:
        if isinstance(reply.outcome, Refused):
            self._score.refused_markers.add(marker)
        self._score.record(reply, own)

    def _next_marker(self, service: str, at_most_once: bool) -> str:
        marker = f"{service}-{next(self._markers)}"
        if at_most_once:
            self._score.run_markers.add(marker)
        return marker


class _RevisionChecker:
    """Checks that the revisions of a subscription are consecutive."""

    def __init__(self) -> None:
        self._incomplete_line = b""
        self._last: int | None = None
        self.contiguous = True

    def add_data(self, data: bytes) -> None:
        """Process received data; an incomplete last line is kept for the next call."""
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        for line in lines:
            if line:
                self._check_revision(int(json.loads(line)["revision"]))

    def _check_revision(self, revision: int) -> None:
        if self._last is not None and revision != self._last + 1:
            self.contiguous = False
        self._last = revision


def _headers(service: Service, marker: str, weight: int) -> list[tuple[bytes, bytes]]:
    return [
        (MARKER_HEADER, marker.encode()),
        (INTENDED_HEADER, service.name.encode()),
        (WEIGHT_HEADER, str(weight).encode()),
    ]


def _parse_json_object(body: bytes) -> dict[str, object]:
    try:
        answer = json.loads(body)
    except ValueError:
        return {}
    return answer if isinstance(answer, dict) else {}
