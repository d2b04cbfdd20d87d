"""Lines for the operator while the log isn't open."""

from __future__ import annotations

import os
import select

MAXIMUM_NOTICE_BYTES = 4_096  # a pipe takes as much without blocking once it is writable

_STANDARD_ERROR = 2


def write_notice(text: str) -> None:
    """Write text to standard error; it is dropped if that would block or isn't possible.

    It doesn't go through `sys.stderr`, as the interpreter changes the exit code of a process if
    that can't be flushed at its end.

    Args:
        text: a line or more; only the last `MAXIMUM_NOTICE_BYTES` are written.
    """
    encoded = f"{text}\n".encode(errors="backslashreplace")[-MAXIMUM_NOTICE_BYTES:]
    try:
        if select.select((), (_STANDARD_ERROR,), (), 0)[1]:
            os.write(_STANDARD_ERROR, encoded)
    except OSError:
        # Nobody reads it; there is no other place to report this to.
        return
