from __future__ import annotations

import math

import pytest

from .._claims import ReportedClaims
from .fakes import make_report


@pytest.mark.parametrize(
    ("ran_at", "now", "believed"),
    [
        pytest.param(None, 5.0, True, id="claimed lately"),
        pytest.param(None, 15.0, False, id="claimed too long without proof"),
        pytest.param(3.0, 5.0, False, id="a request was run since"),
        pytest.param(0.1, 5.0, True, id="a request was on its way"),
        pytest.param(-1.0, 5.0, True, id="a request was run before"),
        pytest.param(3.0, 200.0, False, id="same claim again after the distrust"),
    ],
)
def test_claim_of_draining(ran_at: float | None, now: float, believed: bool) -> None:
    claims = ReportedClaims()
    if ran_at is not None and ran_at < 0.0:
        claims.ran_request(ran_at)
    claims.take(make_report(1, 1, draining=True), 0.0)
    if ran_at is not None and ran_at >= 0.0:
        claims.ran_request(ran_at)
    claims.take(make_report(1, 2, draining=True), now)
    assert claims.draining(now) == believed


def test_withdrawn_claim_of_draining_is_forgotten_and_a_new_one_believed() -> None:
    claims = ReportedClaims()
    claims.take(make_report(1, 1, draining=True), 0.0)
    claims.take(make_report(1, 2), 1.0)
    assert not claims.draining(1.0)
    claims.take(make_report(1, 3, draining=True), 100.0)
    assert claims.draining(100.0)


def test_cold_server_is_used_more_and_more() -> None:
    claims = ReportedClaims()
    claims.take(make_report(1, 1, age_seconds=0.0), 100.0)
    shares = [claims.usable_share(100.0 + seconds) for seconds in (0.0, 10.0, 20.0, 30.0)]
    assert shares == [0.25, 0.625, 1.0, 1.0]


def test_server_that_always_claims_to_be_new_is_soon_used_in_full() -> None:
    claims = ReportedClaims()
    for second in range(200):
        claims.take(make_report(1, second + 1, age_seconds=0.0), 100.0 + second)
    assert claims.usable_share(300.0) == 1.0


@pytest.mark.parametrize(
    "number",
    [
        pytest.param(math.nan, id="not a number"),
        pytest.param(math.inf, id="infinite"),
        pytest.param(-1.0, id="negative"),
    ],
)
def test_implausible_reports_are_ignored(number: float) -> None:
    claims = ReportedClaims()
    assert not claims.take(make_report(1, 1, age_seconds=number, draining=True), 0.0)
    assert not claims.take(make_report(1, 1, weight=number, draining=True), 0.0)
    assert not claims.draining(0.0)
    assert claims.usable_share(0.0) == 1.0
