"""Names of the errors of the operating system."""

from __future__ import annotations

import errno


def error_name(error: OSError) -> str:
    """Return the symbol of an error's code, such as EADDRINUSE, or its type if it has none."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)
