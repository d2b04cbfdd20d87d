"""Standard input, output and error of a process that was started without them."""

from __future__ import annotations

import os

_STANDARD_DESCRIPTORS = range(3)


def open_missing_descriptors() -> None:
    """Open the null device in place of standard descriptors that are closed.

    Otherwise the next file or socket gets such a number, and log lines are written into it.

    Raises:
        OSError: if the null device can't be opened.
    """
    for descriptor in _STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The system gives the lowest free number, which is this one.
            os.open(os.devnull, os.O_RDWR)
