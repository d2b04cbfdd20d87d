"""Tests of the relay between two agents over loopback, with links that break."""

from __future__ import annotations

import hashlib
import json
from dataclasses import replace
from functools import partial

import pytest
import trio

from ...configuration import Address, Target
from ...outcomes import Answered, Outcome, RefusalReason, Refused, Unknown, UnknownReason
from ...stand_ins.backend_server import BackendBehaviour, Fault
from .._gate_runner import LINK_SILENCE_SECONDS
from .._message_link import RELAY_CODEC
from .._messages import Ping
from .._ping_schedule import ACTIVE_PING_SECONDS
from ._fakes import HOST, FakeExchange, make_service, make_target
from ._relay_fleet import Fleet, running_fleet, until

PING = RELAY_CODEC.encode(Ping(ACTIVE_PING_SECONDS))


def _has_lines(caller: FakeExchange, count: int) -> bool:
    return caller.data.count(b"\n") >= count


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        pytest.param("GET", "/entry", [], id="lookup"),
        pytest.param("POST", "/order", [b"12 bolts"], id="order"),
        pytest.param("PUT", "/upload", [bytes(50_000)] * 40, id="upload larger than any window"),
    ],
)
def test_relayed_request_gets_complete_answer(method: str, path: str, body: list[bytes]) -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            for _ in range(3):
                caller = FakeExchange(method, path, body)
                await fleet.requester.serve(caller)
                assert caller.outcome == Answered(200)
                answer = json.loads(caller.data)
                if body:
                    assert answer["digest"] == hashlib.sha256(b"".join(body)).hexdigest()
            assert len(fleet.streams) == 1, "links are reused"
            await until(lambda: fleet.gate.running == 0)

    trio.run(scenario)


@pytest.mark.parametrize(
    ("behaviour", "order", "outcome", "starts"),
    [
        pytest.param(
            BackendBehaviour(shedding=True),
            (2,),
            Refused(RefusalReason.SHEDDING),
            0,
            id="shed and no other target",
        ),
        pytest.param(
            BackendBehaviour(fault=Fault.CUT),
            (2,),
            Unknown(UnknownReason.BACKEND_LOST),
            1,
            id="order with truncated answer",
        ),
        pytest.param(
            BackendBehaviour(), (1, 2), Answered(200), 1, id="unreachable target, then another"
        ),
        pytest.param(
            BackendBehaviour(), (9, 2), Answered(200), 1, id="undeclared target, then another"
        ),
        pytest.param(BackendBehaviour(), (), Refused(RefusalReason.NO_TARGET), 0, id="no target"),
    ],
)
def test_order_is_retried_only_if_not_run(
    behaviour: BackendBehaviour, order: tuple[int, ...], outcome: Outcome, starts: int
) -> None:
    async def scenario() -> None:
        headers = ((b"x-request-marker", b"m"),)
        caller = FakeExchange("POST", "/order", [b"12 bolts"], headers)
        async with running_fleet(behaviour, order) as fleet:
            await fleet.requester.serve(caller)
            assert caller.outcome == outcome
            assert fleet.server.counts.starts["m"] == starts

    trio.run(scenario)


def test_class_unknown_at_gate_is_refused_as_no_target() -> None:
    """Guards against a 404 for a path that only the newest revision declares."""

    async def scenario() -> None:
        caller = FakeExchange("POST", "/order", [b"12 bolts"])
        async with running_fleet() as fleet:
            known = fleet.declared_at_gate["catalog"]
            classes = tuple(each for each in known.classes if each.name != "order")
            fleet.declared_at_gate["catalog"] = replace(known, classes=classes)
            await fleet.requester.serve(caller)
        assert caller.outcome == Refused(RefusalReason.NO_TARGET)

    trio.run(scenario)


def test_answer_is_resumed_on_new_link() -> None:
    async def scenario() -> None:
        caller = FakeExchange("GET", "/subscriptions?from=0&count=6")
        async with running_fleet() as fleet, trio.open_nursery() as nursery:
            nursery.start_soon(fleet.requester.serve, caller)
            for revision in range(1, 7):
                await until(lambda: fleet.server.counts.subscriptions)
                fleet.server.publish()
                await until(partial(_has_lines, caller, revision))
                fleet.break_links()
            await until(lambda: caller.outcome is not None)
        assert caller.outcome == Answered(200)
        revisions = [json.loads(line)["revision"] for line in caller.data.splitlines()]
        assert revisions == [1, 2, 3, 4, 5, 6]
        assert fleet.server.counts.starts_by_method == {"GET": 1}

    trio.run(scenario)


