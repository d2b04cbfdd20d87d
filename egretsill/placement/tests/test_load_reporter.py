from __future__ import annotations

from random import Random

import pytest

from ...wire import Codec
from .. import LOAD_TYPES, LoadReport, LoadReporter
from .._load_reporter import REPORT_BYTES
from .fakes import make_report, make_service


def make_reporter(count: int = 3) -> LoadReporter:
    return LoadReporter(1, make_service(count), Random(7))


def test_report_round_trips_within_size_limit() -> None:
    codec: Codec[LoadReport] = Codec("load", LOAD_TYPES)
    report = make_report(2**32 - 1, 2**40, 123.456, 4, 8, 2000, True, 1e6, 2**40)
    assert codec.decode(codec.encode(report)) == report
    assert len(codec.encode(report)) <= REPORT_BYTES


@pytest.mark.parametrize(
    ("report", "seconds", "sent"),
    [
        pytest.param(make_report(1), 0.2, False, id="no change before the interval"),
        pytest.param(make_report(1), 0.7, True, id="interval over"),
        pytest.param(make_report(1, weight=4.0), 0.2, True, id="big change"),
        pytest.param(make_report(1, weight=3.0), 0.2, False, id="small change"),
        pytest.param(make_report(1, weight=9.0), 0.05, False, id="big change too soon"),
        pytest.param(make_report(1, draining=True), 0.01, True, id="draining"),
    ],
)
def test_report_is_sent_when_due(report: LoadReport, seconds: float, sent: bool) -> None:
    reporter = make_reporter()
    assert reporter.poll(make_report(1), 0.0) is not None
    assert (reporter.poll(report, seconds) is not None) == sent


@pytest.mark.parametrize("count", [pytest.param(3, id="small"), pytest.param(1000, id="large")])
def test_byte_rate_is_bounded(count: int) -> None:
    reporter = make_reporter(count)
    sent = 0
    for step in range(1000):
        made = reporter.poll(make_report(1, weight=100.0 * (step % 2)), step / 100)
        sent += 0 if made is None else len(made.targets)
    assert 0 < sent * REPORT_BYTES <= 18_000 / 2 * 10


def test_lone_target_sends_no_report() -> None:
    assert make_reporter(1).poll(make_report(1), 0.0) is None
