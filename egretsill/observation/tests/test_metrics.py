"""Metrics: values on the page and limits on labels."""

from __future__ import annotations

import typing

import pytest

from ...outcomes import RefusalReason
from .. import METRIC_DEFINITIONS, LabelMismatch, Metrics
from .._metrics import MAXIMUM_HISTOGRAM_SERIES, MAXIMUM_SERIES


def _page(metrics: Metrics) -> str:
    return metrics.render()[0].decode()


def test_page_shows_counters_gauges_and_histograms() -> None:
    metrics = Metrics()
    metrics.requests_refused.increment("sibiu", "order", RefusalReason.FULL)
    metrics.requests_refused.increment("sibiu", "order", RefusalReason.FULL, amount=2)
    metrics.slots_in_use.set(3)
    metrics.time_to_first_byte_seconds.observe(0.02, "sibiu", "order")
    page = _page(metrics)
    assert 'requests_refused_total{class="order",reason="full",tenant="sibiu"} 3' in page
    assert "egretsill_slots_in_use 3" in page
    assert 'first_byte_seconds_bucket{class="order",le="0.025",tenant="sibiu"} 1.0' in page
    assert 'first_byte_seconds_bucket{class="order",le="0.01",tenant="sibiu"} 0.0' in page
    assert metrics.requests_refused.value("sibiu", "order", RefusalReason.FULL) == 3
    assert metrics.time_to_first_byte_seconds.count("sibiu", "order") == 1


def test_second_rendering_does_not_count_again() -> None:
    metrics = Metrics()
    metrics.flows_opened.increment()
    _page(metrics)
    assert "egretsill_flows_opened_total 1" in _page(metrics)


def test_definitions_match_attributes_of_metrics() -> None:
    declared = set(typing.get_type_hints(Metrics))
    assert {each.attribute for each in METRIC_DEFINITIONS} == declared
    assert all(each.meaning and each.action for each in METRIC_DEFINITIONS)


def test_excess_label_combinations_are_counted_as_other() -> None:
    metrics = Metrics()
    for number in range(MAXIMUM_SERIES + 50):
        metrics.datagrams_dropped.increment("gossip", f"reason-{number}")
    for number in range(MAXIMUM_HISTOGRAM_SERIES + 50):
        metrics.tries.observe(1, f"tenant-{number}", "order")
    page = _page(metrics)
    assert page.count("egretsill_datagrams_dropped_total{") == MAXIMUM_SERIES + 1
    assert 'dropped_total{port="other",reason="other"} 50' in page
    assert page.count("egretsill_tries_count{") == MAXIMUM_HISTOGRAM_SERIES + 1
    assert metrics.datagrams_dropped.total() == MAXIMUM_SERIES + 50


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        pytest.param('a"b', 'reason="a\\"b"', id="quote"),
        pytest.param("a\nb", 'reason="a\\nb"', id="line end"),
        pytest.param("a\\b", 'reason="a\\\\b"', id="backslash"),
        pytest.param("x" * 500, 'reason="' + "x" * 64 + '"', id="too long"),
    ],
)
def test_label_values_are_escaped_and_truncated(value: str, shown: str) -> None:
    metrics = Metrics()
    metrics.datagrams_dropped.increment("gossip", value)
    assert shown in _page(metrics)


def test_wrong_number_of_labels_raises() -> None:
    with pytest.raises(LabelMismatch) as caught:
        Metrics().requests_refused.increment("sibiu")
    assert (caught.value.expected, caught.value.given) == (3, 1)
