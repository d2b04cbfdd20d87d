"""Definitions of all metrics: name, labels, meaning and operator action.

The metric registry and the table in the operators' guide are both generated from these definitions,
so they can't differ.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass


class MetricKind(enum.Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class MetricDefinition:
    """Definition of one metric.

    Attributes:
        attribute: name of the attribute of `Metrics`.
        kind: type of the metric.
        labels: label names, in the order in which callers give the values.
        meaning: what is counted or measured, with its unit.
        action: what an operator should do about it.
        buckets: upper bounds of a histogram, in the unit of the metric.
    """

    attribute: str
    kind: MetricKind
    labels: tuple[str, ...]
    meaning: str
    action: str
    buckets: tuple[float, ...] = ()

    @property
    def name(self) -> str:
        """Return the exposed name of the metric."""
        suffix = "_total" if self.kind is MetricKind.COUNTER else ""
        return f"egretsill_{self.attribute}{suffix}"


SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 120)
TRIES_BUCKETS = (1.0, 2.0, 3.0, 4.0, 6.0, 8.0)

_NO_ACTION = "Nothing: it shows the load."


def _counter(
    attribute: str, labels: tuple[str, ...], meaning: str, action: str
) -> MetricDefinition:
    return MetricDefinition(attribute, MetricKind.COUNTER, labels, meaning, action)


def _gauge(
    attribute: str, labels: tuple[str, ...], meaning: str, action: str = _NO_ACTION
) -> MetricDefinition:
    return MetricDefinition(attribute, MetricKind.GAUGE, labels, meaning, action)


def _histogram(
    attribute: str, meaning: str, action: str, buckets: tuple[float, ...] = SECONDS_BUCKETS
) -> MetricDefinition:
    labels = ("tenant", "class")
    return MetricDefinition(attribute, MetricKind.HISTOGRAM, labels, meaning, action, buckets)


METRIC_DEFINITIONS: Sequence[MetricDefinition] = (
    _counter(
        "datagrams_forwarded",
        ("direction",),
        "Datagrams passed on: to an agent, or back to a caller.",
        _NO_ACTION,
    ),
    _counter(
        "flow_packets",
        ("role", "reason"),
        "Packets of flows steered by address that were sent on or refused, by why.",
        "Look up rising reasons other than known-owner in the journal's lines of the same name.",
    ),
    _counter(
        "flows_spilled",
        ("failure_domain",),
        "New flows that a balancer sent to a target of another failure domain, by that domain.",
        "Many of them while own targets are idle: compare finish in flow-new-flow lines.",
    ),
    _counter(
        "flows_refused",
        ("reason", "route"),
        "Flows steered by address that were reset, by why and by route.",
        "Look up the reason in the journal's lines flow-refused.",
    ),
    _counter(
        "flow_requests",
        ("event",),
        "Requests on flows steered by address that were answered, were answered with a failure "
        "of the target, waited for its capacity or for its pace in warm-up (paced), started "
        "after that in time or late, or expired while they waited.",
        "Expired requests never ran: the service has too few targets for its load, or lost some. "
        "Paced ones that go on mean that targets start again and again.",
    ),
    _counter(
        "datagrams_dropped",
        ("port", "reason"),
        "Datagrams thrown away, by the port that they arrived at.",
        "A few are noise from the network. A steady rate of one reason points at its sender: a "
        "wrong version, a lost connection-ID key, or a scan.",
    ),
    _counter(
        "messages_malformed",
        ("protocol", "reason"),
        "Messages between processes that are none of the protocol.",
        "Look for a process of another version, or for unknown processes that can reach the port.",
    ),
    _counter(
        "first_packets_rerouted",
        ("reason",),
        "First packets of a flow sent to another agent than the first in rank.",
        "Expected while a target drains or has left; otherwise check the agent that was skipped.",
    ),
    _counter("flows_opened", (), "Flows that callers opened.", _NO_ACTION),
    _counter(
        "flows_closed",
        ("reason",),
        "Flows that ended, by reason.",
        "Many flows ended by silence or errors point at the network between callers and agents.",
    ),
    _counter(
        "requests_ended",
        ("tenant", "class", "outcome"),
        "Requests by their tagged outcome.",
        "See requests_refused and requests_unknown for the reasons.",
    ),
    _counter(
        "requests_refused",
        ("tenant", "class", "reason"),
        "Requests that were not run and never will be.",
        "full, overload: add targets or slots. draining, no-target: too many targets leave at "
        "once. undeclared: the service has no class for the request.",
    ),
    _counter(
        "requests_unknown",
        ("tenant", "class", "reason"),
        "Requests that started and whose end could not be learnt.",
        "Reconcile with the backend server's own records before sending anything again.",
    ),
    _counter(
        "requests_rerouted",
        ("reason",),
        "Requests placed on another target after a refusal.",
        "Expected under load; a rise at low load means that load reports mislead.",
    ),
    _counter(
        "requests_retried",
        ("tenant", "class"),
        "Further tries after a first one.",
        "Above a tenth of first tries, the retry budget stops them: look for failing targets.",
    ),
    _counter(
        "relay_links_lost",
        ("reason",),
        "Relay links to other agents that broke or went silent.",
        "Check the network between the two failure domains.",
    ),
    _counter("answers_resumed", (), "Answers taken up again on a new relay link.", _NO_ACTION),
    _counter(
        "backend_failures",
        ("reason",),
        "Connections to the backend server that failed, by reason.",
        "Check the backend server beside this agent.",
    ),
    _counter(
        "configuration_conflicts",
        (),
        "Times that two contents were seen under one revision number.",
        "Publish a new revision now; find who published twice under one number.",
    ),
    _counter(
        "configuration_ignored",
        ("reason",),
        "Configurations that were offered and not taken.",
        "older: the platform or a peer is stale. invalid: publish only what check accepts. "
        "unreadable: find the writer of the entries that store-entries-unreadable names.",
    ),
    _counter(
        "platform_reads",
        ("outcome",),
        "Reads and watches of the platform's services.",
        "Failures in every failure domain: the platform is down; flows continue without it.",
    ),
    _counter(
        "store_returns",
        (),
        "Times that this process learned that the store had come back from a copy.",
        "See the store-returned lines for what was lost; compare store_era of all processes.",
    ),
    _counter(
        "entries_outdated",
        (),
        "Entries of targets that were passed over because a later one is known.",
        "Expected for some seconds after the store came back from a copy, and not otherwise.",
    ),
    _counter(
        "membership_changes",
        ("state",),
        "Changes of another process's state in this process's view.",
        "Many changes to suspect and few to dead: this VM or its network is slow.",
    ),
    _counter(
        "gossip_messages",
        ("direction",),
        "Messages of membership and load reports sent and received.",
        _NO_ACTION,
    ),
    _counter(
        "clock_jumps",
        (),
        "Times that this process did not run for over a second.",
        "Ask the platform why the VM was paused.",
    ),
    _counter(
        "failures_contained",
        ("part", "error"),
        "Unexpected exceptions that ended one piece of work, such as a datagram, a connection or "
        "a read of the store; the process went on.",
        "Each is a fault of egretsill: look up the part-failed lines for its location, and report "
        "it.",
    ),
    _counter(
        "admin_requests",
        ("path", "status"),
        "Requests to the admin port.",
        _NO_ACTION,
    ),
    _counter(
        "admin_connections_refused",
        ("reason",),
        "Connections to the admin port closed without an answer to their request.",
        "Look for a scan, or for a scraper that is slow or opens too many connections.",
    ),
    _gauge("flows_open", (), "Flows that this process owns."),
    _gauge("subscriptions_open", (), "Subscriptions open at the backend server."),
    _gauge("uploads_open", (), "Uploads running at the backend server."),
    _gauge("slots", (), "Requests that the backend server runs at once."),
    _gauge("slots_in_use", (), "Slots taken now.", "Add targets if it stays at `slots`."),
    _gauge("requests_queued", (), "Requests that wait for a slot."),
    _gauge("relay_links_open", (), "Relay links to other agents."),
    _gauge(
        "domains_evacuated",
        (),
        "Failure domains whose targets get no new flows by order of the operators.",
        "It must become the same at all processes within seconds. Take a forgotten order "
        "back: the other failure domains do its work meanwhile.",
    ),
    _gauge(
        "revision_in_force",
        (),
        "Revision number of the configuration in force.",
        "It must become the same at all processes within seconds; one that lags is isolated.",
    ),
    _gauge(
        "store_era",
        (),
        "Era of the store that the content in force was read in; it rises with each return from a "
        "copy.",
        "It must become the same at all processes within seconds; one that lags is isolated.",
    ),
    _gauge("draining", (), "1 while this process takes no new work, else 0."),
    _gauge(
        "endpoint_open",
        ("endpoint",),
        "1 while a TCP endpoint accepts connections, 0 while it can't be opened or has failed.",
        "See the endpoint-unavailable line for address and error; it opens by itself once it can.",
    ),
    _gauge(
        "members",
        ("role", "state"),
        "Other processes in this process's view.",
        "Many dead processes in one failure domain: the domain is isolated or down.",
    ),
    _histogram(
        "request_wait_seconds",
        "Seconds from a request on a flow steered by address to its start, if it had to wait.",
        "Add targets before it nears the latency objective of the route.",
    ),
    _histogram(
        "time_to_first_byte_seconds",
        "Seconds from a request's arrival to the first byte of its answer.",
        "Compare with queue_wait_seconds: if that is small, the backend server is slow.",
    ),
    _histogram(
        "expected_first_byte_seconds",
        "Seconds from a request's delivery to the first byte of its answer, as expected then.",
        "Compare its sum with that of time_to_first_byte_seconds; they differ if work is unsteady.",
    ),
    _histogram(
        "answer_seconds",
        "Seconds from a request's arrival to the end of its whole answer.",
        "Subscriptions and uploads take long by design; for other classes check the backend.",
    ),
    _histogram(
        "queue_wait_seconds",
        "Seconds that a request waited for a slot.",
        "Add slots or targets before it nears the service's queue_seconds.",
    ),
    _histogram(
        "tries",
        "Targets that a request was offered to.",
        "More than one for most requests: load reports mislead, or the service is full.",
        TRIES_BUCKETS,
    ),
)
