"""What a balancer counts, for observation to read."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from ._steering import DropReason


@dataclass(slots=True)
class BalancerCounters:
    """Totals since the start of the process.

    Attributes:
        forwarded: datagrams sent to agents.
        first_packets: those of them that were placed as the first of a flow.
        inquiries: those of them that went to an agent that may know their owner.
        owners_learnt: notices of agents about such an owner.
        replied: datagrams sent to callers.
        probes: probes sent to agents.
        became_silent: times that an agent was found silent.
        became_responsive: times that a silent agent answered again.
        bind_failures: times that a service address could not be listened on.
        drops: datagrams that went nowhere, by reason.
    """

    forwarded: int = 0
    first_packets: int = 0
    inquiries: int = 0
    owners_learnt: int = 0
    replied: int = 0
    probes: int = 0
    became_silent: int = 0
    became_responsive: int = 0
    bind_failures: int = 0
    drops: Counter[DropReason] = field(default_factory=Counter)
