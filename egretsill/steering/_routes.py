"""Routing tables from service addresses and owner IDs to agents, built from configurations."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from ..configuration import Address, Bundle, Service, TargetState
from ..ranking import WinnerTable
from ._connection_id import owner_bytes
from ._view import RetainedTarget

RETENTION_SECONDS = 24 * 3600.0
VIEW_LAG_SECONDS = 30.0
PLACEMENT_DELAY_SECONDS = VIEW_LAG_SECONDS + 5.0
MAXIMUM_RETAINED_TARGETS = 16_384


class ForwardKind(enum.Enum):
    """Why a packet is forwarded to an agent.

    OWNER: the connection ID names the agent's target. FIRST_PACKET: the packet may open a flow and
    was placed at the agent's target. UNKNOWN_OWNER: the connection ID names a target that is not in
    the table, and the agent, which is of the same service, may know it.
    """

    OWNER = "owner"
    FIRST_PACKET = "first-packet"
    UNKNOWN_OWNER = "unknown-owner"


@dataclass(frozen=True, slots=True)
class Forward:
    """The packet is forwarded through the tunnel to the agent of a target.

    Attributes:
        target_number: the target.
        tunnel: UDP endpoint of its agent.
        service_number: service of the target.
        kind: why the packet is forwarded there.
    """

    target_number: int
    tunnel: Address
    service_number: int
    kind: ForwardKind


@dataclass(frozen=True, slots=True)
class AgentIdentity:
    """The target and service of the agent at a tunnel endpoint.

    Attributes:
        target_number: the agent's target.
        service_number: the target's service.
    """

    target_number: int
    service_number: int


@dataclass(frozen=True, slots=True)
class ServiceRoutes:
    """The routes of one service.

    Attributes:
        service_number: number of the service.
        owners: routes of packets with an owner ID, by `owner_bytes`.
        first_packets: routes of first packets, by target number.
        inquiries: routes of packets with an unknown owner, by number of the target whose agent may
            know it.
        winners: ranking of the targets in the configuration.
        takes_first_packets: whether flows may be opened at the service address.
    """

    service_number: int
    owners: dict[bytes, Forward]
    first_packets: dict[int, Forward]
    inquiries: dict[int, Forward]
    winners: WinnerTable
    takes_first_packets: bool = True


class RoutingTable:
    """The routes of one process; all times are in seconds.

    A change rebuilds only the routes of the services it affects.

    Args:
        placement_delay_seconds: how long a target counts as new after this process first received
            it in a configuration. New flows avoid it meanwhile, so that every balancer knows the
            target before it owns a flow. Targets of the first configuration are not new.
    """

    def __init__(self, placement_delay_seconds: float = PLACEMENT_DELAY_SECONDS) -> None:
        self.routes: dict[tuple[str, int], ServiceRoutes] = {}
        self.agents: dict[tuple[str, int], AgentIdentity] = {}
        self._placement_delay_seconds = placement_delay_seconds
        self._services: dict[str, Service] = {}
        self._service_routes: dict[int, ServiceRoutes] = {}
        self._tunnels: dict[int, Address] = {}
        self._draining: set[int] = set()
        self._new_until: dict[int, float] = {}
        self._retained: dict[int, RetainedTarget] = {}
        self._retired: dict[Address, tuple[int, float]] = {}

    @property
    def addresses(self) -> Sequence[Address]:
        """Return the service addresses that have routes."""
        return tuple(Address(*each) for each in self.routes)

    @property
    def target_numbers(self) -> frozenset[int]:
        """Return the numbers of the targets in the configuration."""
        return frozenset(self._tunnels)

    @property
    def draining(self) -> frozenset[int]:
        """Return the numbers of the targets that the configuration declares draining."""
        return frozenset(self._draining)

    @property
    def retained_targets(self) -> Sequence[RetainedTarget]:
        """Return the targets that have left the configuration but still receive their packets."""
        return tuple(self._retained.values())

    def is_retired(self, address: tuple[str, int]) -> bool:
        """Return whether the address has left the configuration."""
        return address in self._retired

    def tunnel_of(self, target_number: int) -> Address | None:
        """Return the tunnel endpoint of a target's agent, or None if it is not known."""
        retained = self._retained.get(target_number)
        return self._tunnels.get(target_number) or (retained.tunnel if retained else None)

    def routes_of(self, service_number: int) -> ServiceRoutes | None:
        """Return the routes of a service, or None if there is no such service."""
        return self._service_routes.get(service_number)

    def new_targets(self, now: float) -> frozenset[int]:
        """Return the numbers of the targets that still count as new."""
        return frozenset(number for number, until in self._new_until.items() if until > now)

    def next_placement_delay_end(self, now: float) -> float:
        """Return when the next target stops counting as new, or infinity."""
        return min((until for until in self._new_until.values() if until > now), default=math.inf)

    def apply_bundle(self, bundle: Bundle, now: float) -> None:
        """Apply a configuration and retain the targets and addresses that are no longer in it."""
        is_first = not self._services
        withdrawn = _missing_or_changed(self._services, bundle.services)
        declared = _missing_or_changed(bundle.services, self._services)
        known_numbers = {each.number for service in withdrawn for each in service.targets}
        for service in withdrawn:
            self._withdraw(service, now + RETENTION_SECONDS)
        for service in declared:
            self._declare(service)
            if not is_first:
                self._mark_new(service, known_numbers, now)
        self._services = dict(bundle.services)
        self._new_until = {n: until for n, until in self._new_until.items() if until > now}
        affected = {service.number for service in (*withdrawn, *declared)}
        self._rebuild(affected | self._remove_expired(now))

    def retain(self, targets: Iterable[RetainedTarget], now: float) -> None:
        """Keep routes for these targets, except for those in the configuration."""
        latest = now + RETENTION_SECONDS
        affected: set[int] = set()
        for each in targets:
            if each.number in self._tunnels or each.expires_at > latest:
                continue
            known = self._retained.get(each.number)
            self._retained[each.number] = each
            if known is None or known.tunnel != each.tunnel:
                affected.add(each.service_number)
        if affected:
            self._rebuild(affected | self._remove_expired(now))

    def _withdraw(self, service: Service, expires_at: float) -> None:
        """Retain a service's targets and addresses; `_declare` restores those still declared."""
        for target in service.targets:
            self._tunnels.pop(target.number, None)
            self._draining.discard(target.number)
            self._retained[target.number] = RetainedTarget(
                target.number, service.number, target.tunnel, expires_at
            )
        for address in service.addresses:
            self._retired[address] = (service.number, expires_at)

    def _declare(self, service: Service) -> None:
        for target in service.targets:
            self._tunnels[target.number] = target.tunnel
            self._retained.pop(target.number, None)
            if target.state is TargetState.DRAINING:
                self._draining.add(target.number)
        for address in service.addresses:
            self._retired.pop(address, None)

    def _mark_new(self, service: Service, known_numbers: set[int], now: float) -> None:
        for target in service.targets:
            if target.number not in known_numbers:
                self._new_until[target.number] = now + self._placement_delay_seconds

    def _remove_expired(self, now: float) -> set[int]:
        """Remove expired entries and reused endpoints, and return the affected services."""
        declared_tunnels = set(self._tunnels.values()) if self._retained else set()
        by_tunnel = {
            each.tunnel: each
            for each in sorted(self._retained.values(), key=lambda each: each.expires_at)
            if each.expires_at > now and each.tunnel not in declared_tunnels
        }
        kept = sorted(by_tunnel.values(), key=lambda each: each.expires_at)
        before = self._retained
        self._retained = {each.number: each for each in kept[-MAXIMUM_RETAINED_TARGETS:]}
        self._retired = {
            address: (service_number, expires_at)
            for address, (service_number, expires_at) in self._retired.items()
            if expires_at > now
        }
        removed = before.keys() - self._retained.keys()
        return {before[number].service_number for number in removed}

    def _rebuild(self, service_numbers: set[int]) -> None:
        """Rebuild the routes of these services."""
        retained: dict[int, list[RetainedTarget]] = {number: [] for number in service_numbers}
        for each in self._retained.values():
            if each.service_number in service_numbers:
                retained[each.service_number].append(each)
        services = {each.number: each for each in self._services.values()}
        before = {number: self._service_routes.pop(number, None) for number in service_numbers}
        for routes in before.values():
            self._unregister_agents(routes)
        for number, targets in retained.items():
            service = services.get(number)
            if service is not None or targets:
                self._service_routes[number] = _build(number, service, targets, before[number])
                self._register_agents(self._service_routes[number])
        self._rebuild_address_routes()

    def _unregister_agents(self, routes: ServiceRoutes | None) -> None:
        for forward in routes.owners.values() if routes else ():
            self.agents.pop(forward.tunnel, None)

    def _register_agents(self, routes: ServiceRoutes) -> None:
        for forward in routes.owners.values():
            self.agents[forward.tunnel] = AgentIdentity(
                forward.target_number, forward.service_number
            )

    def _rebuild_address_routes(self) -> None:
        self.routes = {
            address: replace(self._service_routes[service_number], takes_first_packets=False)
            for address, (service_number, _) in self._retired.items()
            if service_number in self._service_routes
        }
        for service in self._services.values():
            for address in service.addresses:
                self.routes[address] = self._service_routes[service.number]


