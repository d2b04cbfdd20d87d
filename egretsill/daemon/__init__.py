"""The daemon: one composition root for both roles."""

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
