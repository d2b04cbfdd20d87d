"""Synthetic configurations of any size."""

from __future__ import annotations

from collections.abc import Mapping

from ..configuration import Address, Bundle, RequestClass, Service, Target

FAILURE_DOMAINS = 11
TARGETS_PER_SERVICE = 4


def make_services(
    services: int, targets_per_service: int = TARGETS_PER_SERVICE
) -> Mapping[str, Service]:
    """Return the given number of services with one address each."""
    made = [_service(number, targets_per_service) for number in range(1, services + 1)]
    return {each.name: each for each in made}


def make_bundle(services: int, targets_per_service: int = TARGETS_PER_SERVICE) -> Bundle:
    """Return a configuration with the given number of services."""
    return Bundle(1, "", make_services(services, targets_per_service))


def _service(number: int, targets: int) -> Service:
    name = f"service-{number}"
    first = number * targets
    return Service(
        name=name,
        number=number,
        tenant=f"tenant-{number}",
        authority=f"{name}.example",
        addresses=(Address(f"10.0.{number // 250}.{number % 250}", 443),),
        classes=(
            RequestClass("read", ("GET",), "/", idempotent=True),
            RequestClass("order", ("POST",), "/", idempotent=False, weight=4.0),
        ),
        targets=tuple(_target(name, each) for each in range(first, first + targets)),
    )


def _target(service: str, number: int) -> Target:
    host = f"10.{1 + number // 62_500}.{number // 250 % 250}.{number % 250}"
    return Target(
        name=f"target-{number}",
        number=number,
        service=service,
        failure_domain=f"domain-{number % FAILURE_DOMAINS}",
        tunnel=Address(host, 4000),
        relay=Address(host, 4001),
        gossip=Address(host, 4002),
        backend=Address(host, 80),
        slots=4,
    )
