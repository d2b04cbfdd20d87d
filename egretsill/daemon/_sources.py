"""Where a daemon learns its configuration from."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio

from ..configuration import Bundle


class ConfigurationSource(Protocol):
    """The configuration in force, and news of it."""

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force, or None before the first."""

    def subscribe(self, callback: Callable[[Bundle], None]) -> None:
        """Call `callback(bundle)` for each bundle that comes into force."""

    async def run(self) -> None:
        """Learn of new revisions until cancelled."""


class FixedConfiguration:
    """One bundle that never changes."""

    def __init__(self, bundle: Bundle) -> None:
        self._bundle = bundle

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle."""
        return self._bundle

    def subscribe(self, callback: Callable[[Bundle], None]) -> None:
        """Call `callback` once."""
        callback(self._bundle)

    async def run(self) -> None:
        """Wait for nothing."""
        await trio.sleep_forever()
