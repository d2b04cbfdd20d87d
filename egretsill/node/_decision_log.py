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
    Undecided,
    Wait,
)
from ..directory import Directory
from ..endpoints import dotted
from ..fleet import PeerTable
from ..observation import Journal, Metrics
from ..timing import TimerService

_QUIET = frozenset({ForwardReason.KNOWN_OWNER, ForwardReason.PASSED_BEFORE})


class DecisionLog:
    """What happened to packets, with the inputs that decided it.

    Args:
        role: name of the role, for counters.
        peers: heartbeats of the others.
        load_of: returns a target's load as placement sees it, or None if it is unknown.
    """

    def __init__(
        self,
        role: str,
        directory: Directory,
        peers: PeerTable,
        timer: TimerService,
        metrics: Metrics,
        journal: Journal,
        load_of: Callable[[int, FlowKey], float | None],
    ) -> None:
        self._role = role
        self._directory = directory
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._journal = journal
        self._load_of = load_of

    def forwarded(self, decision: Forward) -> None:
        """Note that a packet goes to an agent."""
        reason = decision.reason
        self._metrics.flow_packets.increment(self._role, reason)
        if reason in _QUIET or not self._journal.allows(f"flow-{reason.value}"):
            return
        load = self._load_of(decision.host, decision.flow)
        self._journal.write(
            f"flow-{reason.value}",
            {
                "flow": str(decision.flow),
                "agent": dotted(decision.host),
                "load": None if load is None else round(load, 3),
                "heard": self._peers.is_heard(decision.host, self._timer.now),
                "visited": _listed(decision.envelope.visited),
                **self._belief(),
            },
        )

    def refused(self, decision: Refuse) -> None:
        """Note that a flow was reset, and whom that rests on."""
        self._metrics.flow_packets.increment(self._role, decision.reason)
        now = self._timer.now
        heard = [each for each in decision.asked[:-1] if self._peers.is_heard(each, now)]
        self._journal.record(
            "flow-refused",
            flow=str(decision.flow),
            reason=decision.reason.value,
            asked=_listed(decision.asked),
            heard=_listed(heard),
            **self._belief(),
        )

    def undecided(self, decision: Undecided) -> None:
        """Note that a flow is reset once newer content shows no other place for it."""
        self._journal.record(
            "flow-undecided",
            flow=str(decision.flow),
            asked=_listed(decision.asked),
            **self._belief(),
        )

    def dropped(self, decision: Drop) -> None:
        """Note that a packet was not passed on."""
        self._metrics.datagrams_dropped.increment(self._role, decision.reason)
        self._journal.record(
            "flow-packet-dropped",
            flow=str(decision.flow),
            reason=decision.reason.value,
            **self._belief(),
        )

    def waits(self, decision: Wait) -> None:
        """Note that a request waits for the target's capacity."""
        self._metrics.flow_requests.increment("waited")
        self._journal.record(
            "request-waits",
            flow=str(decision.flow),
            waiting=decision.waiting,
            pending=decision.pending,
        )

    def expired(self, decision: Expire) -> None:
        """Note that a request was forgotten before it ran, as its caller had given up."""
        self._metrics.flow_requests.increment("expired")
        self._journal.record(
            "request-expired",
            flow=str(decision.flow),
            waited=round(decision.waited_seconds, 3),
        )

    def answered(self, decision: Answered) -> None:
        """Note how long a target took to begin its answer."""
        self._metrics.flow_requests.increment("answered")
        route = self._directory.route(decision.flow.service_host, decision.flow.service_port)
        service, name = (route.shares[0].service, route.name) if route else ("", "")
        self._metrics.time_to_first_byte_seconds.observe(decision.delay_seconds, service, name)

    def _belief(self) -> dict[str, int | float]:
        directory = self._directory
        age = min(self._timer.now - directory.confirmed_at, 1e6)
        return {
            "version": directory.version,
            "revision": directory.content_revision,
            "age": round(age, 3),
        }


def _listed(hosts: Iterable[int]) -> str:
    return ",".join(dotted(each) for each in hosts)