def _missing_or_changed(
    services: Mapping[str, Service], others: Mapping[str, Service]
) -> list[Service]:
    """Return the services that are absent from `others` or differ there."""
    return [
        service
        for name, service in services.items()
        if (other := others.get(name)) is not service and other != service
    ]


def _build(
    service_number: int,
    service: Service | None,
    retained: Iterable[RetainedTarget],
    before: ServiceRoutes | None,
) -> ServiceRoutes:
    """Return the routes of a service; `service` is None if it has left the configuration."""
    owners = _owners(service_number, retained)
    first_packets = {}
    inquiries = {}
    for each in service.targets if service else ():
        forward = Forward(each.number, each.tunnel, service_number, ForwardKind.OWNER)
        owners[owner_bytes(service_number, each.number)] = forward
        first_packets[each.number] = replace(forward, kind=ForwardKind.FIRST_PACKET)
        inquiries[each.number] = replace(forward, kind=ForwardKind.UNKNOWN_OWNER)
    winners = WinnerTable(first_packets)
    if before is not None and before.winners.target_numbers == winners.target_numbers:
        winners = before.winners
    return ServiceRoutes(service_number, owners, first_packets, inquiries, winners)


def _owners(service_number: int, retained: Iterable[RetainedTarget]) -> dict[bytes, Forward]:
    return {
        owner_bytes(service_number, each.number): Forward(
            each.number, each.tunnel, service_number, ForwardKind.OWNER
        )
        for each in retained
    }
