"""Exit codes of a process that steers by address."""

from __future__ import annotations

EXIT_STOPPED = 0  # stopped as requested
EXIT_SETTINGS = 2  # the settings were rejected
EXIT_ADDRESS = 3  # an address could not be bound
EXIT_FAILED = 4  # an unexpected exception ended the process
EXIT_LIBRARIES = 5  # libraries can't be loaded
