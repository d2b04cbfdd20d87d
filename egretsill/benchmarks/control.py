"""Control-plane cost of one process: membership, configuration, load reports, admin page."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random

import trio

from ..configuration import (
    CONFIGURATION_TYPES,
    Address,
    Announcement,
    Bundle,
    ConfigurationRequest,
    ConfigurationResponse,
    Publication,
    Service,
    compile_publication,
    decode_publication,
    encode_publication,
)
from ..configuration._sources import PeerSource, answer_request, read_publication
from ..observation import Metrics
from ..placement import LOAD_TYPES, LoadReport, Placement
from ..placement._load_reporter import BYTES_PER_SECOND, REPORT_BYTES
from ..steering import ConnectionIdCodec, ConnectionIdKey, SourceLimit, Steering
from ..wire import Codec
from ._bundles import make_bundle, make_services
from ._cost import memory_growth_bytes, processor_seconds, resident_bytes_after_import, slope_result
from ._membership_process import MembershipProcess, make_process, run_process
from ._result import BenchmarkResult

BENCHMARK = "control"
MEMBER_SIZES = (20, 60, 200, 600, 1_300, 9_000)
SERVICE_SIZES = (1, 10, 100, 1_000, 1_900)
MEMBERSHIP_SECONDS = 60.0
CHANGES_PER_RUN = 60
HISTORY = 32
DELTAS = 5
CHANGES_PER_HOUR = 267
REPORTS = 2_000
PAGE_RENDERS = 20
INITIAL_PACKETS_PER_SERVICE = 30
NO_LIMIT = 1_000_000_000
CONTROL_GOAL_BYTES = 18_000.0
MEMORY_GOAL_MEGABYTES = 128.0
MEGABYTE = 1_000_000
CODEC = ConnectionIdCodec([ConnectionIdKey(0, b"0123456789abcdef")])


def benchmark() -> Sequence[BenchmarkResult]:
    """Return all results of the control-plane benchmark."""
    return [*_membership(), *_configuration(), *_reports(), *_admin_page(), _code_memory()]


def _result(
    case: str, value: float, unit: str, size: int | None = None, goal: float | None = None
) -> BenchmarkResult:
    holds = None if goal is None else value <= goal
    return BenchmarkResult(BENCHMARK, case, value, unit, size, goal, holds)


def _membership() -> Sequence[BenchmarkResult]:
    processors, changes, bytes_sent, memory = [], [], [], []
    for members in MEMBER_SIZES:
        process = make_process(members)
        before = process.sent_bytes
        quiet = _processor_share(process, 0)
        rate = (process.sent_bytes - before) / MEMBERSHIP_SECONDS
        busy = _processor_share(process, CHANGES_PER_RUN)
        case = "bytes a second sent for membership by members"
        bytes_sent.append(_result(case, rate, "bytes a second", members, CONTROL_GOAL_BYTES))
        case = "processor time a second of membership by members"
        processors.append(_result(case, 1e3 * quiet, "milliseconds", members))
        change = 1e3 * max(0.0, busy - quiet) * MEMBERSHIP_SECONDS / CHANGES_PER_RUN
        case = "processor time of a member's change by members"
        changes.append(_result(case, change, "milliseconds", members))
        grown = memory_growth_bytes(make_process, members) / MEGABYTE
        memory.append(_result("memory of the member table by members", grown, "MB", members))
    return [
        *processors,
        slope_result(processors, "milliseconds a member"),
        *changes,
        slope_result(changes, "milliseconds a member"),
        *bytes_sent,
        slope_result(bytes_sent, "bytes a second a member"),
        *memory,
        slope_result(memory, "MB a member"),
    ]


def _processor_share(process: MembershipProcess, changes: int) -> float:
    """Return seconds of processor time per second of membership."""
    used = processor_seconds(lambda: run_process(process, MEMBERSHIP_SECONDS, changes))
    return used / MEMBERSHIP_SECONDS


def _configuration() -> Sequence[BenchmarkResult]:
    full_reads, deltas, sizes, bundles, tables = [], [], [], [], []
    for services in SERVICE_SIZES:
        publication = compile_publication(make_services(services), 1)
        values = encode_publication(publication)
        seconds = processor_seconds(lambda each=values: decode_publication(each))  # type: ignore[misc]
        case = "processor time of a whole configuration by services of four targets"
        full_reads.append(_result(case, 1e3 * seconds, "milliseconds", services))
        seconds, exchanged = _time_deltas(publication)
        case = "processor time of a change by services of four targets"
        deltas.append(_result(case, 1e3 * seconds, "milliseconds", services))
        case = "bytes of a change by services of four targets"
        sizes.append(_result(case, exchanged, "bytes", services))
        grown = memory_growth_bytes(make_publication, services) / MEGABYTE
        case = "memory of a configuration by services of four targets"
        bundles.append(_result(case, grown, "MB", services))
        grown = memory_growth_bytes(make_routes, services) / MEGABYTE
        case = "memory of a configuration and its routes by services of four targets"
        tables.append(_result(case, grown, "MB", services, MEMORY_GOAL_MEGABYTES))
    return [
        *full_reads,
        slope_result(full_reads, "milliseconds a service"),
        *deltas,
        slope_result(deltas, "milliseconds a service"),
        *sizes,
        slope_result(sizes, "bytes a service"),
        *bundles,
        slope_result(bundles, "MB a service"),
        *tables,
        slope_result(tables, "MB a service"),
        _announcements(publication),
        *_measure_catch_up(publication),
    ]


def make_publication(services: int) -> Publication:
    """Return a publication as a process stores it after reading the platform."""
    values = encode_publication(compile_publication(make_services(services), 1))
    return decode_publication(values)


def make_routes(services: int) -> tuple[Publication, Steering]:
    """Return a publication and a balancer's routes, after Initial packets for each route."""
    publication = make_publication(services)
    steering = Steering(CODEC, SourceLimit(NO_LIMIT))
    steering.apply_bundle(publication.bundle, 0.0)
    random = Random(services)
    for service in publication.bundle.services.values():
        for _ in range(INITIAL_PACKETS_PER_SERVICE):
            steering.steer(service.addresses[0], "192.0.2.1", _initial_packet(random), 1.0)
    return publication, steering


