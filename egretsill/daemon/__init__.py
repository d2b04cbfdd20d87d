"""The daemon: one composition root for both roles."""

from ._daemon import Daemon
from ._sources import ConfigurationSource, FixedConfiguration

__all__ = ["ConfigurationSource", "Daemon", "FixedConfiguration"]
