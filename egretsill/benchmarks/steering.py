"""Cost of steering a packet, and rate of the complete balancer against a bare forwarder."""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random

import trio

from ..configuration import Address, Bundle, Service, Target
from ..steering import (
    Balancer,
    ConnectionIdCodec,
    ConnectionIdKey,
    ReplyPacket,
    SourceLimit,
    Steering,
    make_tunnel_codec,
)
from ..supervision import PropagatingSupervisor
from ..timing import TrioTimerService
from ._result import BenchmarkResult
from ._saturation import LOOPBACK, Forwarder, Throughput, address_of, open_socket, saturate

BENCHMARK = "steering"
GOAL_MICROSECONDS = 3.0
GOAL_RATE_RATIO = 0.5
FLOW_SIZES = (1_000, 10_000, 50_000, 100_000, 200_000)
TARGET_SIZES = (4, 7, 70, 700, 2_500, 7_700)
SERVICE_SIZES = (1, 10, 100, 400, 770)
DEFAULT_FLOWS = 10_000
DEFAULT_TARGETS = 7
ROUNDS = 5
SATURATION_ROUNDS = 3
NO_LIMIT = 1_000_000_000
NONCE_BYTES = 8
CALLER_HOST = "192.0.2.1"
CODEC = ConnectionIdCodec([ConnectionIdKey(0, b"0123456789abcdef")])
Packet = tuple[Address, bytes]


def benchmark() -> Sequence[BenchmarkResult]:
    """Return all results of the steering benchmark."""
    return [*_measure_steering_alone(), *_compare_with_bare_forwarder()]


def _measure_steering_alone() -> Sequence[BenchmarkResult]:
    results = []
    for flows in FLOW_SIZES:
        bundle = _bundle(1, DEFAULT_TARGETS)
        results.append(_measure_steering("flows", flows, bundle, _flow_packets(bundle, flows)))
    for targets in TARGET_SIZES:
        bundle = _bundle(1, targets)
        results.append(
            _measure_steering("targets", targets, bundle, _flow_packets(bundle, DEFAULT_FLOWS))
        )
        initial = _initial_packets(bundle, DEFAULT_FLOWS)
        results.append(_measure_steering("targets, first packets", targets, bundle, initial))
    for services in SERVICE_SIZES:
        bundle = _bundle(services, DEFAULT_TARGETS)
        results.append(
            _measure_steering("services", services, bundle, _flow_packets(bundle, DEFAULT_FLOWS))
        )
    results.extend(_measure_bundle_updates())
    return results


def _measure_steering(
    case: str, size: int, bundle: Bundle, packets: Sequence[Packet]
) -> BenchmarkResult:
    """Return the processor time per packet as the median of `ROUNDS` rounds."""
    steering = Steering(CODEC, SourceLimit(NO_LIMIT))
    steering.apply_bundle(bundle, 0.0)
    rounds = [_measure_round(steering, packets) for _ in range(ROUNDS)]
    value = statistics.median(rounds)
    return BenchmarkResult(
        BENCHMARK,
        f"processor time a packet by {case}",
        value,
        "microseconds",
        size,
        GOAL_MICROSECONDS,
        value < GOAL_MICROSECONDS,
    )


def _measure_round(steering: Steering, packets: Sequence[Packet]) -> float:
    steer = steering.steer
    start = time.process_time()
    for service_address, datagram in packets:
        steer(service_address, CALLER_HOST, datagram, 1.0)
    return 1e6 * (time.process_time() - start) / len(packets)


def _measure_bundle_updates() -> Sequence[BenchmarkResult]:
    """Return the processor time of applying a configuration with one target removed."""
    results = []
    for services in SERVICE_SIZES:
        bundle = _bundle(services, DEFAULT_TARGETS + 3)
        changed = _without_one_target(bundle)
        steering = Steering(CODEC, SourceLimit(NO_LIMIT))
        steering.apply_bundle(bundle, 0.0)
        start = time.process_time()
        steering.apply_bundle(changed, 1.0)
        milliseconds = 1e3 * (time.process_time() - start)
        case = "processor time of a change by services of ten targets"
        results.append(BenchmarkResult(BENCHMARK, case, milliseconds, "milliseconds", services))
    return results


def _without_one_target(bundle: Bundle) -> Bundle:
    service = bundle.services["service-1"]
    changed = replace(service, targets=service.targets[:-1])
    return Bundle(2, "", {**bundle.services, service.name: changed})


def _compare_with_bare_forwarder() -> Sequence[BenchmarkResult]:
    """Return the rates of the complete balancer and a bare forwarder, measured alternately."""
    sinks = [open_socket() for _ in range(DEFAULT_TARGETS)]
    bundle = _bundle(1, DEFAULT_TARGETS, tunnels=[address_of(each) for each in sinks])
    packets = [datagram for _, datagram in _flow_packets(bundle, DEFAULT_FLOWS)]
    caller = open_socket()
    replies = [_reply(address_of(caller), bundle)]
    bare, inward, outward = [], [], []
    for _ in range(SATURATION_ROUNDS):
        bare.append(saturate(make_forwarder, [address_of(sinks[0])], packets, caller))
        inward.append(saturate(make_balancer, [bundle, False], packets, caller))
        outward.append(saturate(make_balancer, [bundle, True], replies, sinks[0]))
    for each in (*sinks, caller):
        each.close()
    return [
        *_rate_results("bare forwarder", bare),
        *_rate_results("balancer, callers to agents", inward, bare),
        *_rate_results("balancer, agents to callers", outward, bare),
    ]


