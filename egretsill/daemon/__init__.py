"""The daemon process, which runs as a balancer or as an agent."""

from ._daemon import Daemon
from ._exceptions import AddressUnavailable, AgentSettingsIncomplete, TlsUnusable
from ._main import main, run

__all__ = [
    "AddressUnavailable",
    "AgentSettingsIncomplete",
    "Daemon",
    "TlsUnusable",
    "main",
    "run",
]
