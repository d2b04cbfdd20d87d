"""Exit codes of a process that are used before the settings are known."""

from __future__ import annotations

EXIT_STOPPED = 0
EXIT_LIBRARIES = 5  # libraries can't be loaded
