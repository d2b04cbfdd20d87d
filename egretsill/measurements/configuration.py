"""Measures the time, cost and reliability of bringing a published configuration into force.

Bytes are those that a process sends and receives, including headers and its reads of the VM list.
The baselines are a fleet in which every process watches the platform, and one that transfers the
complete bundle with each change. A process that is cut from the platform never gets a change by its
own watch; the limit of the run is used as its baseline.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from ..configuration import Publication, encode_publication
from ._configuration_content import content_reads, make_history
from ._configuration_fleet import ConfigurationFleet
from ._measurement import Measurement

MEASURE = "configuration"
SEED = 17
SIZES = (60, 200, 600, 1300)
SERVICES_AT_LARGEST = 1900
CHANGES = 3
RECENT_CHANGES = 40
CHANGES_A_DAY = 6400
SECONDS_A_DAY = 86_400
SENT_AND_RECEIVED = 2
START_SECONDS = 8.0
SETTLE_SECONDS = 5.0
LIMIT_SECONDS = 60.0
READS_FOR_A_CHANGE = 2
FAILING_SECONDS = 30.0
HOUR_SECONDS = 3600.0
HOUR_SIZE = 12

REACHABLE_TARGET_SECONDS = 5.0
CUT_TARGET_SECONDS = 11.0
READS_TARGET = 2000.0
BYTES_TARGET = 18_000.0


def measure(sizes: Sequence[int] = SIZES) -> Sequence[Measurement]:
    """Run all cases from fixed seeds."""
    return list(_measure(sizes))


def _measure(sizes: Sequence[int]) -> Iterator[Measurement]:
    for size in sizes:
        services = SERVICES_AT_LARGEST * size // SIZES[-1]
        history = make_history(services, RECENT_CHANGES + CHANGES + 3)[RECENT_CHANGES:]
        fleet = ConfigurationFleet(size, SEED)
        fleet.publish(history[0])
        fleet.run(START_SECONDS)
        yield _measure_restart(f"all processes restarted at once, {size}", fleet, history[0])
        yield from _measure_changes(fleet, history, size)
        yield _measure_cut(fleet, history[CHANGES + 1], size)
        yield _measure_lost_readers(fleet, history[CHANGES + 2], size)
        yield _measure_backwards(f"all changes, {size}", fleet.backwards)
    yield _measure_failing_restart(sizes[-1])
    yield _measure_outage()


def _measure_restart(case: str, fleet: ConfigurationFleet, publication: Publication) -> Measurement:
    value = float(max(fleet.platform.reads.values()))
    each = 2 + content_reads(publication, None)
    baseline = float(len(fleet.processes) * each)
    holds = value < READS_TARGET and fleet.in_force_everywhere(publication.head.revision)
    return Measurement(
        MEASURE, f"reads in the worst second, {case}", value, READS_TARGET, baseline, holds
    )


def _measure_changes(
    fleet: ConfigurationFleet, history: Sequence[Publication], size: int
) -> Iterator[Measurement]:
    interval = SECONDS_A_DAY / CHANGES_A_DAY
    sent, start, slowest = fleet.bytes_sent, fleet.now, 0.0
    for publication in history[1 : CHANGES + 1]:
        fleet.publish(publication)
        seconds = fleet.run_until_in_force(publication.head.revision, LIMIT_SECONDS)
        slowest = max(slowest, seconds)
        fleet.run(max(0.0, interval - seconds))
    case = f"seconds until in force, platform well, {size}"
    watched_by_all = size * READS_FOR_A_CHANGE / READS_TARGET
    yield _at_most(case, slowest, REACHABLE_TARGET_SECONDS, watched_by_all)
    sent_rate = (fleet.bytes_sent - sent) / (fleet.now - start) / size
    rate = SENT_AND_RECEIVED * sent_rate + fleet.vm_list_bytes_per_second
    values = encode_publication(history[0])
    page_bytes = sum(len(value) for key, value in values.items() if key.startswith("page/"))
    baseline = page_bytes * CHANGES_A_DAY / SECONDS_A_DAY
    yield _less_than(
        f"bytes a process a second, sent and received with the VM list, {size}",
        rate,
        BYTES_TARGET,
        baseline,
    )


def _measure_cut(fleet: ConfigurationFleet, publication: Publication, size: int) -> Measurement:
    domains = sorted({process.peer.failure_domain for process in fleet.processes})
    fleet.platform.cut.update(domains[:2])
    fleet.publish(publication)
    seconds = fleet.run_until_in_force(publication.head.revision, LIMIT_SECONDS)
    fleet.platform.cut.clear()
    case = f"seconds until in force, two of three failure domains cut, {size}"
    return _at_most(case, seconds, CUT_TARGET_SECONDS, LIMIT_SECONDS)


def _measure_lost_readers(
    fleet: ConfigurationFleet, publication: Publication, size: int
) -> Measurement:
    """Stop all readers while the VM list still names them, so that the others read themselves."""
    fleet.run(SETTLE_SECONDS)
    fleet.platform.reads.clear()
    fleet.stop_readers()
    fleet.publish(publication)
    fleet.run_until_in_force(publication.head.revision, LIMIT_SECONDS)
    holds_in_force = fleet.in_force_everywhere(publication.head.revision)
    value = float(max(fleet.platform.reads.values()))
    case = f"reads in the worst second, all readers lost, {size}"
    holds = value < READS_TARGET and holds_in_force
    return Measurement(MEASURE, case, value, READS_TARGET, None, holds)


def _measure_failing_restart(size: int) -> Measurement:
    """Restart all processes while the platform fails; every failed read counts."""
    fleet = ConfigurationFleet(size, SEED)
    fleet.platform.down = True
    fleet.run(FAILING_SECONDS)
    value = float(max(fleet.platform.reads.values()))
    case = f"reads in the worst second, all restarted and the platform failing, {size}"
    return _less_than(case, value, READS_TARGET, None)


def _measure_outage() -> Measurement:
    """Replace every process during an outage of an hour, after which old values are served."""
    history = make_history(HOUR_SIZE, 4)
    fleet = ConfigurationFleet(HOUR_SIZE, SEED)
    fleet.publish(history[2])
    fleet.run(START_SECONDS)
    fleet.platform.down = True
    for number in range(HOUR_SIZE):
        fleet.replace(number)
        fleet.run(HOUR_SECONDS / HOUR_SIZE)
    fleet.platform.down = False
    fleet.publish(history[0])
    fleet.run(LIMIT_SECONDS)
    for number in range(HOUR_SIZE):
        fleet.replace(number)
        fleet.run(START_SECONDS)
    started_low = sum(process.revisions[:1] != [3] for process in fleet.processes)
    return _measure_backwards("an hour's outage, then old values", fleet.backwards + started_low)


def _measure_backwards(case: str, count: int) -> Measurement:
    return _at_most(f"processes gone backwards, {case}", float(count), 0.0, None)


def _at_most(case: str, value: float, target: float, baseline: float | None) -> Measurement:
    return Measurement(MEASURE, case, round(value, 3), target, baseline, value <= target)


def _less_than(case: str, value: float, target: float, baseline: float | None) -> Measurement:
    return Measurement(MEASURE, case, round(value, 3), target, baseline, value < target)
