"""Log lines about endpoints that a daemon can do without."""

from __future__ import annotations

from ..observation import (
    EndpointOpened,
    EndpointUnavailable,
    StateChange,
    StateKind,
    StateLog,
)


class EndpointLog:
    """Records when an endpoint becomes unavailable, and when it is open after that."""

    def __init__(self, state_log: StateLog) -> None:
        self._state_log = state_log

    def record(self, change: EndpointUnavailable | EndpointOpened) -> None:
        """Write a line about a change."""
        details = {"address": str(change.address)}
        match change:
            case EndpointUnavailable(endpoint, _, error):
                self._write(endpoint, "unavailable", {**details, "error": error})
            case EndpointOpened(endpoint):
                self._write(endpoint, "open", details)

    def _write(self, endpoint: str, state: str, details: dict[str, str]) -> None:
        self._state_log.record(StateChange(StateKind.ENDPOINT, endpoint, state, details))
