"""Tables from service addresses and owner IDs to agents, kept up with the configuration."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from ..configuration import Address, Bundle, Service, TargetState
from ._connection_id import owner_bytes
from ._ranking import WinnerTable
from ._view import RetainedTarget

RETENTION_SECONDS = 24 * 3600.0
VIEW_LAG_SECONDS = 30.0
PLACEMENT_DELAY_SECONDS = VIEW_LAG_SECONDS + 5.0
MAXIMUM_RETAINED_TARGETS = 16_384


class ForwardKind(enum.Enum):
    """Why a packet goes to an agent.

    OWNER: its connection ID names the agent's target. FIRST_PACKET: it may open a flow and was
    placed there. UNKNOWN_OWNER: its connection ID names a target that is not known here, and the
    agent, one of the same service, may know it.
    """

    OWNER = "owner"
    FIRST_PACKET = "first-packet"
    UNKNOWN_OWNER = "unknown-owner"


@dataclass(frozen=True, slots=True)
class Forward:
    """The packet goes through the tunnel to the agent of a target.

    Attributes:
        target_number: the target.
        tunnel: UDP endpoint of its agent.
        service_number: service of the target.
        kind: why it goes there.
    """

    target_number: int
    tunnel: Address
    service_number: int
    kind: ForwardKind


@dataclass(frozen=True, slots=True)
class AgentIdentity:
    """Whose tunnel endpoint an address is.

    Attributes:
        target_number: the agent's target.
        service_number: the target's service.
    """

    target_number: int
    service_number: int


@dataclass(frozen=True, slots=True)
class ServiceRoutes:
    """What is needed to steer the packets of one service.

    Attributes:
        service_number: number of the service.
        owners: where packets with an owner ID go, by the bytes that stand for the owner.
        first_packets: where first packets go, by target number.
        inquiries: where packets of unknown owners go, by number of the target asked.
        winners: rank of the targets in the configuration.
    """

    service_number: int
    owners: dict[bytes, Forward]
    first_packets: dict[int, Forward]
    inquiries: dict[int, Forward]
    winners: WinnerTable


class RoutingTable:
    """The routes of one process; all times are in seconds.

    Args:
        placement_delay_seconds: for how long a target is new after this process learnt of it.
            New flows keep away from it for that time, so that every balancer knows the target
            before any flow belongs to it. Targets of the first configuration are not new.
    """

    def __init__(self, placement_delay_seconds: float = PLACEMENT_DELAY_SECONDS) -> None:
        self._placement_delay_seconds = placement_delay_seconds
        self._new_until: dict[int, float] = {}
        self.routes: dict[tuple[str, int], ServiceRoutes] = {}
        self.agents: dict[tuple[str, int], AgentIdentity] = {}
        self._services: dict[str, Service] = {}
        self._built: dict[int, ServiceRoutes] = {}
        self._tunnels: dict[int, Address] = {}
        self._draining: frozenset[int] = frozenset()
        self._retained: dict[int, RetainedTarget] = {}
        self._retired: dict[Address, tuple[int, float]] = {}

    @property
    def addresses(self) -> Sequence[Address]:
        """Return all service addresses that have routes."""
        return tuple(Address(*each) for each in self.routes)

    @property
    def target_numbers(self) -> frozenset[int]:
        """Return the numbers of the targets in the configuration."""
        return frozenset(self._tunnels)

    @property
    def draining(self) -> frozenset[int]:
        """Return the numbers of the targets that are declared to be draining."""
        return self._draining

    @property
    def retained_targets(self) -> Sequence[RetainedTarget]:
        """Return the targets that have left the configuration but still get their packets."""
        return tuple(self._retained.values())

    def is_retired(self, address: tuple[str, int]) -> bool:
        """Return whether the address has left the configuration."""
        return address in self._retired

    def tunnel_of(self, target_number: int) -> Address | None:
        """Return the tunnel endpoint of a target's agent, or None if it is not known."""
        retained = self._retained.get(target_number)
        return self._tunnels.get(target_number) or (retained.tunnel if retained else None)

    def apply_bundle(self, bundle: Bundle, now: float) -> None:
        """Take over a configuration, retaining the targets and addresses that it drops."""
        self._retain_dropped(bundle, now)
        self._services = dict(bundle.services)
        targets = [each for service in self._services.values() for each in service.targets]
        self._mark_new({each.number for each in targets}, now)
        self._tunnels = {each.number: each.tunnel for each in targets}
        self._draining = frozenset(
            each.number for each in targets if each.state is TargetState.DRAINING
        )
        self._rebuild(now)

    def routes_of(self, service_number: int) -> ServiceRoutes | None:
        """Return the routes of a service, or None if there is no such service."""
        return self._built.get(service_number)

    def new_targets(self, now: float) -> frozenset[int]:
        """Return the numbers of the targets that this process has known for a short time only."""
        return frozenset(number for number, until in self._new_until.items() if until > now)

    def next_maturity(self, now: float) -> float:
        """Return when the next target stops being new, or infinity."""
        return min((until for until in self._new_until.values() if until > now), default=math.inf)

    def retain(self, targets: Iterable[RetainedTarget], now: float) -> None:
        """Go on sending these targets their packets, unless the configuration has them."""
        latest = now + RETENTION_SECONDS
        is_changed = False
        for each in targets:
            if each.number in self._tunnels or each.expires_at > latest:
                continue
            known = self._retained.get(each.number)
            is_changed |= known is None or known.tunnel != each.tunnel
            self._retained[each.number] = each
        if is_changed:
            self._rebuild(now)

    def _mark_new(self, numbers: set[int], now: float) -> None:
        kept = {each: until for each, until in self._new_until.items() if each in numbers}
        added = numbers - self._tunnels.keys() if self._tunnels else ()
        kept.update((each, now + self._placement_delay_seconds) for each in added)
        self._new_until = {each: until for each, until in kept.items() if until > now}

    def _retain_dropped(self, bundle: Bundle, now: float) -> None:
        kept_numbers = {each.number for new in bundle.services.values() for each in new.targets}
        kept_addresses = {each for new in bundle.services.values() for each in new.addresses}
        expires_at = now + RETENTION_SECONDS
        for service in self._services.values():
            for target in service.targets:
                if target.number not in kept_numbers:
                    self._retained[target.number] = RetainedTarget(
                        target.number, service.number, target.tunnel, expires_at
                    )
            for address in service.addresses:
                if address not in kept_addresses:
                    self._retired[address] = (service.number, expires_at)

    def _rebuild(self, now: float) -> None:
        self._forget(now)
        by_service: dict[int, list[RetainedTarget]] = {}
        for each in self._retained.values():
            by_service.setdefault(each.service_number, []).append(each)
        built: dict[int, ServiceRoutes] = {}
        for service in self._services.values():
            retained = by_service.pop(service.number, [])
            built[service.number] = self._build(service, retained)
        for service_number, retained in by_service.items():
            built[service_number] = _build_retired(service_number, retained)
        self._built = built
        self._index(built)

    def _forget(self, now: float) -> None:
        """Forget what has expired, is declared again, or lost its endpoint to another target."""
        declared_tunnels = set(self._tunnels.values())
        by_tunnel = {
            each.tunnel: each
            for each in sorted(self._retained.values(), key=lambda each: each.expires_at)
            if each.expires_at > now
            and each.number not in self._tunnels
            and each.tunnel not in declared_tunnels
        }
        kept = sorted(by_tunnel.values(), key=lambda each: each.expires_at)
        self._retained = {each.number: each for each in kept[-MAXIMUM_RETAINED_TARGETS:]}
        declared = {each for service in self._services.values() for each in service.addresses}
        self._retired = {
            address: (service_number, expires_at)
            for address, (service_number, expires_at) in self._retired.items()
            if expires_at > now and address not in declared
        }

    def _build(self, service: Service, retained: Sequence[RetainedTarget]) -> ServiceRoutes:
        numbers = tuple(sorted(each.number for each in service.targets))
        before = self._built.get(service.number)
        is_same = before is not None and before.winners.target_numbers == numbers
        owners = _owners(service.number, retained)
        first_packets = {}
        inquiries = {}
        for each in service.targets:
            forward = Forward(each.number, each.tunnel, service.number, ForwardKind.OWNER)
            owners[owner_bytes(service.number, each.number)] = forward
            first_packets[each.number] = replace(forward, kind=ForwardKind.FIRST_PACKET)
            inquiries[each.number] = replace(forward, kind=ForwardKind.UNKNOWN_OWNER)
        winners = before.winners if before is not None and is_same else WinnerTable(numbers)
        return ServiceRoutes(service.number, owners, first_packets, inquiries, winners)

    def _index(self, built: dict[int, ServiceRoutes]) -> None:
        self.routes = {}
        for address, (service_number, _) in self._retired.items():
            if service_number in built:
                self.routes[address] = built[service_number]
        for service in self._services.values():
            for address in service.addresses:
                self.routes[address] = built[service.number]
        self.agents = {
            forward.tunnel: AgentIdentity(forward.target_number, forward.service_number)
            for routes in built.values()
            for forward in routes.owners.values()
        }


def _owners(service_number: int, retained: Iterable[RetainedTarget]) -> dict[bytes, Forward]:
    return {
        owner_bytes(service_number, each.number): Forward(
            each.number, each.tunnel, service_number, ForwardKind.OWNER
        )
        for each in retained
    }


def _build_retired(service_number: int, retained: Iterable[RetainedTarget]) -> ServiceRoutes:
    return ServiceRoutes(service_number, _owners(service_number, retained), {}, {}, WinnerTable(()))
