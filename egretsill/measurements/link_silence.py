"""Measures how soon relay links and backend connections that drop all data are detected.

Time is virtual; the carriers are in memory except for the backend server, which is on loopback.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import trio

from ..admission import Admission
from ..configuration import Address, Limits
from ..outcomes import Outcome, Unknown
from ..requests import BackendClient, Bounds, NullObserver, RequestHead, RequestService
from ..requests._gate import Gate
from ..requests._gate_runner import LINK_SILENCE_SECONDS, GateRunner
from ..requests._message_link import LinkBroken
from ..requests._messages import RelayMessage
from ..requests._ping_schedule import (
    ACTIVE_PING_SECONDS,
    ANSWER_SECONDS,
    MINIMUM_IDLE_PING_SECONDS,
)
from ..requests._requester_link import RequesterLink
from ..stand_ins.backend_server import BackendBehaviour, BackendServer, Fault
from ..supervision import PropagatingSupervisor
from ..timing import VirtualTimerService
from ._measurement import Measurement
from ._relay_parties import ORDER, RotatingPlacement, make_world_service

HOST = "127.0.0.1"
STEP_SECONDS = 0.25
CHECKPOINTS_A_STEP = 30
LONGEST_SECONDS = 120.0
BACKEND_SILENCE_SECONDS = 30.0
QUIET_SECONDS = 60.5
CHANNEL_MESSAGES = 16


def measure() -> Sequence[Measurement]:
    """Return the seconds from the last received data until silence was detected, with bounds."""
    requester, gate = trio.run(_measure_silent_link, True)
    quiet_requester, quiet_gate = trio.run(_measure_silent_link, False)
    slot, outcome = trio.run(_measure_silent_backend)
    reported_unknown = float(isinstance(outcome, Unknown))
    kept_open = trio.run(_measure_quiet_link)
    return [
        _line(
            "relay link in use, noticed by the asker",
            requester,
            ACTIVE_PING_SECONDS + ANSWER_SECONDS,
        ),
        _line(
            "relay link in use, noticed by the gate",
            gate,
            ACTIVE_PING_SECONDS + LINK_SILENCE_SECONDS,
        ),
        _line(
            "quiet relay link, noticed by the asker",
            quiet_requester,
            MINIMUM_IDLE_PING_SECONDS + ANSWER_SECONDS,
        ),
        _line(
            "quiet relay link, noticed by the gate",
            quiet_gate,
            MINIMUM_IDLE_PING_SECONDS + LINK_SILENCE_SECONDS,
        ),
        _line("backend connection, slot freed", slot, BACKEND_SILENCE_SECONDS),
        Measurement(
            "silence",
            "backend connection, told as unknown",
            reported_unknown,
            1.0,
            None,
            reported_unknown == 1.0,
        ),
        Measurement(
            "silence", "quiet link kept that answers pings", kept_open, 1.0, None, kept_open == 1.0
        ),
    ]


def _line(case: str, seconds: float, bound: float) -> Measurement:
    # The last received data may be up to one step older than the start of the silence.
    target = bound + STEP_SECONDS
    return Measurement("silence", case, seconds, target, None, seconds <= target)


@dataclass(slots=True)
class _SwallowingLink:
    """A carrier that drops all messages while `swallowing` is set."""

    sender: trio.MemorySendChannel[RelayMessage]
    receiver: trio.MemoryReceiveChannel[RelayMessage]
    swallowing: bool = False

    async def send(self, message: RelayMessage) -> None:
        if not self.swallowing:
            await self.sender.send(message)

    async def receive(self) -> RelayMessage:
        try:
            return await self.receiver.receive()
        except trio.EndOfChannel as error:
            raise LinkBroken(False) from error

    async def close(self) -> None:
        if not self.swallowing:
            self.sender.close()


@dataclass(slots=True)
class _LinkEnds:
    """The two ends of a link that may become silent."""

    timer: VirtualTimerService
    requester: RequesterLink
    carriers: tuple[_SwallowingLink, _SwallowingLink]
    over: dict[str, float] = field(default_factory=dict)

    async def run_requester(self) -> None:
        await self.requester.run()
        self.over["requester"] = self.timer.now

    async def run_gate(self, runner: GateRunner) -> None:
        await runner.serve_link(self.carriers[1])
        self.over["gate"] = self.timer.now


def _make_link_ends() -> tuple[_LinkEnds, GateRunner]:
    timer = VirtualTimerService()
    service = make_world_service(1)
    gate = Gate(1, "catalog", {"catalog": service}.get, Admission(2, 2, Limits(), Random(0)))
    nowhere = Address(HOST, 9)
    client = BackendClient(nowhere, timer)
    runner = GateRunner(gate, timer, client, NullObserver(), PropagatingSupervisor())
    to_gate, from_requester = trio.open_memory_channel[RelayMessage](CHANNEL_MESSAGES)
    to_requester, from_gate = trio.open_memory_channel[RelayMessage](CHANNEL_MESSAGES)
    carriers = (_SwallowingLink(to_gate, from_gate), _SwallowingLink(to_requester, from_requester))
    requester = RequesterLink(
        1,
        nowhere,
        carriers[0],
        timer,
        NullObserver(),
        lambda: MINIMUM_IDLE_PING_SECONDS,
        lambda _: None,
    )
    return _LinkEnds(timer, requester, carriers), runner


async def _measure_silent_link(active: bool) -> tuple[float, float]:
    ends, runner = _make_link_ends()
    ends.requester.set_active(active)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.run_requester)
        nursery.start_soon(ends.run_gate, runner)
        await _advance_until(ends.timer, lambda: ends.timer.now >= QUIET_SECONDS)
        for carrier in ends.carriers:
            carrier.swallowing = True
        await _advance_until(ends.timer, lambda: len(ends.over) == 2)
    return ends.over["requester"] - QUIET_SECONDS, ends.over["gate"] - QUIET_SECONDS


async def _measure_quiet_link() -> float:
    ends, runner = _make_link_ends()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.run_requester)
        nursery.start_soon(ends.run_gate, runner)
        await _advance_until(ends.timer, lambda: ends.timer.now >= QUIET_SECONDS)
        kept = ends.requester.usable and not ends.over
        nursery.cancel_scope.cancel()
    return float(kept)


async def _measure_silent_backend() -> tuple[float, Outcome | None]:
    timer = VirtualTimerService()
    admission = Admission(1, 1, Limits(), Random(0))
    server = BackendServer("catalog", BackendBehaviour(fault=Fault.SWALLOW))
    caller = _Caller()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.serve, HOST, 0)
        bounds = Bounds(silence_seconds=BACKEND_SILENCE_SECONDS)
        service = RequestService(
            1,
            "catalog",
            1,
            timer,
            {"catalog": make_world_service(1)}.get,
            admission,
            RotatingPlacement(1, 0),
            BackendClient(Address(HOST, port), timer, bounds),
            PropagatingSupervisor(),
        )
        await nursery.start(service.run)
        nursery.start_soon(service.serve, caller)
        while not server.counts.starts_by_method:
            await trio.sleep(0.001)
        began = timer.now
        await _advance_until(timer, lambda: not admission.running)
        seconds = timer.now - began
        await _advance_until(timer, lambda: caller.outcome is not None)
        nursery.cancel_scope.cancel()
    return seconds, caller.outcome


async def _advance_until(timer: VirtualTimerService, done: Callable[[], bool]) -> None:
    """Advance virtual time in steps until `done`, and let the tasks run after each."""
    end = timer.now + LONGEST_SECONDS
    while not done() and timer.now < end:
        timer.advance(STEP_SECONDS)
        for _ in range(CHECKPOINTS_A_STEP):
            await trio.sleep(0)


class _Caller:
    """A caller of one order without a body."""

    def __init__(self) -> None:
        self.outcome: Outcome | None = None

    @property
    def head(self) -> RequestHead:
        return RequestHead("catalog", ORDER.methods[0], "/", (), None)

    @property
    def answer_begun(self) -> bool:
        return False

    async def receive_body(self) -> bytes | None:
        await trio.sleep(0)
        return None

    async def send_head(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        await trio.sleep(0)

    async def send_data(self, data: bytes) -> None:
        await trio.sleep(0)

    async def conclude(self, outcome: Outcome) -> None:
        self.outcome = outcome
