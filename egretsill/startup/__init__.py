"""First statements of a process; imports as little of the standard library as possible."""

from ._standard_descriptors import open_missing_descriptors
from ._startup_signals import EXIT_STOPPED, HANDLED_SIGNALS, StartupSignals

__all__ = ["EXIT_STOPPED", "HANDLED_SIGNALS", "StartupSignals", "open_missing_descriptors"]
