"""Log lines about the endpoints of a daemon."""

from __future__ import annotations

from ..observation import EndpointOpened, EndpointUnavailable, StateChange, StateKind


def endpoint_state_change(change: EndpointUnavailable | EndpointOpened) -> StateChange:
    """Return the change of state to log when an endpoint opens or can't be opened."""
    match change:
        case EndpointUnavailable(endpoint, address, error):
            details = {"address": str(address), "error": error}
            return StateChange(StateKind.ENDPOINT, endpoint, "unavailable", details)
        case EndpointOpened(endpoint, address):
            return StateChange(StateKind.ENDPOINT, endpoint, "open", {"address": str(address)})