@pytest.mark.parametrize(
    "remaining",
    [
        pytest.param((), id="target no longer declared"),
        pytest.param((make_target(2),), id="declared at another endpoint"),
    ],
)
def test_answer_is_resumed_from_undeclared_target(
    remaining: tuple[Target, ...],
) -> None:
    """Guards against a truncated answer whose gate still runs but is no longer declared."""

    async def scenario() -> None:
        caller = FakeExchange("GET", "/subscriptions?from=0&count=2")
        async with running_fleet() as fleet, trio.open_nursery() as nursery:
            nursery.start_soon(fleet.requester.serve, caller)
            await until(lambda: fleet.server.counts.subscriptions)
            fleet.server.publish()
            await until(partial(_has_lines, caller, 1))
            fleet.declared["catalog"] = make_service(make_target(1), *remaining)
            fleet.break_links()
            fleet.server.publish()
            while caller.outcome is None:
                fleet.timer.advance(0.5)
                await trio.sleep(0.002)
        assert caller.outcome == Answered(200)

    trio.run(scenario)


def test_upload_is_resumed_on_new_link() -> None:
    async def scenario() -> None:
        pieces = [bytes([n]) * 30_000 for n in range(100)]
        caller = FakeExchange("PUT", "/upload", pieces, ((b"x-request-marker", b"u"),))
        async with running_fleet() as fleet, trio.open_nursery() as nursery:
            nursery.start_soon(fleet.requester.serve, caller)
            while caller.outcome is None:
                await until(lambda: fleet.streams or caller.outcome)
                for _ in range(40):
                    await trio.lowlevel.checkpoint()
                if fleet.server.counts.starts["u"]:
                    fleet.break_links()
        assert caller.outcome == Answered(200)
        assert json.loads(caller.data)["digest"] == hashlib.sha256(b"".join(pieces)).hexdigest()
        assert fleet.server.counts.starts["u"] == 1
        assert fleet.broken > 0

    trio.run(scenario)


def test_answer_is_resumed_after_link_goes_silent() -> None:
    async def scenario() -> None:
        step_seconds = 0.5
        caller = FakeExchange("GET", "/subscriptions?from=0&count=1")
        async with running_fleet() as fleet, trio.open_nursery() as nursery:
            relay = _BlackholeProxy(fleet.relay)
            await _insert_proxy(fleet, relay, nursery)
            nursery.start_soon(fleet.requester.serve, caller)
            await until(lambda: fleet.server.counts.subscriptions)
            relay.blackhole_open_connections()
            fleet.server.publish()
            while caller.outcome is None:
                fleet.timer.advance(step_seconds)
                await trio.sleep(0.002)
                assert fleet.timer.now < 20.0
            nursery.cancel_scope.cancel()
        assert caller.outcome == Answered(200)
        assert relay.accepted >= 2

    trio.run(scenario)


@pytest.mark.parametrize("order", [pytest.param((2,), id="relayed"), pytest.param((1,), id="own")])
@pytest.mark.parametrize("way", ["scope", "exchange"])
def test_cancellation_reaches_backend_server(order: tuple[int, ...], way: str) -> None:
    async def scenario() -> None:
        caller = FakeExchange("GET", "/subscriptions?from=0")
        async with running_fleet(order=order, shared=True) as fleet, trio.open_nursery() as nursery:
            nursery.start_soon(fleet.requester.serve, caller)
            await until(lambda: fleet.server.counts.subscriptions and caller.status)
            if way == "scope":
                nursery.cancel_scope.cancel()
            else:
                caller.leave()
                fleet.server.publish()
            with trio.CancelScope(shield=True):
                await until(lambda: fleet.server.counts.cancelled)
                await until(lambda: not fleet.gate.running and not fleet.requester.running)
        assert fleet.server.counts.cancelled == 1

    trio.run(scenario)


