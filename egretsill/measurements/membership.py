"""Measures membership under loss, crashes, partitions and pauses, at several fleet sizes.

The baseline is a heartbeat from every process to every other each second, with a fixed timeout.
Partitions and the crash of a failure domain take minutes at the largest size and are skipped
there; `python -m egretsill.measurements.membership 600` runs them too.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator, Sequence

from ..membership import MemberState
from ._measurement import Measurement
from ._membership_fleet import BYTES_SAMPLE, Fleet, Process

MEASURE = "membership"
SIZES = (20, 60, 200)
QUIET_SIZES = (600,)
SEED = 11
LOSS = 0.1
SETTLE_SECONDS = 3.0
STEADY_SECONDS = 10.0
SPLIT_SECONDS = 8.0
PAUSE_SECONDS = 20.0
LONGEST_SECONDS = 30.0
CRASHED_SHARE = 0.02
RESUMPTION_SEEDS = range(8)
RESUMPTION_SIZE = 30
RESUMPTION_STEP_SECONDS = 0.02

DETECTION_TARGET_SECONDS = 5.0
FALSE_ALARM_TARGET = 0.01
AGREEMENT_TARGET_SECONDS = 10.0
CONSTANT_TARGET_RATIO = 1.1
CONTROL_TARGET_BYTES = 18_000.0

HEARTBEAT_SECONDS = 1.0
HEARTBEAT_TIMEOUT_SECONDS = 4.0
HEARTBEAT_BYTES = 60.0


def measure(
    sizes: Sequence[int] = SIZES, quiet_sizes: Sequence[int] = QUIET_SIZES
) -> Sequence[Measurement]:
    """Run all cases from fixed seeds; at `quiet_sizes`, skip those with many changes at once."""
    return list(_measure(sizes, quiet_sizes))


def _measure(sizes: Sequence[int], quiet_sizes: Sequence[int]) -> Iterator[Measurement]:
    smallest = sizes[0]
    smallest_rate = 0.0
    for size in [*sizes, *quiet_sizes]:
        fleet = Fleet(size, SEED, LOSS)
        fleet.run(SETTLE_SECONDS)
        sent, sampled = _traffic(fleet)
        fleet.run(STEADY_SECONDS)
        rate, bytes_rate = _rates(fleet, sent, sampled, STEADY_SECONDS)
        smallest_rate = smallest_rate or rate
        yield _at_most(
            f"messages a second a process, {size} to {smallest}",
            rate / smallest_rate,
            CONSTANT_TARGET_RATIO,
            (size - 1) / (smallest - 1),
        )
        heartbeats = (size - 1) * HEARTBEAT_BYTES / HEARTBEAT_SECONDS
        yield _at_most(
            f"bytes a second a process, {size}", bytes_rate, CONTROL_TARGET_BYTES, heartbeats
        )
        yield _false_alarms(fleet, size)
        yield _detection(fleet, size)
        if size in sizes:
            yield from _partition(fleet, size)
            yield _domain_crash(size)
    yield from _measure_resumption()


def _traffic(fleet: Fleet) -> tuple[int, int]:
    """Return the messages sent by all processes, and the bytes of those sampled."""
    sent = sum(each.sent for each in fleet.live)
    return sent, sum(each.sampled_bytes for each in fleet.live)


def _rates(fleet: Fleet, sent: int, sampled: int, seconds: float) -> tuple[float, float]:
    """Return messages and bytes a second a process since these totals."""
    now_sent, now_sampled = _traffic(fleet)
    unit = len(fleet.live) * seconds
    return (now_sent - sent) / unit, (now_sampled - sampled) * BYTES_SAMPLE / unit


def _false_alarms(fleet: Fleet, size: int) -> Measurement:
    """Measure the share of live members that any process ever declared dead."""
    falsely_dead = {
        each.change.member.name for each in fleet.changes if each.change.after is MemberState.DEAD
    }
    baseline = _heartbeat_false_alarms(size)
    case = f"share of live members ever held dead, {LOSS:.0%} loss, {size}"
    return _at_most(case, len(falsely_dead) / size, FALSE_ALARM_TARGET, baseline)


def _detection(fleet: Fleet, size: int) -> Measurement:
    """Measure the time from crashes until every live process has declared all crashed dead."""
    processes = list(fleet.processes.values())
    crashed = processes[:: int(1 / CRASHED_SHARE)]
    seconds = _time_to_detect(fleet, crashed)
    case = f"detection by all, {LOSS:.0%} loss, {size}"
    return _at_most(case, seconds, DETECTION_TARGET_SECONDS, HEARTBEAT_TIMEOUT_SECONDS)


def _time_to_detect(fleet: Fleet, crashed: Sequence[Process]) -> float:
    for process in crashed:
        fleet.crash(process)

    def detected() -> bool:
        return all(
            fleet.believes(observer, each) is MemberState.DEAD
            for observer in fleet.live
            for each in crashed
        )

    return fleet.run_until(detected, LONGEST_SECONDS)


def _domain_crash(size: int) -> Measurement:
    """Measure detection when a third of the fleet ends at once."""
    fleet = Fleet(size, SEED, LOSS)
    fleet.run(SETTLE_SECONDS)
    domain = fleet.live[0].member.failure_domain
    crashed = [each for each in fleet.live if each.member.failure_domain == domain]
    seconds = _time_to_detect(fleet, crashed)
    case = f"detection by all of a failure domain, {LOSS:.0%} loss, {size}"
    return _at_most(case, seconds, DETECTION_TARGET_SECONDS, HEARTBEAT_TIMEOUT_SECONDS)


def _partition(fleet: Fleet, size: int) -> Iterator[Measurement]:
    """Measure the usable targets on each side of a partition, and how long healing takes."""
    live = fleet.live
    sides = [live[: len(live) // 3], live[len(live) // 3 :]]
    fleet.split(sides)
    fleet.run(SPLIT_SECONDS)
    usable = min(_usable_share(each, side) for side in sides for each in side)
    yield Measurement(
        MEASURE,
        f"least share of its own side that a process uses, split, {size}",
        usable,
        1.0,
        None,
        usable >= 1.0,
    )
    sent, sampled = _traffic(fleet)
    fleet.heal()
    seconds = fleet.run_until(fleet.agree, LONGEST_SECONDS)
    yield _at_most(
        f"views agree after healing, {size}", seconds, AGREEMENT_TARGET_SECONDS, HEARTBEAT_SECONDS
    )
    _, bytes_rate = _rates(fleet, sent, sampled, max(seconds, 1.0))
    yield _at_most(
        f"bytes a second a process while healing, {size}", bytes_rate, CONTROL_TARGET_BYTES, None
    )


def _usable_share(process: Process, side: Sequence[Process]) -> float:
    """Return which share of the targets on its side a process may send new work to."""
    own = process.member.target_number
    reachable = {each.member.target_number for each in side} - {0, own}
    if not process.membership.is_fresh(0.0) or not reachable:
        return 0.0
    return len(process.membership.view.available & reachable) / len(reachable)


def _measure_resumption() -> Iterator[Measurement]:
    """Measure targets chosen by a stale view after a pause, and the time until views agree."""
    stale = stale_without_refresh = 0
    longest = 0.0
    for seed in RESUMPTION_SEEDS:
        fleet = Fleet(RESUMPTION_SIZE, seed, LOSS)
        if seed % 2:
            fleet.buffer_datagrams = 0
        fleet.run(SETTLE_SECONDS)
        paused_process, *others = list(fleet.processes.values())
        gone = others[:6]
        fleet.pause(paused_process)
        for process in gone[:3]:
            fleet.crash(process)
        for process in gone[3:]:
            fleet.stop(process)
        fleet.run(PAUSE_SECONDS)
        gone_targets = frozenset(each.member.target_number for each in gone)
        stale_without_refresh += len(paused_process.membership.view.available & gone_targets)
        fleet.wake(paused_process)
        chosen, seconds = _resume_and_observe(fleet, paused_process, gone_targets)
        stale += chosen
        longest = max(longest, seconds)
    yield _at_most("targets chosen by an old view after a pause", stale, 0.0, stale_without_refresh)
    yield _at_most("views agree after a pause", longest, AGREEMENT_TARGET_SECONDS, None)


def _resume_and_observe(
    fleet: Fleet, paused_process: Process, gone: frozenset[int]
) -> tuple[int, float]:
    """Return how many stopped targets it could have chosen, and the time until views agreed."""
    chosen: set[int] = set()

    def observe() -> bool:
        if paused_process.membership.is_fresh(fleet.now):
            chosen.update(paused_process.membership.view.available & gone)
        return fleet.agree()

    seconds = fleet.run_until(observe, LONGEST_SECONDS, RESUMPTION_STEP_SECONDS)
    return len(chosen), seconds


def _heartbeat_false_alarms(size: int) -> float:
    """Return the share of members declared dead by some process due to lost heartbeats alone."""
    needed = round(HEARTBEAT_TIMEOUT_SECONDS / HEARTBEAT_SECONDS)
    beats = round((SETTLE_SECONDS + STEADY_SECONDS) / HEARTBEAT_SECONDS)
    runs = [1.0] + [0.0] * (needed - 1)
    alarmed = 0.0
    for _ in range(beats):
        alarmed += runs[-1] * LOSS
        runs = [sum(runs) * (1 - LOSS), *(each * LOSS for each in runs[:-1])]
    return 1 - (1 - alarmed) ** (size - 1)


def _at_most(case: str, value: float, target: float, baseline: float | None) -> Measurement:
    rounded = round(value, 3)
    rounded_baseline = None if baseline is None else round(baseline, 3)
    return Measurement(MEASURE, case, rounded, target, rounded_baseline, value <= target)


def benchmark(size: int) -> float:
    """Return the processor microseconds for one second of a process, network included."""
    fleet = Fleet(size, SEED, LOSS)
    fleet.run(SETTLE_SECONDS)
    start = time.process_time()
    fleet.run(SETTLE_SECONDS)
    return (time.process_time() - start) * 1e6 / (size * SETTLE_SECONDS)


def run() -> None:
    """Print the measures at the sizes on the command line, and the processor time at each."""
    sizes = [int(each) for each in sys.argv[1:]] or SIZES
    quiet_sizes = [] if sys.argv[1:] else QUIET_SIZES
    for measurement in _measure(sizes, quiet_sizes):
        print(measurement.to_json(), flush=True)
    for size in [*sizes, *quiet_sizes]:
        print(f"{size} processes: {benchmark(size):.0f} us of processor a process a second")


if __name__ == "__main__":
    run()
