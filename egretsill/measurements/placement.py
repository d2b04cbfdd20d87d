"""Measures placement and admission under load, faults and misleading load reports.

The weight that a target served (each order at its heavier weight, each listing at its lighter one)
divided by the weight that it could serve (its slots, at its speed, while it sheds nothing) is its
utilisation. Imbalance is the maximum utilisation divided by the mean; once over the whole measured
minute, and once as the 99th percentile of the ten-second windows in it. Each service has a target
in warm-up, a slow and a shedding one, and reports are two seconds old when they arrive. The slot
imbalance ignores speed and shedding: it is the maximum divided by the mean of the weight served for
each slot, which a policy that loads targets by their capacity doesn't equalise.

The baseline of each value is the best of random, round robin and least reported.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from random import Random

from ..placement import LoadReport
from ._measurement import Measurement
from ._placement_deployment import MEASURED_SECONDS, WARM_UP_SECONDS, Behaviour, Deployment
from ._placement_load import ServiceUnderLoad, Totals
from ._placement_policies import BASELINES, MakePolicy, make_placement

WINDOW_SECONDS = 10
OLD_REPORT_SECONDS = 2.0
HONEST_IMBALANCE = 1.10
MISLEADING_IMBALANCE = 1.25
USEFUL_SHARE = 0.95
RETRY_SHARE = 0.10
FIRST_BYTE_SECONDS = 1.0
LOADS = (0.5, 0.8, 1.2)
SEED = 20261204


def claim_idle(report: LoadReport, random: Random) -> LoadReport:
    """Return a report of a healthy target that has nothing to do."""
    return dataclasses.replace(
        report,
        outstanding_weight=0.0,
        running=0,
        queued=0,
        server_age_seconds=3_600.0,
    )


def claim_busy(report: LoadReport, random: Random) -> LoadReport:
    """Return a report of a target whose queue is full."""
    slots = report.slots
    return dataclasses.replace(
        report, outstanding_weight=6.0 * slots, running=slots, queued=2 * slots
    )


def claim_anything(report: LoadReport, random: Random) -> LoadReport:
    """Return a report with random values, independent of the target's state."""
    return dataclasses.replace(
        report,
        outstanding_weight=random.uniform(0.0, 6.0 * report.slots),
        running=random.randint(0, report.slots),
        queued=random.randint(0, 2 * report.slots),
        server_age_seconds=random.uniform(0.0, 3_600.0),
    )


def claim_leaving(report: LoadReport, random: Random) -> LoadReport:
    """Return a report of a target that has just started and is draining."""
    return dataclasses.replace(report, draining=True, server_age_seconds=0.0)


WARMING_UP = Behaviour(starts_at=WARM_UP_SECONDS + 5.0)
SLOW = Behaviour(speed=0.6)
SHEDDING = Behaviour(sheds_for=3.0)
HEALTHY = Behaviour()
SEVEN = (WARMING_UP, HEALTHY, SLOW, HEALTHY, SHEDDING, HEALTHY, HEALTHY)
THREE = (WARMING_UP, SLOW, SHEDDING)


def _with_distorted_reports(behaviours: Sequence[Behaviour]) -> tuple[Behaviour, ...]:
    distortions = (
        claim_idle,
        claim_busy,
        claim_idle,
        claim_leaving,
        claim_anything,
        None,
        None,
    )
    return tuple(
        dataclasses.replace(each, distortion=distortion)
        for each, distortion in zip(behaviours, distortions, strict=False)
    )


def deployments(honest: bool) -> Sequence[Deployment]:
    """Return the users' services, each with a target in warm-up, a slow and a shedding one."""
    seven = SEVEN if honest else _with_distorted_reports(SEVEN)
    three = THREE if honest else _with_distorted_reports(THREE)
    return (
        Deployment("hakusana", 4, 0.005, seven),
        Deployment("vastaanotto", 4, 0.005, three),
        Deployment("catalog", 2, 0.004, seven),
        Deployment("upload", 2, 0.004, three),
    )


def windows(deployment: Deployment, totals: Totals) -> Sequence[float]:
    """Return the imbalance of each window of ten seconds, one window starting every second."""
    last = int(WARM_UP_SECONDS + MEASURED_SECONDS) - WINDOW_SECONDS
    begins = range(int(WARM_UP_SECONDS), last + 1)
    return [imbalance(deployment, totals, begin, begin + WINDOW_SECONDS) for begin in begins]


