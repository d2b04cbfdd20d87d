"""What a process tells its peers several times a second."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The state of one process.

    Attributes:
        host: IPv4 address of the sender, as a number.
        incarnation: tells two runs of a process apart.
        sequence: counts the heartbeats of a run.
        is_balancer: whether it takes packets from the fabric.
        failure_domain: where its VM is.
        is_leaving: whether it wants no new flows.
        can_read: whether the store answers it.
        version: configuration version in force there.
        revision: store revision of its content.
        age_milliseconds: since when a read confirmed that content, as far as it knows.
        pending: requests in progress at its target.
        flows: open flows at its target.
        delay_milliseconds: how long answers began to take there lately; 0 if unknown.
        is_target_silent: whether its target has answered nothing for a while.
        balancers: some other balancers that it hears, as addresses in numbers.
    """

    host: int
    incarnation: int
    sequence: int
    is_balancer: bool
    failure_domain: str
    is_leaving: bool
    can_read: bool
    version: int
    revision: int
    age_milliseconds: int
    pending: int
    flows: int
    delay_milliseconds: int
    is_target_silent: bool
    balancers: tuple[int, ...]


FLEET_TYPES: Mapping[int, type] = {50: Heartbeat}
