"""What routes were before the configuration in force, while flows of that time may be open."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from typing import TypeAlias

from ._model import RouteTable

MAXIMUM_WITHDRAWN = 2_000  # addresses remembered; as many as a large configuration has routes

ServiceAddress: TypeAlias = tuple[int, int]  # host and port that callers send to


class FormerRoutes:
    """Withdrawn service addresses, and the services that addresses led to before.

    Args:
        retention_seconds: age at which a flow may be forgotten.
    """

    def __init__(self, retention_seconds: float) -> None:
        self._retention_seconds = retention_seconds
        self._withdrawn: OrderedDict[ServiceAddress, None] = OrderedDict()
        self._services: dict[ServiceAddress, dict[str, float]] = {}

    def has_withdrawn(self, address: ServiceAddress) -> bool:
        """Return whether a configuration took an address away that an earlier one had."""
        return address in self._withdrawn

    def services(self, address: ServiceAddress) -> Collection[str]:
        """Return the services that an address led to while its open flows may have been opened."""
        return self._services.get(address, {})

    def note_change(self, before: RouteTable | None, after: RouteTable | None, now: float) -> None:
        """Take over what a newer configuration changed."""
        if before is None or after is None:
            return
        for address, route in before.routes.items():
            current = after.routes.get(address)
            if current is None:
                self._withdrawn[address] = None
            if current is None or current.services != route.services:
                known = self._services.setdefault(address, {})
                known.update(dict.fromkeys(route.services, now + self._retention_seconds))
        for address in [each for each in self._withdrawn if each in after.routes]:
            del self._withdrawn[address]
        while len(self._withdrawn) > MAXIMUM_WITHDRAWN:
            self._withdrawn.popitem(last=False)

    def sweep(self, now: float) -> None:
        """Forget services whose flows of that time are over."""
        for address, services in tuple(self._services.items()):
            kept = {service: until for service, until in services.items() if until > now}
            if kept:
                self._services[address] = kept
            else:
                del self._services[address]
