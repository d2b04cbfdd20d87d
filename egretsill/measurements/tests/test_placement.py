from __future__ import annotations

import pytest

from .._placement_deployment import Behaviour, Deployment
from .._placement_load import ServiceUnderLoad, Totals
from .._placement_policies import BASELINES, make_placement
from ..placement import imbalance, percentile

HEALTHY = Behaviour()


@pytest.mark.parametrize(
    ("behaviour", "weight"),
    [
        pytest.param(HEALTHY, 1000.0, id="healthy"),
        pytest.param(Behaviour(speed=0.5), 500.0, id="slow"),
        pytest.param(Behaviour(sheds_for=3.0), 700.0, id="sheds three seconds of ten"),
        pytest.param(Behaviour(starts_at=0.0, warmup_seconds=20.0), 650.0, id="in warm-up"),
    ],
)
def test_capacity_by_behaviour(behaviour: Behaviour, weight: float) -> None:
    deployment = Deployment("catalog", 4, 0.004, (behaviour,))
    assert deployment.capacity(1, 0.0, 20.0) == pytest.approx(weight, rel=0.01)


@pytest.mark.parametrize(
    ("served", "expected"),
    [
        pytest.param([500.0, 500.0], 1.0, id="even"),
        pytest.param([750.0, 250.0], 1.5, id="one has three quarters"),
    ],
)
def test_imbalance_is_maximum_over_mean(served: list[float], expected: float) -> None:
    deployment = Deployment("catalog", 4, 0.004, (HEALTHY, HEALTHY))
    totals = Totals([[0.0] * 10, *([each / 10] * 10 for each in served)])
    assert imbalance(deployment, totals, 0, 10) == pytest.approx(expected)


def test_imbalance_accounts_for_target_capacity() -> None:
    deployment = Deployment("catalog", 4, 0.004, (HEALTHY, Behaviour(speed=0.5)))
    totals = Totals([[0.0] * 10, [40.0] * 10, [20.0] * 10])
    assert imbalance(deployment, totals, 0, 10) == pytest.approx(1.0)


def test_percentile() -> None:
    assert percentile([float(number) for number in range(100)], 0.99) == 99.0
    assert percentile([3.0, 1.0, 2.0], 0.5) == 2.0


def test_same_seed_gives_the_same_run() -> None:
    deployment = Deployment("upload", 2, 0.004, (HEALTHY, Behaviour(speed=0.6)))
    runs = [ServiceUnderLoad(deployment, 0.5, make_placement, 2.0, 7).run() for _ in range(2)]
    assert runs[0] == runs[1]
    assert runs[0].useful_weight > 0.0


@pytest.mark.parametrize("name", list(BASELINES))
def test_baselines_serve_a_light_load_without_refusals(name: str) -> None:
    deployment = Deployment("upload", 4, 0.004, (HEALTHY, HEALTHY))
    totals = ServiceUnderLoad(deployment, 0.1, BASELINES[name], 0.0, 7).run()
    assert totals.refused == 0
    assert totals.useful_weight > 0.0
