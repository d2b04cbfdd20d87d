"""First statements of a process; imports as little of the standard library as possible."""

from ._exit_codes import EXIT_ADDRESS, EXIT_FAILED, EXIT_LIBRARIES, EXIT_SETTINGS, EXIT_STOPPED
from ._notices import write_notice
from ._standard_descriptors import open_missing_descriptors
from ._startup_signals import HANDLED_SIGNALS, StartupSignals

__all__ = [
    "EXIT_ADDRESS",
    "EXIT_FAILED",
    "EXIT_LIBRARIES",
    "EXIT_SETTINGS",
    "EXIT_STOPPED",
    "HANDLED_SIGNALS",
    "StartupSignals",
    "open_missing_descriptors",
    "write_notice",
]
