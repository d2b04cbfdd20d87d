"""Lines for the operator before the log is open."""

from __future__ import annotations

import os
import select

_STANDARD_ERROR = 2


def write_notice(text: str) -> None:
    """Write a line to standard error; it is dropped if that would block or isn't possible."""
    line = f"{text}\n".encode(errors="backslashreplace")
    try:
        # Not through sys.stderr: the interpreter changes the exit code if that can't be flushed.
        if select.select((), (_STANDARD_ERROR,), (), 0)[1]:
            os.write(_STANDARD_ERROR, line)
    except OSError:
        # Nobody reads it; there is no other place to report this to.
        return
