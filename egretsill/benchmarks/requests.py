"""Rate of requests and bytes through an agent's request service, against direct backend calls.

The backend server is a stand-in in its own process. Both agents of a relayed request run in this
process, so their processor time is counted together.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Awaitable, Callable, Collection, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random

import trio

from ..admission import Admission
from ..configuration import Address, Limits, RequestClass, RequestShape, Service, Target
from ..outcomes import Answered, Outcome, RefusalReason
from ..requests import RELAY_TYPES, BackendClient, RequestHead, RequestService
from ..requests._backend_call import BackendRequest
from ..supervision import PropagatingSupervisor
from ..timing import TimerService, TrioTimerService
from ..wire import Codec, StreamDecoder
from ._backend_process import HOST, backend_process
from ._result import BenchmarkResult

BENCHMARK = "requests"
SERVICE = "catalog"
OWN_TARGET = 1
OTHER_TARGET = 2
SLOTS = 64
PARALLEL = 8
ROUNDS = 3
SHORT_REQUESTS = 400
UPLOADS = 8
UPLOAD_PIECE_BYTES = 65_536
UPLOAD_PIECES = 32
READ_BYTES = 65_536
DEADLINE_SECONDS = 60.0
UNUSED_ADDRESS = Address(HOST, 9)
AUTHORITY = "catalog.example"
Headers = Sequence[tuple[bytes, bytes]]
RequestRunner = Callable[["MemoryExchange"], Awaitable[None]]


class RequestFailed(Exception):
    """A request of the benchmark did not succeed.

    Attributes:
        outcome: outcome of the request, or None if it has none.
    """

    def __init__(self, outcome: Outcome | None) -> None:
        super().__init__(f"request failed with outcome {outcome}")
        self.outcome = outcome


@dataclass(slots=True)
class MemoryExchange:
    """The exchange of a request with a caller in memory."""

    head: RequestHead
    pieces: int = 0
    answer_begun: bool = False
    outcome: Outcome | None = None

    async def receive_body(self) -> bytes | None:
        """Return the next piece of the request's body, or None at its end."""
        await trio.lowlevel.checkpoint()
        if self.pieces == 0:
            return None
        self.pieces -= 1
        return bytes(UPLOAD_PIECE_BYTES)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Start the response."""
        self.answer_begun = True

    async def send_data(self, data: bytes) -> None:
        """Discard a piece of the response."""

    async def conclude(self, outcome: Outcome) -> None:
        """Store the outcome."""
        self.outcome = outcome


@dataclass(slots=True)
class FixedPlacement:
    """Placement that always chooses the same target."""

    target_number: int

    def choose(
        self, request_class: RequestClass, exclude: Collection[int], now: float
    ) -> int | None:
        """Return the target unless it is excluded."""
        return None if self.target_number in exclude else self.target_number

    def on_sent(self, target_number: int, weight: float, now: float, shape: RequestShape) -> None:
        """Do nothing."""

    def on_granted(self, target_number: int, now: float, shape: RequestShape) -> None:
        """Do nothing."""

    def on_finished(
        self, target_number: int, weight: float, now: float, shape: RequestShape
    ) -> None:
        """Do nothing."""

    def on_refused(self, target_number: int, reason: RefusalReason, now: float) -> None:
        """Do nothing."""


@dataclass(frozen=True, slots=True)
class Load:
    """A number of requests of one kind.

    Attributes:
        name: name in the results.
        requests: number of requests in a round.
        pieces: number of pieces of each request body.
    """

    name: str
    method: str
    path: str
    requests: int
    pieces: int = 0

    def make_exchange(self) -> MemoryExchange:
        """Return the exchange of one request."""
        return MemoryExchange(RequestHead(SERVICE, self.method, self.path, (), None), self.pieces)


@dataclass(slots=True)
class Cost:
    """Wall-clock and processor time of each round of a load, in seconds per request."""

    elapsed: list[float] = field(default_factory=list)
    processor: list[float] = field(default_factory=list)


LISTING_LOAD = Load("listings", "GET", "/entry", SHORT_REQUESTS)
UPLOAD_LOAD = Load("uploads of 2 MiB", "PUT", "/upload", UPLOADS, UPLOAD_PIECES)


def benchmark() -> Sequence[BenchmarkResult]:
    """Return all results of the request benchmark."""
    with backend_process(SERVICE) as backend:
        return trio.run(_benchmark, backend)


async def _benchmark(backend: Address) -> Sequence[BenchmarkResult]:
    timer = TrioTimerService()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run)
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        relay = Address(HOST, listeners[0].socket.getsockname()[1])
        service = _service(relay, backend)
        own = _request_service(OWN_TARGET, OWN_TARGET, service, backend, timer)
        requester = _request_service(OWN_TARGET, OTHER_TARGET, service, backend, timer)
        gate = _request_service(OTHER_TARGET, OTHER_TARGET, service, backend, timer)
        for each in (own, requester, gate):
            await nursery.start(each.run)
        nursery.start_soon(trio.serve_listeners, partial(_serve_relay, gate), listeners)
        client = BackendClient(backend, timer)
        runs: dict[str, RequestRunner] = {
            "direct": partial(_call_directly, client),
            "own gate": partial(_serve, own),
            "relayed": partial(_serve, requester),
        }
        results = [*await _compare(LISTING_LOAD, runs), *await _compare(UPLOAD_LOAD, runs)]
        nursery.cancel_scope.cancel()
    return results


async def _compare(load: Load, runs: dict[str, RequestRunner]) -> Sequence[BenchmarkResult]:
    """Run a load in each way alternately, and return the rates and their ratios."""
    costs = {name: Cost() for name in runs}
    for _ in range(ROUNDS):
        for name, run in runs.items():
            await _run_round(load, run, costs[name])
    direct = statistics.median(costs["direct"].elapsed)
    results: list[BenchmarkResult] = []
    for name, cost in costs.items():
        seconds = statistics.median(cost.elapsed)
        results += _results(f"{load.name}, {name}", load, seconds, cost)
        ratio = direct / seconds
        case = f"rate of {load.name}, {name}, over the direct rate"
        results.append(BenchmarkResult(BENCHMARK, case, ratio, "ratio"))
    return results


def _results(case: str, load: Load, seconds: float, cost: Cost) -> Sequence[BenchmarkResult]:
    processor = 1e3 * statistics.median(cost.processor)
    results = [
        BenchmarkResult(BENCHMARK, f"rate of {case}", 1 / seconds, "requests a second"),
        BenchmarkResult(BENCHMARK, f"processor time of {case}", processor, "milliseconds"),
    ]
    if load.pieces:
        rate = load.pieces * UPLOAD_PIECE_BYTES / seconds / 1e6
        results.append(BenchmarkResult(BENCHMARK, f"bytes of {case}", rate, "MB a second"))
    return results


async def _run_round(load: Load, run: RequestRunner, cost: Cost) -> None:
    elapsed, processor = time.perf_counter(), time.process_time()
    remaining = iter(range(load.requests))
    async with trio.open_nursery() as nursery:
        for _ in range(PARALLEL):
            nursery.start_soon(_run_requests, load, run, remaining)
    cost.elapsed.append((time.perf_counter() - elapsed) / load.requests)
    cost.processor.append((time.process_time() - processor) / load.requests)


async def _run_requests(load: Load, run: RequestRunner, remaining: Iterator[int]) -> None:
    for _ in remaining:
        await run(load.make_exchange())


async def _serve(service: RequestService, exchange: MemoryExchange) -> None:
    await service.serve(exchange)
    if exchange.outcome != Answered(200):
        raise RequestFailed(exchange.outcome)


async def _call_directly(client: BackendClient, exchange: MemoryExchange) -> None:
    head = exchange.head
    request = BackendRequest(
        head.method, head.path, AUTHORITY, (), idempotent=True, shape=RequestShape.SHORT
    )
    status = await client.call(request, exchange, exchange, lambda: None)
    if status != 200:
        raise RequestFailed(Answered(status))


def _request_service(
    number: int, chosen_target: int, service: Service, backend: Address, timer: TimerService
) -> RequestService:
    admission = Admission(SLOTS, SLOTS, Limits(), Random(number))
    return RequestService(
        number,
        SERVICE,
        1,
        timer,
        {SERVICE: service}.get,
        admission,
        FixedPlacement(chosen_target),
        BackendClient(backend, timer),
        PropagatingSupervisor(),
    )


async def _serve_relay(gate: RequestService, stream: trio.SocketStream) -> None:
    decoder = StreamDecoder(Codec("relay", RELAY_TYPES))
    first = None
    while first is None:
        first = next(decoder.feed(bytes(await stream.receive_some(READ_BYTES))), None)
    await gate.serve_relay(stream, first, decoder)


def _service(relay: Address, backend: Address) -> Service:
    classes = (
        RequestClass("listing", ("GET",), "/", True, deadline_seconds=DEADLINE_SECONDS),
        RequestClass(
            "upload",
            ("PUT",),
            "/upload",
            False,
            shape=RequestShape.UPLOAD,
            deadline_seconds=DEADLINE_SECONDS,
        ),
    )
    targets = tuple(_target(number, relay, backend) for number in (OWN_TARGET, OTHER_TARGET))
    return Service(SERVICE, 1, "sibiu", AUTHORITY, (), classes, targets)


def _target(number: int, relay: Address, backend: Address) -> Target:
    return Target(
        f"target-{number}",
        number,
        SERVICE,
        "a",
        UNUSED_ADDRESS,
        relay,
        UNUSED_ADDRESS,
        backend,
        slots=SLOTS,
    )
