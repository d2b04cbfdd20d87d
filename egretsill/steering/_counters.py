"""Counters of a balancer, read by `observation`."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from ._steering import DropReason


@dataclass(slots=True)
class BalancerCounters:
    """Totals since the start of the process.

    Attributes:
        forwarded: datagrams sent to agents.
        first_packets: forwarded datagrams that were placed as the first packet of a flow.
        inquiries: forwarded datagrams with an unknown owner, sent to an agent that may know it.
        owner_notices: accepted notices of agents about the endpoint of such an owner.
        replied: datagrams sent to callers.
        probes: probes sent to agents.
        became_silent: times that an agent was found silent.
        became_responsive: times that a silent agent sent something again.
        bind_failures: times that a service address could not be bound.
        drops: dropped datagrams by reason.
    """

    forwarded: int = 0
    first_packets: int = 0
    inquiries: int = 0
    owner_notices: int = 0
    replied: int = 0
    probes: int = 0
    became_silent: int = 0
    became_responsive: int = 0
    bind_failures: int = 0
    drops: Counter[DropReason] = field(default_factory=Counter)