def imbalance(deployment: Deployment, totals: Totals, begin: int, end: int) -> float:
    """Return the maximum divided by the mean of the weight served, relative to capacity."""
    shares = []
    for target in range(1, len(deployment.behaviours) + 1):
        served = sum(totals.work[target][begin:end])
        shares.append(served / deployment.capacity(target, begin, end))
    return max(shares) * len(shares) / sum(shares)


def slot_imbalance(totals: Totals, begin: int, end: int) -> float:
    """Return the maximum divided by the mean of the weight served; all have the same slots."""
    served = [sum(work[begin:end]) for work in totals.work[1:]]
    return max(served) * len(served) / sum(served)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that `share` of the values don't exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """The results of one run."""

    imbalance: float
    imbalance_99: float
    slot_imbalance: float
    first_byte_99: float
    refused_share: float
    useful_share: float
    retry_share: float
    late_share: float
    late_useful: float


def figures(deployment: Deployment, load: float, make_policy: MakePolicy) -> Figures:
    """Return the results of one policy under one load."""
    totals = ServiceUnderLoad(deployment, load, make_policy, OLD_REPORT_SECONDS, SEED).run()
    begin, end = int(WARM_UP_SECONDS), int(WARM_UP_SECONDS + MEASURED_SECONDS)
    capacity = sum(
        deployment.capacity(target, begin, end)
        for target in range(1, len(deployment.behaviours) + 1)
    )
    return Figures(
        imbalance=imbalance(deployment, totals, begin, end),
        imbalance_99=percentile(windows(deployment, totals), 0.99),
        slot_imbalance=slot_imbalance(totals, begin, end),
        first_byte_99=percentile(totals.first_bytes, 0.99),
        refused_share=totals.refused / totals.first_tries,
        useful_share=totals.useful_weight / capacity,
        retry_share=totals.retries / totals.first_tries,
        late_share=totals.late / totals.first_tries,
        late_useful=float(sum(margin < 0.0 for margin in totals.useful_margins)),
    )


def measure() -> Sequence[Measurement]:
    """Return imbalance, useful work, retries, refusals and time to first byte in every case."""
    return [
        line
        for honest in (True, False)
        for each in deployments(honest)
        for line in _lines(each, honest)
    ]


def _lines(deployment: Deployment, honest: bool) -> Iterator[Measurement]:
    reports = "old reports" if honest else "misleading reports"
    runs = {load: figures(deployment, load, make_placement) for load in LOADS}
    others = {load: _baselines(deployment, load) for load in (0.8, 1.2)}
    bound = HONEST_IMBALANCE if honest else MISLEADING_IMBALANCE
    case = f"{deployment.name}, {reports}, load 80%"
    for name in ("imbalance", "imbalance_99", "slot_imbalance"):
        value = getattr(runs[0.8], name)
        best = min(getattr(each, name) for each in others[0.8])
        yield Measurement(f"placement.{name}", case, value, bound, best, value <= bound)
    case = f"{deployment.name}, {reports}, load 120%"
    value = runs[1.2].useful_share
    best = max(each.useful_share for each in others[1.2])
    yield Measurement("placement.useful", case, value, USEFUL_SHARE, best, value >= USEFUL_SHARE)
    yield from _bounds(deployment, reports, runs)


def _bounds(
    deployment: Deployment, reports: str, runs: Mapping[float, Figures]
) -> Iterator[Measurement]:
    for load, run in runs.items():
        case = f"{deployment.name}, {reports}, load {load:.0%}"
        bounds = (
            ("placement.retries", run.retry_share, RETRY_SHARE),
            ("placement.useful_past_deadline", run.late_useful, 0.0),
            ("placement.first_byte_seconds_99", run.first_byte_99, FIRST_BYTE_SECONDS),
        )
        for name, value, target in bounds:
            yield Measurement(name, case, value, target, None, value <= target)


def _baselines(deployment: Deployment, load: float) -> Sequence[Figures]:
    return [figures(deployment, load, make_policy) for make_policy in BASELINES.values()]
