"""The daemon: one composition root for both roles."""

from ._daemon import Daemon
from ._exceptions import AddressUnavailable, AgentSettingsIncomplete

__all__ = ["AddressUnavailable", "AgentSettingsIncomplete", "Daemon"]
