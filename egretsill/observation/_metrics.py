"""Typed metrics backed by an aioprometheus registry.

Incrementing a counter is a plain addition, cheap enough for hot paths; the registry is updated when
the page is rendered. The library is imported with the first page, because it takes 0.1 s and 10 MB
that a starting process needs. Each metric keeps a limited number of label combinations; further
ones are counted together under `OTHER_LABEL`.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, TypeAlias, cast

from ._definitions import METRIC_DEFINITIONS, MetricDefinition, MetricKind
from ._exceptions import LabelMismatch

if TYPE_CHECKING:
    from aioprometheus import collectors

MAXIMUM_SERIES = 200
MAXIMUM_HISTOGRAM_SERIES = 64
MAXIMUM_LABEL_CHARACTERS = 64
MAXIMUM_PENDING_OBSERVATIONS = 20_000  # about 3 MB if no page is ever requested
OTHER_LABEL = "other"

LabelValue: TypeAlias = str | enum.Enum

_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})


class _Series:
    """The label combinations of one metric, bounded in number and length."""

    def __init__(self, definition: MetricDefinition, maximum: int) -> None:
        self._definition = definition
        self._maximum = maximum
        self._known: dict[tuple[LabelValue, ...], tuple[str, ...]] = {}

    def key(self, values: tuple[LabelValue, ...]) -> tuple[str, ...]:
        """Return the label combination that these values are counted under.

        Raises:
            LabelMismatch: if there are more or fewer values than labels.
        """
        known = self._known.get(values)
        if known is not None:
            return known
        expected = len(self._definition.labels)
        if len(values) != expected:
            raise LabelMismatch(self._definition.name, expected, len(values))
        if len(self._known) >= self._maximum:
            return (OTHER_LABEL,) * expected
        key = tuple(_escape_label(each) for each in values)
        self._known[values] = key
        return key

    def labels(self, key: tuple[str, ...]) -> dict[str, str]:
        """Return a combination as labels for aioprometheus."""
        return dict(zip(self._definition.labels, key, strict=True))


class Counter:
    """Counts events; the value only increases."""

    def __init__(self, definition: MetricDefinition) -> None:
        self._definition = definition
        self._collector: collectors.Counter | None = None
        self._series = _Series(definition, MAXIMUM_SERIES)
        self._totals: dict[tuple[str, ...], float] = {}

    def increment(self, *labels: LabelValue, amount: float = 1) -> None:
        """Add `amount` to the count of these label values.

        Raises:
            LabelMismatch: if there are more or fewer values than labels.
        """
        key = self._series.key(labels)
        self._totals[key] = self._totals.get(key, 0) + amount

    def raise_to(self, total: float, *labels: LabelValue) -> None:
        """Raise the counter to a total that is kept elsewhere."""
        difference = total - self.value(*labels)
        if difference > 0:
            self.increment(*labels, amount=difference)

    def value(self, *labels: LabelValue) -> float:
        """Return the count of these label values."""
        return self._totals.get(self._series.key(labels), 0)

    def total(self) -> float:
        """Return the count over all label values."""
        return sum(self._totals.values())

    def flush(self, registry: collectors.Registry) -> None:
        """Write the current values to the registry."""
        if self._collector is None:
            from aioprometheus import collectors

            definition = self._definition
            self._collector = collectors.Counter(
                definition.name, definition.meaning, registry=registry
            )
        for key, total in self._totals.items():
            self._collector.set(self._series.labels(key), total)


class Gauge:
    """A value that can increase and decrease."""

    def __init__(self, definition: MetricDefinition) -> None:
        self._definition = definition
        self._collector: collectors.Gauge | None = None
        self._series = _Series(definition, MAXIMUM_SERIES)
        self._values: dict[tuple[str, ...], float] = {}

    def set(self, value: float, *labels: LabelValue) -> None:
        """Set the value of these label values.

        Raises:
            LabelMismatch: if there are more or fewer values than labels.
        """
        self._values[self._series.key(labels)] = value

    def value(self, *labels: LabelValue) -> float:
        """Return the value of these label values, 0 if it was never set."""
        return self._values.get(self._series.key(labels), 0)

    def flush(self, registry: collectors.Registry) -> None:
        """Write the current values to the registry."""
        if self._collector is None:
            from aioprometheus import collectors

            definition = self._definition
            self._collector = collectors.Gauge(
                definition.name, definition.meaning, registry=registry
            )
        for key, value in self._values.items():
            self._collector.set(self._series.labels(key), value)


class Histogram:
    """Distribution of a measured quantity by tenant and class."""

    def __init__(self, definition: MetricDefinition) -> None:
        self._definition = definition
        self._collector: collectors.Histogram | None = None
        self._series = _Series(definition, MAXIMUM_HISTOGRAM_SERIES)
        self._pending: list[tuple[tuple[str, ...], float]] = []
        self._registered = False

    def observe(self, value: float, *labels: LabelValue) -> None:
        """Add one measured value.

        Raises:
            LabelMismatch: if there are more or fewer values than labels.
        """
        self._pending.append((self._series.key(labels), float(value)))
        if len(self._pending) >= MAXIMUM_PENDING_OBSERVATIONS:
            self._drain_pending()

    def count(self, *labels: LabelValue) -> int:
        """Return how many values were observed for these label values."""
        collector = self._drain_pending()
        try:
            distribution = collector.get(self._series.labels(self._series.key(labels)))
        except KeyError:
            return 0
        return cast(int, distribution[collector.COUNT_KEY])

    def flush(self, registry: collectors.Registry) -> None:
        """Write the current values to the registry."""
        collector = self._drain_pending()
        if not self._registered:
            registry.register(collector)
            self._registered = True

    def _drain_pending(self) -> collectors.Histogram:
        if self._collector is None:
            from aioprometheus import collectors

            definition = self._definition
            self._collector = collectors.Histogram(
                definition.name,
                definition.meaning,
                registry=collectors.Registry(),
                buckets=definition.buckets,
            )
        for key, value in self._pending:
            self._collector.observe(self._series.labels(key), value)
        self._pending.clear()
        return self._collector


class Metrics:
    """All metrics of one process; the attributes are described by `METRIC_DEFINITIONS`."""

    datagrams_forwarded: Counter
    flow_packets: Counter
    flows_spilled: Counter
    flow_requests: Counter
    flows_refused: Counter
    datagrams_dropped: Counter
    messages_malformed: Counter
    first_packets_rerouted: Counter
    flows_opened: Counter
    flows_closed: Counter
    requests_ended: Counter
    requests_refused: Counter
    requests_unknown: Counter
    requests_rerouted: Counter
    requests_retried: Counter
    relay_links_lost: Counter
    answers_resumed: Counter
    backend_failures: Counter
    configuration_conflicts: Counter
    configuration_ignored: Counter
    platform_reads: Counter
    store_returns: Counter
    entries_outdated: Counter
    membership_changes: Counter
    gossip_messages: Counter
    clock_jumps: Counter
    failures_contained: Counter
    admin_requests: Counter
    admin_connections_refused: Counter
    flows_open: Gauge
    subscriptions_open: Gauge
    uploads_open: Gauge
    slots: Gauge
    slots_in_use: Gauge
    requests_queued: Gauge
    relay_links_open: Gauge
    domains_evacuated: Gauge
    revision_in_force: Gauge
    store_era: Gauge
    draining: Gauge
    endpoint_open: Gauge
    members: Gauge
    request_wait_seconds: Histogram
    time_to_first_byte_seconds: Histogram
    expected_first_byte_seconds: Histogram
    answer_seconds: Histogram
    queue_wait_seconds: Histogram
    tries: Histogram

    def __init__(self) -> None:
        self._registry: collectors.Registry | None = None
        self._all: list[Counter | Gauge | Histogram] = []
        for definition in METRIC_DEFINITIONS:
            setattr(self, definition.attribute, self._create_metric(definition))

    def render(self, accept: Sequence[str] = ()) -> tuple[bytes, dict[str, str]]:
        """Return the page of all metrics and its HTTP headers.

        Args:
            accept: values of the request's Accept headers.
        """
        from aioprometheus import collectors, renderer

        if self._registry is None:
            self._registry = collectors.Registry()
        for metric in self._all:
            metric.flush(self._registry)
        return renderer.render(self._registry, list(accept))

    def _create_metric(self, definition: MetricDefinition) -> Counter | Gauge | Histogram:
        metric: Counter | Gauge | Histogram
        match definition.kind:
            case MetricKind.COUNTER:
                metric = Counter(definition)
            case MetricKind.GAUGE:
                metric = Gauge(definition)
            case MetricKind.HISTOGRAM:
                metric = Histogram(definition)
        self._all.append(metric)
        return metric


def _escape_label(value: LabelValue) -> str:
    """Return a label value, truncated and escaped for the text format."""
    text = str(value.value) if isinstance(value, enum.Enum) else value
    return text[:MAXIMUM_LABEL_CHARACTERS].translate(_ESCAPES)
