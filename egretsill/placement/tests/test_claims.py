from __future__ import annotations

import math

import pytest

from .._claims import ReportedClaims
from .fakes import make_report


@pytest.mark.parametrize(
    ("ran_at", "now", "in_effect"),
    [
        pytest.param(None, 5.0, True, id="recent claim"),
        pytest.param(None, 15.0, False, id="claim expired"),
        pytest.param(3.0, 5.0, False, id="request started since"),
        pytest.param(0.1, 5.0, True, id="request was in flight"),
        pytest.param(-1.0, 5.0, True, id="request started before"),
        pytest.param(3.0, 200.0, False, id="claim repeated after the ignore period"),
    ],
)
def test_draining_claim(ran_at: float | None, now: float, in_effect: bool) -> None:
    claims = ReportedClaims()
    if ran_at is not None and ran_at < 0.0:
        claims.request_started(ran_at)
    claims.apply_report(make_report(1, 1, draining=True), 0.0)
    if ran_at is not None and ran_at >= 0.0:
        claims.request_started(ran_at)
    claims.apply_report(make_report(1, 2, draining=True), now)
    assert claims.draining(now) == in_effect


def test_new_draining_claim_after_withdrawal_is_accepted() -> None:
    claims = ReportedClaims()
    claims.apply_report(make_report(1, 1, draining=True), 0.0)
    claims.apply_report(make_report(1, 2), 1.0)
    assert not claims.draining(1.0)
    claims.apply_report(make_report(1, 3, draining=True), 100.0)
    assert claims.draining(100.0)


def test_usable_share_grows_during_warm_up() -> None:
    claims = ReportedClaims()
    claims.apply_report(make_report(1, 1, age_seconds=0.0), 100.0)
    shares = [claims.usable_share(100.0 + seconds) for seconds in (0.0, 10.0, 20.0, 30.0)]
    assert shares == [0.25, 0.625, 1.0, 1.0]


def test_repeated_restart_claims_do_not_extend_warm_up() -> None:
    claims = ReportedClaims()
    for second in range(200):
        claims.apply_report(make_report(1, second + 1, age_seconds=0.0), 100.0 + second)
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
    assert not claims.apply_report(make_report(1, 1, age_seconds=number, draining=True), 0.0)
    assert not claims.apply_report(make_report(1, 1, weight=number, draining=True), 0.0)
    assert not claims.draining(0.0)
    assert claims.usable_share(0.0) == 1.0
