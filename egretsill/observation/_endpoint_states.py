"""Which TCP endpoints of a process are open."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..endpoints import Address, error_name
from ..wire import EndpointObserver
from ._metrics import Metrics


@dataclass(frozen=True, slots=True)
class EndpointUnavailable:
    """An endpoint can't be opened, or failed.

    Attributes:
        endpoint: what it is used for.
        error: name of the error, such as EADDRINUSE.
    """

    endpoint: str
    address: Address
    error: str


@dataclass(frozen=True, slots=True)
class EndpointOpened:
    """An endpoint that was unavailable is open.

    Attributes:
        endpoint: what it is used for.
    """

    endpoint: str
    address: Address


class EndpointStates:
    """Keeps the state of each endpoint in a gauge and for the status page.

    Args:
        on_change: called when an endpoint becomes unavailable, and when it is open after that.
    """

    def __init__(
        self, metrics: Metrics, on_change: Callable[[EndpointUnavailable | EndpointOpened], None]
    ) -> None:
        self._metrics = metrics
        self._on_change = on_change
        self._errors: dict[str, str | None] = {}

    @property
    def page(self) -> Mapping[str, str]:
        """Return `open` or the name of the error by endpoint."""
        return {endpoint: error or "open" for endpoint, error in self._errors.items()}

    def observer(self, endpoint: str, address: Address) -> EndpointObserver:
        """Return the function by which the server of an endpoint reports its state."""
        return lambda error: self._note(endpoint, address, error)

    def _note(self, endpoint: str, address: Address, error: OSError | None) -> None:
        was_unavailable = self._errors.get(endpoint) is not None
        self._errors[endpoint] = error_name(error) if error is not None else None
        self._metrics.endpoint_open.set(int(error is None), endpoint)
        if error is not None and not was_unavailable:
            self._on_change(EndpointUnavailable(endpoint, address, error_name(error)))
        elif error is None and was_unavailable:
            self._on_change(EndpointOpened(endpoint, address))
