"""Sample services for the tests of this slice."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from .. import (
    Address,
    Publication,
    RequestClass,
    Service,
    Target,
    Vm,
    VmState,
    compile_publication,
)

DOMAINS = ("turnisor", "vasile-aaron", "selimbar")


def make_services(count: int, targets: int = 2) -> dict[str, Service]:
    return {f"service-{number}": _make_service(number, targets) for number in range(count)}


def make_history(length: int, services: int = 3) -> list[Publication]:
    """Return publications of revision 1 to `length`; each changes one service."""
    current: Mapping[str, Service] = make_services(services)
    history = [compile_publication(current, 1)]
    for revision in range(2, length + 1):
        name = f"service-{revision % services}"
        limits = dataclasses.replace(current[name].limits, queue_length=revision + 100)
        current = {**current, name: dataclasses.replace(current[name], limits=limits)}
        history.append(compile_publication(current, revision, history[-1]))
    return history


def _make_service(number: int, targets: int) -> Service:
    name = f"service-{number}"
    return Service(
        name=name,
        number=number + 1,
        tenant="sibiu",
        authority=f"{name}.example",
        addresses=(Address("10.0.0.1", 1 + number),),
        classes=(RequestClass("any", ("GET",), "/", True),),
        targets=tuple(_make_target(name, number * targets + each + 1) for each in range(targets)),
    )


def _make_target(service: str, number: int) -> Target:
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return Target(
        name=f"target-{number}",
        number=number,
        service=service,
        failure_domain=DOMAINS[number % len(DOMAINS)],
        tunnel=Address(host, 1),
        relay=Address(host, 2),
        gossip=Address(host, 3),
        backend=Address(host, 4),
        slots=2,
    )


def make_vms(count: int) -> list[Vm]:
    return [
        Vm(f"vm-{number}", "agent", DOMAINS[number % len(DOMAINS)], VmState.LIVE)
        for number in range(count)
    ]