def _initial_packet(random: Random) -> bytes:
    return (b"\xc0\0\0\0\1\x08" + random.randbytes(8)).ljust(1200, b"\0")


def _time_deltas(publication: Publication) -> tuple[float, float]:
    """Return processor time and bytes of fetching a change from a peer and applying it to steering.

    The time includes the share of the answering peer, since each process also answers its peers.
    """
    steering = Steering(CODEC, SourceLimit(NO_LIMIT))
    steering.apply_bundle(publication.bundle, 0.0)
    current, spent, exchanged = publication, 0.0, 0
    for revision in range(2, HISTORY + 2):
        current = compile_publication(
            _with_changed_service(current.bundle, revision), revision, current
        )
    for revision in range(HISTORY + 2, HISTORY + DELTAS + 2):
        newer = compile_publication(
            _with_changed_service(current.bundle, revision), revision, current
        )
        peer = _Peer(newer)
        known = current

        def apply_change(peer: _Peer = peer, known: Publication = known) -> Publication:
            fetched = trio.run(_fetch, peer, known)
            steering.apply_bundle(fetched.bundle, float(fetched.head.revision))
            return fetched

        spent += processor_seconds(apply_change)
        exchanged += peer.exchanged
        current = newer
    return spent / DELTAS, exchanged / DELTAS


def _measure_catch_up(publication: Publication) -> Sequence[BenchmarkResult]:
    """Return bytes and processor time of fetching the missed changes of an hour."""
    newer = publication
    for revision in range(2, CHANGES_PER_HOUR + 2):
        newer = compile_publication(_with_changed_service(newer.bundle, revision), revision, newer)
    peer = _Peer(newer)
    seconds = processor_seconds(lambda: trio.run(_fetch, peer, publication))
    services = len(publication.index)
    return [
        _result("bytes of catching up with an hour's changes", peer.exchanged, "bytes", services),
        _result(
            "processor time of catching up with an hour's changes",
            1e3 * seconds,
            "milliseconds",
            services,
        ),
    ]


class _Peer:
    """A peer that serves one publication and counts the bytes in both directions."""

    def __init__(self, publication: Publication) -> None:
        self.exchanged = 0
        self._publication = publication
        self._codec: Codec[ConfigurationRequest | ConfigurationResponse] = Codec(
            "configuration", CONFIGURATION_TYPES
        )

    async def ask(self, question: ConfigurationRequest) -> ConfigurationResponse:
        """Return the answer after encoding and decoding it."""
        encoded = self._codec.encode(question)
        answer = self._codec.encode(answer_request(question, self._publication))
        self.exchanged += len(encoded) + len(answer)
        return self._codec.decode(answer)  # type: ignore[return-value]


async def _fetch(peer: _Peer, known: Publication) -> Publication:
    source = PeerSource(peer.ask)
    head = await source.head(known)
    return await read_publication(source, head, known)


def _with_changed_service(bundle: Bundle, revision: int) -> dict[str, Service]:
    name = f"service-{1 + revision % len(bundle.services)}"
    service = bundle.services[name]
    limits = replace(service.limits, queue_length=revision)
    return {**bundle.services, name: replace(service, limits=limits)}


def _announcements(publication: Publication) -> BenchmarkResult:
    """Return the size of one announcement of the current configuration."""
    relay = Address("10.250.250.250", 4001)
    message = Announcement("member-1300", 6_400, publication.head.digest, True, 1_000, relay, True)
    size = len(Codec("configuration", CONFIGURATION_TYPES).encode(message))
    return _result("bytes of an announcement", size, "bytes")


def _reports() -> Sequence[BenchmarkResult]:
    service = make_bundle(1, 70).services["service-1"]
    placement = Placement(service.targets[0].number, service, Random(1))
    codec = Codec("load", LOAD_TYPES)
    reports = [
        LoadReport(each.number, 1_700_000_000_000, 1, 3.0, 2, 1, 4, 100, False, 100.0)
        for each in service.targets
    ]

    def handle() -> None:
        for number in range(REPORTS):
            data = codec.encode(reports[number % len(reports)])
            placement.on_report(codec.decode(data), number / 100)

    seconds = processor_seconds(handle)
    maximum_rate = BYTES_PER_SECOND / REPORT_BYTES
    return [
        _result("processor time of a load report", 1e6 * seconds / REPORTS, "microseconds"),
        _result("bytes of a load report", len(codec.encode(reports[0])), "bytes"),
        _result("most load reports a second sent by an agent", maximum_rate, "reports a second"),
    ]


def _admin_page() -> Sequence[BenchmarkResult]:
    metrics = Metrics()
    seconds = processor_seconds(lambda: [metrics.render() for _ in range(PAGE_RENDERS)])
    size = len(metrics.render()[0])
    return [
        _result("processor time of an admin page", 1e3 * seconds / PAGE_RENDERS, "milliseconds"),
        _result("bytes of an admin page", size, "bytes"),
    ]


def _code_memory() -> BenchmarkResult:
    """Return the resident size of a process that has imported the daemon only."""
    size = resident_bytes_after_import("egretsill.daemon") / MEGABYTE
    return _result("memory of a daemon's code", size, "MB")