def _rate_results(
    case: str, runs: Sequence[Throughput], bare: Sequence[Throughput] = ()
) -> Sequence[BenchmarkResult]:
    rate = statistics.median(each.packets_per_second for each in runs)
    processor = statistics.median(each.processor_microseconds for each in runs)
    results = [
        BenchmarkResult(BENCHMARK, f"rate of the {case}", rate, "packets a second"),
        BenchmarkResult(BENCHMARK, f"processor time a packet, {case}", processor, "microseconds"),
    ]
    if bare:
        ratio = rate / statistics.median(each.packets_per_second for each in bare)
        results.append(
            BenchmarkResult(
                BENCHMARK,
                f"rate of the {case} over the bare forwarder's",
                ratio,
                "ratio",
                None,
                GOAL_RATE_RATIO,
                ratio >= GOAL_RATE_RATIO,
            )
        )
    return results


def make_forwarder(destination: Address) -> Forwarder:
    """Return a forwarder that only receives and sends, with plain trio sockets."""
    udp_socket = open_socket()
    udp_socket.setblocking(False)
    receiver = trio.socket.from_stdlib_socket(udp_socket)
    forwarded = 0

    async def run() -> None:
        nonlocal forwarded
        while True:
            datagram, _ = await receiver.recvfrom(2048)
            await receiver.sendto(datagram, destination)
            forwarded += 1

    return Forwarder(address_of(udp_socket), run, lambda: forwarded)


def make_balancer(bundle: Bundle, for_replies: bool) -> Forwarder:
    """Return a complete balancer, addressed for callers' packets or for agents' replies."""
    timer = TrioTimerService()
    balancer = Balancer(
        timer,
        LOOPBACK,
        CODEC,
        PropagatingSupervisor(),
        listen=lambda _: LOOPBACK,
        source_limit=SourceLimit(NO_LIMIT),
    )
    balancer.apply_bundle(bundle)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timer.run)
            nursery.start_soon(balancer.run)

    address = balancer.tunnel_address
    if not for_replies:
        local_address = balancer.local_address(bundle.services["service-1"].addresses[0])
        address = local_address or address
    return Forwarder(address, run, lambda: balancer.counters.forwarded + balancer.counters.replied)


def _bundle(services: int, targets: int, tunnels: Sequence[Address] = ()) -> Bundle:
    declared = {}
    for number in range(1, services + 1):
        first = number * targets + 1
        numbers = range(first, first + targets)
        declared[f"service-{number}"] = Service(
            name=f"service-{number}",
            number=number,
            tenant="tenant",
            authority="service.example",
            addresses=(Address(f"10.0.{number // 250}.{number % 250}", 443),),
            classes=(),
            targets=tuple(
                _target(each, f"service-{number}", tunnels[place] if tunnels else None)
                for place, each in enumerate(numbers)
            ),
        )
    return Bundle(1, "", declared)


def _target(number: int, service: str, tunnel: Address | None) -> Target:
    host = f"10.{1 + number // 62_500}.{number // 250 % 250}.{number % 250}"
    return Target(
        name=str(number),
        number=number,
        service=service,
        failure_domain="a",
        tunnel=tunnel or Address(host, 4000),
        relay=Address(host, 4001),
        gossip=Address(host, 4002),
        backend=Address(host, 80),
        slots=4,
    )


def _flow_packets(bundle: Bundle, flows: int) -> Sequence[Packet]:
    """Return one packet of each flow, with flows spread over all services and targets."""
    random = Random(flows)
    services = list(bundle.services.values())
    packets = []
    for _ in range(flows):
        service = random.choice(services)
        target = random.choice(service.targets)
        nonce = random.randbytes(NONCE_BYTES)
        connection_id = CODEC.encode(service.number, target.number, nonce)
        packets.append((service.addresses[0], b"\x40" + connection_id + bytes(1182)))
    return packets


def _initial_packets(bundle: Bundle, flows: int) -> Sequence[Packet]:
    random = Random(flows)
    address = bundle.services["service-1"].addresses[0]
    head = b"\xc0\0\0\0\1\x08"
    return [(address, (head + random.randbytes(8)).ljust(1200, b"\0")) for _ in range(flows)]


def _reply(caller: Address, bundle: Bundle) -> bytes:
    address = bundle.services["service-1"].addresses[0]
    return make_tunnel_codec().encode(ReplyPacket(*caller, *address, bytes(1200)))


def run(report: Callable[[str], object] = print) -> int:
    """Report all results as lines of JSON; return 1 if any goal is missed."""
    results = benchmark()
    for each in results:
        report(each.to_json())
    return 1 if any(each.holds is False for each in results) else 0


if __name__ == "__main__":
    sys.exit(run())
