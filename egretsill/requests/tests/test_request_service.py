from __future__ import annotations

import json
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import pytest
import trio

from ...configuration import Address
from ...outcomes import Answered, Outcome, RefusalReason, Refused, Unknown, UnknownReason
from ...stand_ins.backend_server import BackendBehaviour, Fault
from ...supervision import PropagatingSupervisor
from ...timing import TimerService, VirtualTimerService
from .. import BackendClient, RequestService
from ._fakes import FakeExchange, SimpleAdmission, SimplePlacement, make_service, running_backend


@asynccontextmanager
async def running_service(
    address: Address, timer: TimerService, admission: SimpleAdmission
) -> AsyncIterator[RequestService]:
    service = RequestService(
        1,
        "catalog",
        1,
        timer,
        {"catalog": make_service()}.get,
        admission,
        SimplePlacement((1,)),
        BackendClient(address, timer),
        PropagatingSupervisor(),
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(service.run)
        yield service
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("method", "path", "behaviour", "outcome"),
    [
        pytest.param("GET", "/entry", {}, Answered(200), id="lookup"),
        pytest.param("POST", "/order", {}, Answered(200), id="order"),
        pytest.param(
            "PATCH", "/order", {}, Refused(RefusalReason.UNDECLARED), id="undeclared method"
        ),
        pytest.param(
            "POST", "/order", {"shedding": True}, Refused(RefusalReason.SHEDDING), id="shed"
        ),
        pytest.param(
            "POST",
            "/order",
            {"fault": "cut"},
            Unknown(UnknownReason.BACKEND_LOST),
            id="cut answer of an order",
        ),
        pytest.param(
            "POST",
            "/order",
            {"fault": "garbage"},
            Unknown(UnknownReason.BACKEND_MALFORMED),
            id="garbage",
        ),
    ],
)
def test_request_at_own_gate(
    method: str, path: str, behaviour: dict[str, object], outcome: Outcome
) -> None:
    async def scenario() -> None:
        caller = FakeExchange(method, path, [b"12 bolts"])
        admission = SimpleAdmission()
        async with running_backend() as (server, address):
            server.behaviour.change(behaviour)
            async with running_service(address, VirtualTimerService(), admission) as service:
                await service.serve(caller)
        assert caller.outcome == outcome
        assert not admission.held
        assert service.running == 0

    trio.run(scenario)


async def _serve_all(service: RequestService, callers: Sequence[FakeExchange]) -> None:
    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(service.serve, caller)


def test_requests_beyond_queue_are_refused() -> None:
    async def scenario() -> None:
        callers = [FakeExchange("GET", f"/entry/{n}") for n in range(5)]
        async with running_backend() as (server, address):
            timer = VirtualTimerService()
            async with running_service(address, timer, SimpleAdmission(2, 2)) as service:
                await _serve_all(service, callers)
        answered = [each for each in callers if each.outcome == Answered(200)]
        refused = [each for each in callers if each.outcome == Refused(RefusalReason.FULL)]
        assert (len(answered), len(refused)) == (4, 1)
        assert all(json.loads(each.data)["path"] == each.head.path for each in answered)
        assert server.counts.most_running <= 2

    trio.run(scenario)


def test_started_order_is_unknown_after_deadline() -> None:
    async def scenario() -> None:
        timer = VirtualTimerService()
        caller = FakeExchange("POST", "/order", [b"x"], deadline=5.0)
        behaviour = BackendBehaviour(fault=Fault.SWALLOW)
        async with (
            running_backend(behaviour) as (server, address),
            running_service(address, timer, SimpleAdmission()) as service,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(service.serve, caller)
            while not server.counts.starts_by_method:
                await trio.sleep(0.001)
            timer.advance(5.0)
        assert caller.outcome == Unknown(UnknownReason.DEADLINE)

    trio.run(scenario)


def test_draining_gate_starts_nothing() -> None:
    async def scenario() -> None:
        caller = FakeExchange("GET", "/entry")
        async with (
            running_backend() as (server, address),
            running_service(address, VirtualTimerService(), SimpleAdmission()) as service,
        ):
            service.stop_new_work()
            await service.serve(caller)
        assert caller.outcome == Refused(RefusalReason.DRAINING)
        assert not server.counts.starts_by_method

    trio.run(scenario)
