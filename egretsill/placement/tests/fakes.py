"""A service and its load reports, for placement tests."""

from __future__ import annotations

from ...configuration import (
    Address,
    RequestClass,
    RequestShape,
    Service,
    Target,
    TargetState,
)
from .. import LoadReport

NOWHERE = Address("192.0.2.1", 1)
LISTING = RequestClass("listing", ("GET",), "/", True, 1.0)
ORDER = RequestClass("order", ("POST",), "/", False, 4.0)
REVISIONS = RequestClass("revisions", ("GET",), "/revisions", True, 1.0, RequestShape.SUBSCRIPTION)


def make_service(count: int, draining: tuple[int, ...] = (), domains: int = 3) -> Service:
    targets = tuple(
        Target(
            name=f"target-{number}",
            number=number,
            service="catalog",
            failure_domain=f"domain-{number % domains}",
            tunnel=NOWHERE,
            relay=NOWHERE,
            gossip=NOWHERE,
            backend=NOWHERE,
            slots=4,
            state=TargetState.DRAINING if number in draining else TargetState.ACTIVE,
        )
        for number in range(1, count + 1)
    )
    classes = (LISTING, ORDER, REVISIONS)
    return Service("catalog", 1, "sibiu", "catalog.example", (), classes, targets)


def make_report(
    target: int,
    sequence: int = 1,
    weight: float = 0.0,
    running: int = 0,
    queued: int = 0,
    connections: int = 0,
    draining: bool = False,
    age_seconds: float = 3_600.0,
    incarnation: int = 1,
) -> LoadReport:
    return LoadReport(
        target,
        incarnation,
        sequence,
        weight,
        running,
        queued,
        4,
        connections,
        draining,
        age_seconds,
    )
