"""Routes of earlier configurations, kept while flows opened under them may still be open."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from typing import TypeAlias

from ._model import RouteTable

MAXIMUM_WITHDRAWN = 2_000  # addresses kept; as many as a large configuration has routes

ServiceAddress: TypeAlias = tuple[int, int]  # host and port that callers send to


class FormerRoutes:
    """Withdrawn service addresses, and the services to which addresses were routed before.

    Args:
        retention_seconds: age at which a flow may be forgotten.
    """

    def __init__(self, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._withdrawn: OrderedDict[ServiceAddress, None] = OrderedDict()
        self._services: dict[ServiceAddress, dict[str, float]] = {}

    def is_withdrawn(self, address: ServiceAddress) -> bool:
        """Return whether an address of an earlier configuration was withdrawn."""
        return address in self._withdrawn

    def services(self, address: ServiceAddress) -> Collection[str]:
        """Return the services to which an address was routed when its open flows may have begun."""
        return self._services.get(address, {})

    def record_change(
        self, before: RouteTable | None, after: RouteTable | None, now: float
    ) -> None:
        """Record the routes that a newer configuration changed or withdrew."""
        if before is None or after is None:
            return
        withdrawn = [address for address in before.routes if address not in after.routes]
        restored = [address for address in self._withdrawn if address in after.routes]
        former: dict[ServiceAddress, tuple[str, ...]] = {}
        for address, route in before.routes.items():
            current = after.routes.get(address)
            if current is None or current.services != route.services:
                former[address] = route.services
        for address, services in former.items():
            known = self._services.setdefault(address, {})
            known.update(dict.fromkeys(services, now + self._retention_seconds))
        self._withdrawn.update(dict.fromkeys(withdrawn))
        for address in restored:
            del self._withdrawn[address]
        while len(self._withdrawn) > MAXIMUM_WITHDRAWN:
            self._withdrawn.popitem(last=False)

    def sweep(self, now: float) -> None:
        """Drop services whose flows have all passed the retention period."""
        for address, services in tuple(self._services.items()):
            kept = {service: until for service, until in services.items() if until > now}
            if kept:
                self._services[address] = kept
            else:
                del self._services[address]
