from __future__ import annotations

import pytest

from .._speed import SpeedEvidence, compare_speeds


def serve(evidence: SpeedEvidence, seconds: float, weight: float, until: float) -> None:
    now = evidence.slot_seconds
    while now + seconds <= until:
        evidence.started(now)
        now += seconds
        evidence.ended(weight, now)


@pytest.mark.parametrize(
    ("seconds", "slower"),
    [
        pytest.param(0.1, 1.0, id="same speed"),
        pytest.param(0.2, 0.5, id="half as fast"),
        pytest.param(0.4, 0.25, id="a quarter as fast"),
    ],
)
def test_speed_ratio_is_estimated(seconds: float, slower: float) -> None:
    one, other = SpeedEvidence(), SpeedEvidence()
    serve(one, 0.1, 1.0, 60.0)
    serve(other, seconds, 1.0, 60.0)
    compare_speeds([one, other], 60.0)
    assert other.speed / one.speed == pytest.approx(slower, rel=0.1)


def test_speeds_are_equal_without_evidence() -> None:
    one, other = SpeedEvidence(), SpeedEvidence()
    compare_speeds([one, other], 5.0)
    assert (one.speed, other.speed) == (1.0, 1.0)


def test_hanging_request_lowers_speed() -> None:
    one, other = SpeedEvidence(), SpeedEvidence()
    serve(one, 0.1, 1.0, 10.0)
    serve(other, 0.1, 1.0, 5.0)
    other.started(5.0)
    compare_speeds([one, other], 10.0)
    assert other.speed < one.speed


def test_evidence_decays() -> None:
    evidence = SpeedEvidence()
    serve(evidence, 0.1, 1.0, 10.0)
    before = evidence.weight
    evidence.decay_to(30.0)
    assert evidence.weight < before / 3.9
