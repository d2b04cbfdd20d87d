"""Counters, histograms, state pages and log lines."""

from ._admin_server import JSON, AdminRefusal, AdminServer
from ._definitions import METRIC_DEFINITIONS, MetricDefinition, MetricKind
from ._endpoint_states import EndpointOpened, EndpointStates, EndpointUnavailable
from ._exceptions import LabelMismatch, LogFileUnavailable
from ._health import HealthProblem, HealthState
from ._journal import Journal, NonBlockingStream, log_to_standard_output
from ._log_values import LogValue
from ._logging import StateChange, StateKind, StateLog, open_log
from ._metrics import Counter, Gauge, Histogram, LabelValue, Metrics
from ._reference import log_reference, metric_reference

__all__ = [
    "AdminRefusal",
    "AdminServer",
    "Counter",
    "EndpointOpened",
    "EndpointStates",
    "EndpointUnavailable",
    "Gauge",
    "HealthProblem",
    "HealthState",
    "Histogram",
    "JSON",
    "Journal",
    "LabelMismatch",
    "LabelValue",
    "LogFileUnavailable",
    "LogValue",
    "METRIC_DEFINITIONS",
    "MetricDefinition",
    "MetricKind",
    "Metrics",
    "NonBlockingStream",
    "StateChange",
    "StateKind",
    "StateLog",
    "log_reference",
    "metric_reference",
    "open_log",
    "log_to_standard_output",
]
