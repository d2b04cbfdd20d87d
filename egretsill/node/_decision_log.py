"""Counts decisions about packets and writes the notable ones to the journal."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..address_steering import (
    Answered,
    Drop,
    Expire,
    FlowKey,
    Forward,
    ForwardReason,
    Refuse,
    Start,
    Undecided,
    Wait,
)
from ..directory import Directory
from ..endpoints import format_ipv4
from ..fleet import PeerTable
from ..observation import Journal, Metrics
from ..timing import TimerService

_UNLOGGED_REASONS = frozenset({ForwardReason.KNOWN_OWNER, ForwardReason.PASSED_BEFORE})


class DecisionLog:
    """Records decisions about packets together with the inputs that led to them.

    Args:
        role: name of the role, for counters.
        peers: state of the other processes.
        find_load: returns a target's load as seen by placement, or None if it is unknown.
        find_finish: returns the seconds until a target is expected to finish a usual request, or
            None if it is unknown.
        find_spill: returns the failure domain of a target in another one, otherwise nothing.
    """

    def __init__(
        self,
        role: str,
        directory: Directory,
        peers: PeerTable,
        timer: TimerService,
        metrics: Metrics,
        journal: Journal,
        find_load: Callable[[int, FlowKey], float | None],
        find_finish: Callable[[int, FlowKey], float | None] = lambda *_: None,
        find_spill: Callable[[int, FlowKey], str] = lambda *_: "",
    ) -> None:
        self._role = role
        self._directory = directory
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._journal = journal
        self._find_load = find_load
        self._find_finish = find_finish
        self._find_spill = find_spill

    def forwarded(self, decision: Forward) -> None:
        """Record that a packet is forwarded to an agent."""
        reason = decision.reason
        self._metrics.flow_packets.increment(self._role, reason)
        is_choice = reason is ForwardReason.NEW_FLOW
        spill = self._find_spill(decision.host, decision.flow) if is_choice else ""
        if spill:
            self._metrics.flows_spilled.increment(spill)
        if reason in _UNLOGGED_REASONS or not self._journal.consume_budget(f"flow-{reason.value}"):
            return
        load = self._find_load(decision.host, decision.flow)
        finish = self._find_finish(decision.host, decision.flow)
        self._journal.write(
            f"flow-{reason.value}",
            {
                "flow": str(decision.flow),
                "agent": format_ipv4(decision.host),
                "load": None if load is None else round(load, 3),
                "finish": None if finish is None else round(finish, 4),
                "spill": spill,
                "heard": self._peers.is_reachable(decision.host, self._timer.now),
                "visited": _join_addresses(decision.envelope.visited),
                **self._view_fields(),
            },
        )

    def refused(self, decision: Refuse) -> None:
        """Record that a flow was reset, and which agents were asked and are reachable."""
        self._metrics.flow_packets.increment(self._role, decision.reason)
        _, route_name = self._labels_of(decision.flow)
        self._metrics.flows_refused.increment(decision.reason, route_name)
        now = self._timer.now
        reachable = [each for each in decision.asked[:-1] if self._peers.is_reachable(each, now)]
        self._journal.record(
            "flow-refused",
            flow=str(decision.flow),
            reason=decision.reason.value,
            asked=_join_addresses(decision.asked),
            heard=_join_addresses(reachable),
            **self._view_fields(),
        )

    def undecided(self, decision: Undecided) -> None:
        """Record that a flow will be reset unless newer content shows another place for it."""
        self._journal.record(
            "flow-undecided",
            flow=str(decision.flow),
            asked=_join_addresses(decision.asked),
            **self._view_fields(),
        )

    def dropped(self, decision: Drop) -> None:
        """Record that a packet was dropped."""
        self._metrics.datagrams_dropped.increment(self._role, decision.reason)
        self._journal.record(
            "flow-packet-dropped",
            flow=str(decision.flow),
            reason=decision.reason.value,
            **self._view_fields(),
        )

    def waits(self, decision: Wait) -> None:
        """Record that a request waits for the target's capacity."""
        self._metrics.flow_requests.increment("paced" if decision.is_paced else "waited")
        self._journal.record(
            "request-waits",
            flow=str(decision.flow),
            waiting=decision.waiting,
            pending=decision.pending,
            open=decision.is_open,
            **({"paced": True} if decision.is_paced else {}),
        )

    def started(self, decision: Start) -> None:
        """Record how long a request of an open flow has waited before it went to the target."""
        self._metrics.flow_requests.increment("started-late" if decision.is_late else "started")
        labels = self._labels_of(decision.flow)
        self._metrics.request_wait_seconds.observe(decision.waited_seconds, *labels)

    def expired(self, decision: Expire) -> None:
        """Record that a waiting request was discarded because its caller had given up."""
        self._metrics.flow_requests.increment("expired")
        self._journal.record(
            "request-expired",
            flow=str(decision.flow),
            waited=round(decision.waited_seconds, 3),
        )

    def answered(self, decision: Answered) -> None:
        """Record a target's time to first byte."""
        self._metrics.flow_requests.increment("failed" if decision.has_failed else "answered")
        labels = self._labels_of(decision.flow)
        self._metrics.time_to_first_byte_seconds.observe(decision.delay_seconds, *labels)
        if decision.expected_seconds:
            expected = decision.expected_seconds
            self._metrics.expected_first_byte_seconds.observe(expected, *labels)

    def _labels_of(self, flow: FlowKey) -> tuple[str, str]:
        """Return the service and the name of a flow's route, empty without one."""
        route = self._directory.route(flow.service_host, flow.service_port)
        return (route.shares[0].service, route.name) if route else ("", "")

    def _view_fields(self) -> dict[str, int | float | str]:
        directory = self._directory
        age = min(self._timer.now - directory.confirmed_at, 1e6)
        return {
            "version": directory.version,
            "revision": str(directory.content_revision),
            "age": round(age, 3),
        }


def _join_addresses(hosts: Iterable[int]) -> str:
    return ",".join(format_ipv4(each) for each in hosts)