def test_slow_caller_does_not_delay_others() -> None:
    async def scenario() -> None:
        slow = FakeExchange("GET", "/subscriptions?from=0")
        slow.stalled = True
        async with running_fleet() as fleet, trio.open_nursery() as nursery:
            nursery.start_soon(fleet.requester.serve, slow)
            await until(lambda: fleet.server.counts.subscriptions)
            for _ in range(50):
                fleet.server.publish()
                caller = FakeExchange("GET", "/entry")
                await fleet.requester.serve(caller)
                assert caller.outcome == Answered(200)
            assert not slow.data
            nursery.cancel_scope.cancel()

    trio.run(scenario)


def test_deadline_cancels_relayed_order() -> None:
    async def scenario() -> None:
        caller = FakeExchange("POST", "/order", [b"x"], deadline=5.0)
        behaviour = BackendBehaviour(fault=Fault.SWALLOW)
        async with running_fleet(behaviour) as fleet, trio.open_nursery() as nursery:
            nursery.start_soon(fleet.requester.serve, caller)
            await until(lambda: fleet.server.counts.starts_by_method)
            fleet.timer.advance(5.0)
            await until(lambda: caller.outcome is not None)
            await until(lambda: fleet.server.counts.cancelled)
            await until(lambda: not fleet.gate.running)
        assert caller.outcome == Unknown(UnknownReason.DEADLINE)

    trio.run(scenario)


@pytest.mark.parametrize("order", [pytest.param((2,), id="relayed"), pytest.param((1,), id="own")])
def test_oversized_body_fails_only_its_request(order: tuple[int, ...]) -> None:
    """Guards against one caller's request terminating the agent and all its flows."""

    async def scenario() -> None:
        too_long = FakeExchange("POST", "/order", [b"12 bolts"], ((b"content-length", b"4"),))
        proper = FakeExchange("POST", "/order", [b"12 bolts"])
        async with running_fleet(order=order, shared=True) as fleet:
            for caller in (too_long, proper):
                await fleet.requester.serve(caller)
        assert too_long.outcome == Unknown(UnknownReason.RELAY_LOST)
        assert proper.outcome == Answered(200)

    trio.run(scenario)


@pytest.mark.parametrize(
    "garbage",
    [
        pytest.param(b"\xc1" * 10, id="reserved MessagePack byte"),
        pytest.param(b"\x91\x01", id="wrong field count"),
    ],
)
def test_malformed_data_closes_relay_link(garbage: bytes) -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            stream = await trio.open_tcp_stream(*fleet.relay)
            await stream.send_all(PING + garbage)
            received = b""
            while data := await stream.receive_some(100):
                received += data
            await stream.aclose()
            await until(lambda: fleet.observer.malformed)
            assert fleet.observer.malformed == ["relay"]

    trio.run(scenario)


def test_partial_message_link_times_out() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            stream = await trio.open_tcp_stream(*fleet.relay)
            await stream.send_all(PING + b"\x93\x0a\x00\xdb\xff\xff\xff\xff")
            assert await stream.receive_some(100)
            fleet.timer.advance(ACTIVE_PING_SECONDS + LINK_SILENCE_SECONDS + 1.0)
            assert not await stream.receive_some(100)
            await stream.aclose()

    trio.run(scenario)


class _BlackholeProxy:
    """Proxy that silently drops the bytes of all connections accepted before a cut-off."""

    def __init__(self, to: Address) -> None:
        self.accepted = 0
        self._blackholed = 0
        self._address = to

    async def serve(self, stream: trio.SocketStream) -> None:
        self.accepted += 1
        number = self.accepted
        other = await trio.open_tcp_stream(*self._address)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, stream, other, number)
                await self._forward(other, stream, number)
                nursery.cancel_scope.cancel()
        finally:
            await trio.aclose_forcefully(other)
            await trio.aclose_forcefully(stream)

    def blackhole_open_connections(self) -> None:
        self._blackholed = self.accepted

    async def _forward(
        self, source: trio.SocketStream, sink: trio.SocketStream, number: int
    ) -> None:
        try:
            while data := await source.receive_some(65_536):
                if number > self._blackholed:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def _insert_proxy(fleet: Fleet, relay: _BlackholeProxy, nursery: trio.Nursery) -> None:
    """Put the proxy between the requester and the gate."""
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    address = Address(HOST, listeners[0].socket.getsockname()[1])
    nursery.start_soon(trio.serve_listeners, relay.serve, listeners)

    async def connect(_: Address) -> trio.abc.Stream:
        return await trio.open_tcp_stream(*address)

    fleet.requester._pool._connect = connect
