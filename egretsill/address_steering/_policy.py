"""Mechanisms of steering that can be switched off or adjusted."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SteeringPolicy:
    """What steering does under load.

    Attributes:
        overcommit_share: share of the capacity that a target gets beyond it, so that no slot idles
            between two requests.
        hold_seconds: how long an agent keeps a SYN packet while its target has no capacity, in
            which another target may get it, unless its objective is short; 0 to keep none. The flow
            is opened after that, so that its request waits with those of the others and has its
            place in their order.
        late_hold_seconds: the same for a SYN packet whose request can't meet its objective.
        has_urgent_first: whether agents compare the urgency of what waits, so that late requests
            get idle slots only; else each agent serves its own requests first.
        transfers_syn_packets: whether it asks other agents for capacity for them.
        warm_up_overshoot: by how many times a target in warm-up may get more flows in a second than
            its service's stated pace.
        warm_up_tolerance: flows that it may get in that second in addition.
    """

    overcommit_share: float = 0.5
    hold_seconds: float = 0.15
    late_hold_seconds: float = 0.3
    has_urgent_first: bool = True
    transfers_syn_packets: bool = True
    warm_up_overshoot: float = 1.0
    warm_up_tolerance: float = 0.0
