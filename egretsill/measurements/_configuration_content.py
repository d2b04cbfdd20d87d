"""Generated configurations of a large fleet, and the number of reads that they take."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

from ..configuration import (
    Address,
    Publication,
    RequestClass,
    Service,
    Target,
    compile_publication,
)
from ..configuration._sources import SINGLE_READS_FOR_EACH_PAGE

DOMAINS = ("turnisor", "vasile-aaron", "selimbar")
TARGETS_OF_A_SERVICE = 4


def make_history(services: int, length: int) -> Sequence[Publication]:
    """Return publications of revision 1 to `length`; each changes one service."""
    current: Mapping[str, Service] = {
        f"service-{number}": _make_service(number) for number in range(services)
    }
    history = [compile_publication(current, 1)]
    for revision in range(2, length + 1):
        name = f"service-{revision % services}"
        limits = dataclasses.replace(current[name].limits, queue_length=100 + revision)
        current = {**current, name: dataclasses.replace(current[name], limits=limits)}
        history.append(compile_publication(current, revision, history[-1]))
    return history


def content_reads(publication: Publication, known: Publication | None) -> int:
    """Return how many values in addition to the head a reader gets from the platform."""
    before = known.index if known else {}
    missing = sum(before.get(name) != digest for name, digest in publication.index.items())
    head = publication.head
    behind = known is not None and any(
        change.revision == known.head.revision for change in head.changes
    )
    index_reads = 0 if behind else head.index_parts
    single = missing <= SINGLE_READS_FOR_EACH_PAGE * max(1, head.pages)
    return index_reads + (missing if single else head.pages)


def _make_service(number: int) -> Service:
    name = f"service-{number}"
    first = number * TARGETS_OF_A_SERVICE + 1
    classes = (
        RequestClass("listings", ("GET", "HEAD"), "/", True),
        RequestClass("orders", ("POST",), "/orders", False, weight=4.0),
    )
    return Service(
        name=name,
        number=number + 1,
        tenant="sibiu",
        authority=f"{name}.example",
        addresses=(Address("10.255.0.1", number + 1),),
        classes=classes,
        targets=tuple(_make_target(name, first + each) for each in range(TARGETS_OF_A_SERVICE)),
    )


def _make_target(service: str, number: int) -> Target:
    host = f"10.{128 + (number >> 16)}.{number >> 8 & 255}.{number & 255}"
    return Target(
        name=f"target-{number}",
        number=number,
        service=service,
        failure_domain=DOMAINS[number % len(DOMAINS)],
        tunnel=Address(host, 7000),
        relay=Address(host, 7001),
        gossip=Address(host, 7002),
        backend=Address(host, 8080),
        slots=4,
    )
