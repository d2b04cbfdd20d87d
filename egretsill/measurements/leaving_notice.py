"""Measures the time from a VM being listed as leaving until its process is notified.

Each process reads the VM list at its own times, as often as the real read scheduler allows for a
list and a fleet of this size. The first process that reads the change selects by the real rule whom
to notify, and its notice takes one one-way delay between failure domains. The value is the 99th
percentile over many departures; the baseline is a process that relies on its own reads only.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from ..configuration import Address, DistributionTimes, Vm, VmState, encode_vms
from ..configuration._readers import ReadScheduler
from ..draining import leaving_notices
from ._measurement import Measurement
from .placement import percentile

SIZES = (13, 60, 200, 600, 1300)
DEPARTURES = 1000
NOTIFIED_SECONDS = 3.0
ONE_WAY_SECONDS = 0.005
SPREAD = (0.75, 1.25)
PERCENTILE = 0.99
SEED = 8


def measure() -> Sequence[Measurement]:
    """Return one line for each fleet size."""
    return [_measure_fleet(size, Random(SEED)) for size in SIZES]


def _measure_fleet(size: int, random: Random) -> Measurement:
    vms = [_make_vm(number) for number in range(size)]
    longest = _seconds_between_reads(vms, random)
    notified, by_own_read = [], []
    for _ in range(DEPARTURES):
        first, own = _measure_departure(vms, longest, random)
        notified.append(first)
        by_own_read.append(own)
    value = percentile(notified, PERCENTILE)
    return Measurement(
        measure="draining",
        case=f"seconds until a VM on the list as leaving is told, 99th percentile, {size}",
        value=round(value, 3),
        target=NOTIFIED_SECONDS,
        baseline=round(percentile(by_own_read, PERCENTILE), 3),
        holds=value <= NOTIFIED_SECONDS,
    )


def _measure_departure(vms: Sequence[Vm], seconds: float, random: Random) -> tuple[float, float]:
    """Return when a leaving VM is notified, and when it would have read the change itself."""
    leaving = random.randrange(len(vms))
    listed = [
        (
            Vm(vm.name, vm.role, vm.failure_domain, VmState.LEAVING, vm.addresses)
            if number == leaving
            else vm
        )
        for number, vm in enumerate(vms)
    ]
    reads = [_next_read(seconds, random) for _ in vms]
    first = min(range(len(vms)), key=reads.__getitem__)
    serving = {vm.name: vm.addresses["gossip"] for vm in vms if vm is not vms[first]}
    notices = leaving_notices(listed, serving, vms[first].name)
    notified = [each.notice.name for each in notices]
    if first != leaving and notified != [vms[leaving].name]:
        return float("inf"), reads[leaving]
    way = 0.0 if first == leaving else ONE_WAY_SECONDS
    return reads[first] + way, reads[leaving]


def _next_read(seconds: float, random: Random) -> float:
    """Return the time until a process's next read, from a moment independent of its reads."""
    while True:
        interval = seconds * random.uniform(*SPREAD)
        # A random moment falls into a long interval more often than into a short one.
        if random.random() * SPREAD[1] * seconds < interval:
            return interval * random.random()


def _seconds_between_reads(vms: Sequence[Vm], random: Random) -> float:
    times = DistributionTimes()
    read_scheduler = ReadScheduler(vms[0].name, vms[0].failure_domain, random, 0.0, times.silence)
    read_scheduler.set_vms(vms, 0.0)
    return max(times.vm_list, read_scheduler.vm_list_seconds(len(encode_vms(vms))))


def _make_vm(number: int) -> Vm:
    endpoint = Address(f"10.0.{number // 250}.{number % 250 + 1}", 7000)
    addresses = dict.fromkeys(("gossip", "relay", "tunnel"), endpoint)
    return Vm(f"agent-{number:05}", "agent", f"domain-{number % 11}", addresses=addresses)
